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
		history := map[catalog.Revision][]catalog.Endpoint{}
		revision := catalog.Revision(1)
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
				lists[rapid.IntRange(0, 1).Draw(rt, "reader")].ApplySnapshot(testTime, snapshot(), revision)
			case 3:
				to := lists[rapid.IntRange(0, nodes-1).Draw(rt, "to")]
				from := lists[rapid.IntRange(0, nodes-1).Draw(rt, "from")]
				to.ApplyDelta(testTime, from.ChangesSince(to.Revision()))
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
	l.ApplySnapshot(testTime, []catalog.Endpoint{{ID: "a", Draining: true}}, 7)
	if l.ApplySnapshot(testTime, []catalog.Endpoint{{ID: "a"}}, 6) {
		t.Error("an older list was taken")
	}
	if l.ApplyDelta(testTime, Delta{Revision: 7, Changed: []catalog.Endpoint{{ID: "a"}}}) {
		t.Error("an answer that is not ahead was taken")
	}
}

// TestLapsedEntriesComeBack has the store away for a while, in which the entries
// of two endpoints lapse: both stay in the list until they had time to list
// themselves again, one does, and the other one is gone after that. Without an
// absence of the store, a missing endpoint is gone at once.
func TestLapsedEntriesComeBack(t *testing.T) {
	a, b := catalog.Endpoint{ID: "a"}, catalog.Endpoint{ID: "b"}
	l := NewList()
	l.ApplySnapshot(testTime, []catalog.Endpoint{a, b}, 1)
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
		l.ApplySnapshot(testTime.Add(c.after), c.listed, 2+catalog.Revision(c.after))
		if got := len(l.Endpoints()); got != c.want {
			t.Errorf("after %v: %d endpoints, want %d", c.after, got, c.want)
		}
	}
}
