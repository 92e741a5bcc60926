package discovery

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gradetiller.example/internal/core/catalog"
)

// testTime is the time of all reads in tests without a store outage.
var testTime = time.Unix(1000, 0)

// TestNoChangeIsMissed guards against deltas that skip a change. Some nodes read a changing
// store, the others poll any node at any time: a node at a revision must hold exactly the
// store's list of that revision, whomever it polled before.
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

// TestOlderListIsIgnored checks that a list never moves back to an older revision.
func TestOlderListIsIgnored(t *testing.T) {
	l := NewList()
	l.ApplySnapshot(testTime, []catalog.Endpoint{{ID: "a", Draining: true}}, 7)
	if l.ApplySnapshot(testTime, []catalog.Endpoint{{ID: "a"}}, 6) {
		t.Error("an older list was applied")
	}
	if l.ApplyDelta(testTime, Delta{Revision: 7, Changed: []catalog.Endpoint{{ID: "a"}}}) {
		t.Error("an answer without a newer revision was applied")
	}
}

// TestLapsedEntriesAreRetained guards against dropping live endpoints after a store outage.
// Two entries lapse in it: both endpoints stay in use until they have had time to register
// again, one does, and the other is dropped. Without an outage a missing endpoint is
// dropped at once.
func TestLapsedEntriesAreRetained(t *testing.T) {
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
