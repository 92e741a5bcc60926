package discovery

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gradetiller.example/internal/core/catalog"
)

// testTime stands for a store that is never away.
var testTime = time.Unix(1000, 0)

// TestNoChangeIsMissed lets some nodes read a store that changes, and the
// others ask any of them at any moment: a node that reaches a revision holds
// exactly the store's list of that revision, whomever it asked before.
func TestNoChangeIsMissed(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const nodes = 4
		store := map[string]catalog.Endpoint{}
		history := map[uint64][]catalog.Endpoint{}
		revision := uint64(1)
		lists := make([]*List, nodes)
		for i := range lists {
			lists[i] = NewList()
		}
		snapshot := func() []catalog.Endpoint {
			var all []catalog.Endpoint
			for _, e := range store {
				all = append(all, e)
			}
			sortByID(all)
			return all
		}
		for range rapid.IntRange(1, 80).Draw(rt, "steps") {
			switch rapid.IntRange(0, 3).Draw(rt, "step") {
			case 0:
				id := fmt.Sprint(rapid.IntRange(0, 5).Draw(rt, "id"))
				store[id] = catalog.Endpoint{ID: id, Draining: rapid.Bool().Draw(rt, "draining")}
				revision++
			case 1:
				delete(store, fmt.Sprint(rapid.IntRange(0, 5).Draw(rt, "gone")))
				revision++
			case 2:
				history[revision] = snapshot()
				lists[rapid.IntRange(0, 1).Draw(rt, "reader")].Read(testTime, snapshot(), revision)
			case 3:
				to := lists[rapid.IntRange(0, nodes-1).Draw(rt, "to")]
				from := lists[rapid.IntRange(0, nodes-1).Draw(rt, "from")]
				to.Apply(testTime, from.Above(to.Revision()))
			}
			for i, l := range lists {
				if l.Revision() == 0 {
					continue
				}
				if got := l.Endpoints(); !slices.Equal(got, history[l.Revision()]) {
					rt.Fatalf("node %d at revision %d holds %v, the store had %v", i, l.Revision(), got, history[l.Revision()])
				}
			}
		}
	})
}

// TestOldListIsIgnored checks that a list never goes back.
func TestOldListIsIgnored(t *testing.T) {
	l := NewList()
	l.Read(testTime, []catalog.Endpoint{{ID: "a", Draining: true}}, 7)
	if l.Read(testTime, []catalog.Endpoint{{ID: "a"}}, 6) {
		t.Error("an older list was taken")
	}
	if l.Apply(testTime, Delta{Revision: 7, Changed: []catalog.Endpoint{{ID: "a"}}}) {
		t.Error("an answer that is not ahead was taken")
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
		readers := Readers(nodes, nil)
		if size <= 8 && len(readers) != size {
			t.Errorf("%d of %d nodes read, want all", len(readers), size)
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
	if readers := Readers(strong, weak); len(readers) != 8 || slices.ContainsFunc(readers, func(r string) bool { return slices.Contains(weak, r) }) {
		t.Errorf("eight strong nodes are there, %v read", readers)
	}
	if readers := Readers(strong[:3], weak); len(readers) != 8 || !slices.Contains(readers, strong[0]) {
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
			if ReadsFirst(name, []string{name}, at) {
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
	if ReadsFirst("a", []string{"a", "b"}, 0) || !ReadsFirst("a", []string{"a", "b"}, 300*time.Millisecond) {
		t.Error("a reader reads once the others had time to greet")
	}
}

// TestLapsedEntriesComeBack has the store away for a while, in which the entries
// of two endpoints lapse: both stay in the list until they had time to list
// themselves again, one does, and the other one is gone after that. Without an
// absence of the store, a missing endpoint is gone at once.
func TestLapsedEntriesComeBack(t *testing.T) {
	a, b := catalog.Endpoint{ID: "a"}, catalog.Endpoint{ID: "b"}
	l := NewList()
	l.Read(testTime, []catalog.Endpoint{a, b}, 1)
	for _, c := range []struct {
		after  time.Duration
		listed []catalog.Endpoint
		want   int
	}{
		{700 * time.Millisecond, []catalog.Endpoint{a, b}, 2},
		{5 * time.Second, nil, 2},
		{5700 * time.Millisecond, []catalog.Endpoint{a}, 2},
		{6400 * time.Millisecond, []catalog.Endpoint{a}, 2},
		{7300 * time.Millisecond, []catalog.Endpoint{a}, 1},
		{8 * time.Second, nil, 0},
	} {
		l.Read(testTime.Add(c.after), c.listed, 2+uint64(c.after))
		if got := len(l.Endpoints()); got != c.want {
			t.Errorf("after %v: %d endpoints, want %d", c.after, got, c.want)
		}
	}
}
