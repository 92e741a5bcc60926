package discovery

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gradetiller.example/internal/core/catalog"
	_ "gradetiller.example/internal/fixedseed"
)

// TestRestoredStoreList guards against trusting a restored store blindly. It checks, with
// one endpoint for each case, what a node does that knows more than the restored copy.
func TestRestoredStoreList(t *testing.T) {
	era := func(version uint64) catalog.Revision { return catalog.NewRevision(1, version) }
	entry := func(id string, listed catalog.Revision, draining bool) catalog.Endpoint {
		return catalog.Endpoint{ID: id, ModRevision: listed, Draining: draining}
	}
	l := NewList()
	at := testTime
	read := func(after time.Duration, revision catalog.Revision, list ...catalog.Endpoint) {
		l.ApplySnapshot(at.Add(after), list, revision)
	}
	read(0, 10, entry("stays", 1, false), entry("left", 2, false), entry("drains", 3, false))
	read(time.Second, 20, entry("stays", 1, false), entry("drains", 15, true), entry("new", 18, false))
	// The copy is of version 12, and one write followed.
	copied := []catalog.Endpoint{entry("stays", era(1), false), entry("left", era(2), false), entry("drains", era(3), false)}
	read(2*time.Second, era(13), copied...)
	check := func(when string, want ...string) {
		t.Helper()
		var got []string
		for _, e := range l.Endpoints() {
			got = append(got, fmt.Sprintf("%s draining=%v", e.ID, e.Draining))
		}
		if !slices.Equal(got, want) {
			t.Errorf("%s: %v, want %v", when, got, want)
		}
	}
	check("after the restore", "drains draining=true", "new draining=false", "stays draining=false")
	if d := l.ChangesSince(20); !d.Full || len(d.Changed) != 3 {
		t.Errorf("a node of the previous era receives %+v, want the store's full list", d)
	}
	if l.ApplySnapshot(at.Add(2100*time.Millisecond), nil, 999) {
		t.Error("a list of the previous era is applied")
	}
	read(3*time.Second, era(15), entry("stays", era(1), false), entry("left", era(2), false), entry("drains", era(14), true), entry("new", era(15), false))
	check("written again", "drains draining=true", "new draining=false", "stays draining=false")
	read(4*time.Second, era(16), entry("stays", era(1), false), entry("left", era(16), false), entry("drains", era(14), true), entry("new", era(15), false))
	check("the endpoint that had left registers", "drains draining=true", "left draining=false", "new draining=false", "stays draining=false")
}

// TestRestoreWithUnseenRewrite guards against using an endpoint that wrote its entry again
// and left between two reads, where the copy has the entry that the node never saw.
func TestRestoreWithUnseenRewrite(t *testing.T) {
	l := NewList()
	l.ApplySnapshot(testTime, []catalog.Endpoint{{ID: "left", ModRevision: 2}}, 2)
	l.ApplySnapshot(testTime.Add(time.Second), nil, 4)
	l.ApplySnapshot(testTime.Add(2*time.Second), []catalog.Endpoint{{ID: "left", ModRevision: catalog.NewRevision(1, 3)}}, catalog.NewRevision(1, 3))
	if got := l.Endpoints(); len(got) != 0 {
		t.Errorf("%v is used although it had left", got)
	}
}

// TestOutdatedEntryRemoved guards against taking the removal of an outdated entry for a
// lapse, although the store was restored just before: its endpoint was known to be leaving.
func TestOutdatedEntryRemoved(t *testing.T) {
	l := NewList()
	l.ApplySnapshot(testTime, []catalog.Endpoint{{ID: "leaves", ModRevision: 2}}, 2)
	l.ApplySnapshot(testTime.Add(time.Second), []catalog.Endpoint{{ID: "leaves", ModRevision: 3, Draining: true}}, 3)
	l.ApplySnapshot(testTime.Add(2*time.Second), []catalog.Endpoint{{ID: "leaves", ModRevision: catalog.NewRevision(1, 2)}}, catalog.NewRevision(1, 2))
	l.ApplySnapshot(testTime.Add(3*time.Second), nil, catalog.NewRevision(1, 3))
	if got := l.Endpoints(); len(got) != 0 {
		t.Errorf("%v is retained although it was known to be leaving", got)
	}
}

// TestOutdatedPeriodEnds checks entries of a copy that nobody writes again: after the
// period the store's data applies, and an endpoint that does not register is used no longer
// than after an outage.
func TestOutdatedPeriodEnds(t *testing.T) {
	l := NewList()
	l.ApplySnapshot(testTime, []catalog.Endpoint{{ID: "left", ModRevision: 1}}, 2)
	l.ApplySnapshot(testTime.Add(time.Second), []catalog.Endpoint{{ID: "new", ModRevision: 4}}, 4)
	copied := []catalog.Endpoint{{ID: "left", ModRevision: catalog.NewRevision(1, 1)}}
	used := func(after time.Duration) (ids []string) {
		l.ApplySnapshot(testTime.Add(after), copied, catalog.NewRevision(1, 2))
		for _, e := range l.Endpoints() {
			ids = append(ids, e.ID)
		}
		return ids
	}
	for _, c := range []struct {
		after time.Duration
		want  []string
	}{
		{2 * time.Second, []string{"new"}},
		{4 * time.Second, []string{"new"}},
		{2*time.Second + reregisterPeriod, nil},
		{2*time.Second + outdatedPeriod - time.Millisecond, nil},
		{2*time.Second + outdatedPeriod, []string{"left"}},
	} {
		if got := used(c.after); !slices.Equal(got, c.want) {
			t.Errorf("after %v: %v, want %v", c.after, got, c.want)
		}
	}
}

// storeModel models the store: its rows, and copies of it.
type storeModel struct {
	era, version uint64
	rows         map[string]catalog.Endpoint
}

func (s *storeModel) revision() catalog.Revision { return catalog.NewRevision(s.era, s.version) }

func (s *storeModel) put(id string, draining bool) {
	s.version++
	s.rows[id] = catalog.Endpoint{ID: id, Draining: draining, ModRevision: s.revision()}
}

func (s *storeModel) drop(id string) {
	s.version++
	delete(s.rows, id)
}

// list returns what a read returns: the rows with their versions in the present era.
func (s *storeModel) list() []catalog.Endpoint {
	var list []catalog.Endpoint
	for _, e := range s.rows {
		e.ModRevision = catalog.NewRevision(s.era, e.ModRevision.Version())
		list = append(list, e)
	}
	sortByID(list)
	return list
}

func (s *storeModel) backup() storeModel {
	return storeModel{version: s.version, rows: maps.Clone(s.rows)}
}

// TestRestorations restores a store from random copies among random writes, while nodes
// read it, late or not at all, and poll each other. A node's list must never move back. An
// endpoint that a node knew to have left or to be draining must not be used again unless it
// has written its entry since or the outdated period is over. Nodes that have just read the
// store must hold what it lists.
func TestRestorations(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		store := &storeModel{version: 1, rows: make(map[string]catalog.Endpoint)}
		copies := []storeModel{store.backup()}
		nodes := []*List{NewList(), NewList(), NewList()}
		// endedIncarnations maps a node and an endpoint to the incarnation that the node knew to be
		// over, and written counts the incarnations of an endpoint. Each write of an entry that
		// accepts work begins one.
		type key struct {
			node int
			id   string
		}
		endedIncarnations := make(map[key]int)
		written := make(map[string]int)
		incarnations := make(map[catalog.Revision]int)
		now, restored := testTime, testTime
		checkUse := func() {
			for n, l := range nodes {
				accepts := make(map[string]bool)
				for _, e := range l.Endpoints() {
					accepts[e.ID] = !e.Draining
				}
				for id := range written {
					k := key{n, id}
					if incarnation, ok := endedIncarnations[k]; ok && accepts[id] && incarnation == written[id] && now.Sub(restored) < outdatedPeriod {
						rt.Fatalf("node %d uses %s again, whose incarnation %d it knew to be over", n, id, incarnation)
					}
				}
			}
		}
		ids := []string{"a", "b", "c"}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(rt, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 6).Draw(rt, "step") {
			case 0:
				id := rapid.SampledFrom(ids).Draw(rt, "id")
				store.put(id, false)
				written[id]++
				incarnations[store.revision()] = written[id]
			case 1:
				id := rapid.SampledFrom(ids).Draw(rt, "draining")
				if e, ok := store.rows[id]; ok && !e.Draining {
					store.put(id, true)
				}
			case 2:
				store.drop(rapid.SampledFrom(ids).Draw(rt, "gone"))
			case 3:
				copies = append(copies, store.backup())
			case 4:
				from := copies[rapid.IntRange(0, len(copies)-1).Draw(rt, "copy")].backup()
				from.era = store.era + 1
				store = &from
				copies = append(copies[:0], store.backup())
				restored = now
			case 5:
				n := rapid.IntRange(0, len(nodes)-1).Draw(rt, "reader")
				l := nodes[n]
				before := l.revision
				used := make(map[string]bool)
				for _, e := range l.Endpoints() {
					used[e.ID] = !e.Draining
				}
				sameEra := l.revision.Era() == store.era
				l.ApplySnapshot(now, store.list(), store.revision())
				if l.revision < before {
					rt.Fatalf("node %d moved back from %v to %v", n, before, l.revision)
				}
				for id, wasUsed := range used {
					e, listed := store.rows[id]
					if sameEra && wasUsed && (!listed || e.Draining) && l.Lapsed() == 0 {
						endedIncarnations[key{n, id}] = written[id]
					}
				}
			case 6:
				to := rapid.IntRange(0, len(nodes)-1).Draw(rt, "to")
				from := nodes[rapid.IntRange(0, len(nodes)-1).Draw(rt, "from")]
				before := nodes[to].revision
				nodes[to].ApplyDelta(now, from.ChangesSince(nodes[to].Revision()))
				if nodes[to].revision < before {
					rt.Fatalf("node %d moved back from %v to %v", to, before, nodes[to].revision)
				}
			}
			checkUse()
		}
		for n, l := range nodes {
			l.ApplySnapshot(now, store.list(), store.revision())
			l.ApplySnapshot(now.Add(2*outdatedPeriod), store.list(), store.revision())
			if got := l.Endpoints(); !slices.Equal(got, store.list()) {
				rt.Fatalf("node %d holds %v in the end, the store lists %v", n, got, store.list())
			}
		}
	})
}

// TestRestoredStoreEvacuations restores a store that lacks one evacuation and has another
// one that had ended.
func TestRestoredStoreEvacuations(t *testing.T) {
	now := testTime
	v := Evacuations{}.Replace(now, 5, []string{"a", "b"})
	v = v.ApplyChanges(now, 7, []EvacuationChange{{Domain: "b", Ended: true}})
	v = v.Replace(now.Add(time.Second), catalog.NewRevision(1, 5), []string{"b"})
	if !v.Contains("a") || !v.Contains("b") || !slices.Equal(v.Listed(), []string{"b"}) {
		t.Errorf("after the restore: %v evacuated, %v listed", v.Domains(), v.Listed())
	}
	rewritten := v.ApplyChanges(now.Add(2*time.Second), catalog.NewRevision(1, 6), []EvacuationChange{{Domain: "a"}}).Expire(now.Add(time.Hour))
	if !rewritten.Contains("a") {
		t.Error("an evacuation that was written again has ended")
	}
	if over := rewritten.Replace(now.Add(3*time.Second), catalog.NewRevision(1, 7), nil); over.Contains("a") || over.EndedAt("a").IsZero() {
		t.Error("an evacuation that was written again and ended is still in force")
	}
	listed := v.Replace(now.Add(2*time.Second), catalog.NewRevision(1, 6), []string{"a"})
	if over := listed.Replace(now.Add(3*time.Second), catalog.NewRevision(1, 7), nil); over.Contains("a") {
		t.Error("an evacuation that another node reported and that ended is still in force")
	}
	ended := v.ApplyChanges(now.Add(2*time.Second), catalog.NewRevision(1, 6), []EvacuationChange{{Domain: "a", Ended: true}})
	if ended.Contains("a") || ended.EndedAt("a").IsZero() {
		t.Error("an evacuation that was ended is still in force")
	}
	if held := v.Expire(now.Add(restoreHoldPeriod)); !held.Contains("a") {
		t.Error("an evacuation ends before its hold period is over")
	}
	if over := v.Expire(now.Add(time.Second + restoreHoldPeriod)); over.Contains("a") || over.EndedAt("a").IsZero() {
		t.Error("an evacuation that is not written again stays in force forever")
	}
	if v.Replace(now, 999, nil).Revision() != v.Revision() {
		t.Error("evacuations of the previous era are applied")
	}
}
