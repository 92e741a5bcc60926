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

// readsAt reports whether a node reads the store when all that it knows has an age.
func readsAt(r Ranking, node string, age time.Duration) bool {
	return r.Reads(node, testTime.Add(age), Freshness{List: testTime, Config: testTime, Primaries: testTime, Candidates: testTime})
}

// TestStoreAwayFromAll has the list of every node grow old, as when the store is
// away: the nodes that call it in vain are few at any size and any age, and the
// readers are always among them.
func TestStoreAwayFromAll(t *testing.T) {
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

// TestReadersAwayFromTheStore cuts all readers off: others stand in soon, and are
// asked by those that do not read.
func TestReadersAwayFromTheStore(t *testing.T) {
	const soon = 2 * time.Second
	for _, size := range []int{9, 80, 295, 380} {
		nodes := nodeNames(size)
		r := Rank(nodes, nil)
		cut := r.Readers(0)
		var standIns []string
		for _, n := range r.Readers(soon) {
			if !slices.Contains(cut, n) {
				standIns = append(standIns, n)
			}
		}
		if len(standIns) < min(len(cut), size-len(cut)) {
			t.Errorf("%d nodes: %d stand in for %d after %v", size, len(standIns), len(cut), soon)
		}
		for _, n := range nodes {
			asked := false
			for failed := range len(r.Readers(soon)) {
				asked = asked || slices.Contains(standIns, ReaderFor(r.Readers(soon), n, failed))
			}
			if !asked {
				t.Errorf("%d nodes: %s asks none that stands in", size, n)
			}
		}
	}
}

// TestStartWithoutTheStore starts 295 nodes that know each other while the store is
// away: its readers call it, some stand in, and the others leave it alone for as long
// as a start takes; in the end all try.
func TestStartWithoutTheStore(t *testing.T) {
	nodes := nodeNames(295)
	r := Rank(nodes, nil)
	for at := time.Duration(0); at <= 7*time.Second; at += 100 * time.Millisecond {
		reading := 0
		for _, n := range nodes {
			if r.ReadsAtStart(n, at) {
				reading++
			}
		}
		switch {
		case at < greetTime && reading > 0, at < 5*time.Second && reading > 24, at == 7*time.Second && reading < len(nodes):
			t.Errorf("%d nodes read %v after their start", reading, at)
		case at >= greetTime && reading < 6:
			t.Errorf("only %d nodes read %v after their start", reading, at)
		}
	}
}

// TestStartersTryAgainSoon checks that a node that knows nothing gives a call to the
// store up sooner, and tries again sooner, than one that serves, but not for ever: the
// store may be slow.
func TestStartersTryAgainSoon(t *testing.T) {
	for failed := range 20 {
		starts, serves := ReadTimeout(false, failed), ReadTimeout(true, failed)
		if failed < 4 && starts >= serves || failed >= 4 && starts != serves {
			t.Errorf("after %d failures a read may take %v at the start and %v later", failed, starts, serves)
		}
		if RetryDelay(false, failed) >= RetryDelay(true, failed) {
			t.Errorf("after %d failures the pause is %v at the start and %v later", failed, RetryDelay(false, failed), RetryDelay(true, failed))
		}
	}
}

// TestRetryPauseIsBounded checks that calls in vain come less often, but not ever
// less so.
func TestRetryPauseIsBounded(t *testing.T) {
	before := time.Duration(0)
	for failed := range 100 {
		d := RetryDelay(true, failed)
		if d < before || d < 300*time.Millisecond || d > 1200*time.Millisecond {
			t.Errorf("%v after %d failures, %v before", d, failed, before)
		}
		before = d
	}
}

// TestReadersAreFewAndEven checks that small systems read on every node, and
// large ones on few, with the others spread evenly.
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
				t.Errorf("%d nodes: reader %s is asked by %d", size, r, n)
			}
		}
	}
}

// TestStrongInstancesRead checks that weak instances read only where strong
// ones are too few.
func TestStrongInstancesRead(t *testing.T) {
	var strong, weak []string
	for i := range 80 {
		if i%10 == 0 {
			strong = append(strong, fmt.Sprintf("node-%d", i))
			continue
		}
		weak = append(weak, fmt.Sprintf("node-%d", i))
	}
	if readers := Rank(strong, weak).Readers(0); len(readers) != 4 || slices.ContainsFunc(readers, func(r string) bool { return slices.Contains(weak, r) }) {
		t.Errorf("eight strong nodes are there, %v read", readers)
	}
	if readers := Rank(strong[:3], weak).Readers(0); len(readers) != 4 || !slices.Contains(readers, strong[0]) {
		t.Errorf("three strong nodes are there, %v read", readers)
	}
}

// TestFirstReadsAreSpread starts 300 nodes at once that each know a few others:
// those that no reader answers read the store one after the other, and none
// waits for ever.
func TestFirstReadsAreSpread(t *testing.T) {
	const nodes, step = 300, 100 * time.Millisecond
	before := 0
	for at := time.Duration(0); at <= 3200*time.Millisecond; at += step {
		reading := 0
		for i := range nodes {
			name := fmt.Sprintf("node-%d", i)
			if Rank([]string{name}, nil).ReadsAtStart(name, at) {
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
	if pair := Rank([]string{"a", "b"}, nil); pair.ReadsAtStart("a", 0) || !pair.ReadsAtStart("a", 300*time.Millisecond) {
		t.Error("a reader reads once the others had time to greet")
	}
}
