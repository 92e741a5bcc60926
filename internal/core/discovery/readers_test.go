package discovery

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

func nodeNames(size int) []string {
	names := make([]string, size)
	for i := range names {
		names[i] = fmt.Sprintf("node-%d", i)
	}
	return names
}

// readsAt reports whether a node reads the store when all of its data has the given age.
func readsAt(r Ranking, node string, age time.Duration) bool {
	return r.Reads(node, testTime.Add(age), Freshness{List: testTime, Config: testTime, Primaries: testTime, Candidates: testTime})
}

// TestStoreUnavailableLimitsReaders lets the lists of all nodes age, as in a store outage.
// It guards against all nodes calling the store at once: few may call it at any system size
// and age, and the primary readers must always be among them.
func TestStoreUnavailableLimitsReaders(t *testing.T) {
	for _, size := range []int{7, 80, 295, 380} {
		nodes := nodeNames(size)
		r := Rank(nodes, nil)
		for age := time.Duration(0); age < 12*time.Second; age += 100 * time.Millisecond {
			reading := 0
			for _, n := range nodes {
				if readsAt(r, n, age) {
					reading++
				}
			}
			if reading > max(16, size/12) {
				t.Errorf("%d nodes, a list of %v: %d read the store", size, age, reading)
			}
			for _, n := range r.Readers(0) {
				if !readsAt(r, n, age) {
					t.Errorf("%d nodes, a list of %v: reader %s does not read", size, age, n)
				}
			}
		}
	}
}

// TestPartitionedReadersAreReplaced cuts all primary readers off from the store: backup
// readers must soon read it, and be polled by the other nodes.
func TestPartitionedReadersAreReplaced(t *testing.T) {
	const soon = 2 * time.Second
	for _, size := range []int{9, 80, 295, 380} {
		nodes := nodeNames(size)
		r := Rank(nodes, nil)
		cut := r.Readers(0)
		var backups []string
		for _, n := range r.Readers(soon) {
			if !slices.Contains(cut, n) {
				backups = append(backups, n)
			}
		}
		if len(backups) < min(len(cut), size-len(cut)) {
			t.Errorf("%d nodes: %d backup readers for %d readers after %v", size, len(backups), len(cut), soon)
		}
		for _, n := range nodes {
			polled := false
			for failed := range len(r.Readers(soon)) {
				polled = polled || slices.Contains(backups, ReaderFor(r.Readers(soon), n, failed))
			}
			if !polled {
				t.Errorf("%d nodes: %s polls no backup reader", size, n)
			}
		}
	}
}

// TestStartWhileStoreUnavailable starts 295 nodes that know each other during a store
// outage. It guards against a storm of calls: the primary and some backup readers call the
// store, the others must not for as long as a start takes, and all try in the end.
func TestStartWhileStoreUnavailable(t *testing.T) {
	nodes := nodeNames(295)
	r := Rank(nodes, nil)
	for at := time.Duration(0); at <= 7*time.Second; at += 100 * time.Millisecond {
		reading := 0
		for _, n := range nodes {
			if r.ReadsAtStart(n, at, true) {
				reading++
			}
		}
		switch {
		case at < greetingPeriod && reading > 0, at < 5*time.Second && reading > 24, at == 7*time.Second && reading < len(nodes):
			t.Errorf("%d nodes read %v after their start", reading, at)
		case at >= greetingPeriod && reading < 6:
			t.Errorf("only %d nodes read %v after their start", reading, at)
		}
	}
}

// TestStartingNodesRetrySooner checks that a node without data has shorter timeouts and
// retry delays than one that serves. After some failures the timeouts are equal, since the
// store may be slow.
func TestStartingNodesRetrySooner(t *testing.T) {
	for failed := range 20 {
		starts, serves := ReadTimeout(false, failed), ReadTimeout(true, failed)
		if failed < 4 && starts >= serves || failed >= 4 && starts != serves {
			t.Errorf("after %d failures a read may take %v at the start and %v later", failed, starts, serves)
		}
		if RetryDelay(false, failed) >= RetryDelay(true, failed) {
			t.Errorf("after %d failures the delay is %v at the start and %v later", failed, RetryDelay(false, failed), RetryDelay(true, failed))
		}
	}
}

// TestRetryDelayIsBounded checks that the delay grows with each failure up to a bound.
func TestRetryDelayIsBounded(t *testing.T) {
	before := time.Duration(0)
	for failed := range 100 {
		d := RetryDelay(true, failed)
		if d < before || d < 300*time.Millisecond || d > 1200*time.Millisecond {
			t.Errorf("%v after %d failures, %v before", d, failed, before)
		}
		before = d
	}
}

// TestReadersAreFewAndEven checks that all nodes of a small system read, that few nodes of
// a large one do, and that the others are spread evenly over these.
func TestReadersAreFewAndEven(t *testing.T) {
	for _, size := range []int{1, 7, 80, 380} {
		var nodes []string
		for i := range size {
			nodes = append(nodes, fmt.Sprintf("node-%d", i))
		}
		readers := Rank(nodes, nil).Readers(0)
		if size <= 8 && len(readers) != size {
			t.Errorf("%d of %d nodes read, want all", len(readers), size)
		}
		if size > 8 && (len(readers) < 4 || len(readers) > max(4, size/48)) {
			t.Errorf("%d of %d nodes read", len(readers), size)
		}
		asked := make(map[string]int)
		for _, n := range nodes {
			asked[ReaderFor(readers, n, 0)]++
		}
		for r, n := range asked {
			if n > 3*size/len(readers)+1 {
				t.Errorf("%d nodes: reader %s is polled by %d", size, r, n)
			}
		}
	}
}

// TestLargeInstancesReadFirst checks that small instances read only if there are too few
// large ones.
func TestLargeInstancesReadFirst(t *testing.T) {
	var large, small []string
	for i := range 80 {
		if i%10 == 0 {
			large = append(large, fmt.Sprintf("node-%d", i))
			continue
		}
		small = append(small, fmt.Sprintf("node-%d", i))
	}
	if readers := Rank(large, small).Readers(0); len(readers) != 4 || slices.ContainsFunc(readers, func(r string) bool { return slices.Contains(small, r) }) {
		t.Errorf("with eight large nodes %v read", readers)
	}
	if readers := Rank(large[:3], small).Readers(0); len(readers) != 4 || !slices.Contains(readers, large[0]) {
		t.Errorf("with three large nodes %v read", readers)
	}
}

// TestFirstReadsAreSpread starts 300 nodes that no reader answers. It guards against
// simultaneous full reads: they must read the store one after another, and all within a
// bound.
func TestFirstReadsAreSpread(t *testing.T) {
	const nodes, step = 300, 100 * time.Millisecond
	before := 0
	for at := time.Duration(0); at <= 3200*time.Millisecond; at += step {
		reading := 0
		for i := range nodes {
			name := fmt.Sprintf("node-%d", i)
			if Rank([]string{name}, nil).ReadsAtStart(name, at, true) {
				reading++
			}
		}
		if reading-before > nodes/8 {
			t.Errorf("%d nodes begin to read within %v at %v", reading-before, step, at)
		}
		before = reading
	}
	if before != nodes {
		t.Errorf("%d of %d nodes read in the end", before, nodes)
	}
	if pair := Rank([]string{"a", "b"}, nil); pair.ReadsAtStart("a", 0, true) || !pair.ReadsAtStart("a", 300*time.Millisecond, true) {
		t.Error("a reader must read after the greeting period and not before")
	}
}

// TestReadersDoNotFollowNodes guards against calls to the store that grow with the system: from some
// hundred nodes on, as many read it whatever their number.
func TestReadersDoNotFollowNodes(t *testing.T) {
	for _, c := range []struct{ nodes, readers int }{{7, 7}, {100, 4}, {295, 6}, {400, 8}, {985, 8}, {2000, 8}} {
		names := make([]string, c.nodes)
		for i := range names {
			names[i] = fmt.Sprint("n", i)
		}
		r := Rank(names, nil)
		if got := len(r.Readers(0)); got != c.readers {
			t.Errorf("%d of %d nodes read the store, want %d", got, c.nodes, c.readers)
		}
		if got := len(r.Readers(time.Hour)); got > c.readers<<maxDoublings {
			t.Errorf("%d of %d nodes read the store while no reader does, want at most %d", got, c.nodes, c.readers<<maxDoublings)
		}
	}
}

// TestStartingNodeWaitsForRanking guards against nodes that start together and each take themselves for
// a reader, because they know few others yet. A node that does not learn of the others reads at last.
func TestStartingNodeWaitsForRanking(t *testing.T) {
	r := Rank([]string{"a", "b", "c"}, nil)
	for _, at := range []time.Duration{0, greetingPeriod, startBackupDelay, startFallbackDelay} {
		if r.ReadsAtStart("a", at, false) {
			t.Errorf("a node that does not know the others reads the store after %v", at)
		}
	}
	if !r.ReadsAtStart("a", startFallbackDelay+startReadSpread, false) {
		t.Error("a node that does not learn of the others never reads the store")
	}
}
