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

// TestListOfARestoredStore tells, for one endpoint each, what a node does that knows more of
// it than the copy from which the store came back.
func TestListOfARestoredStore(t *testing.T) {
	era := func(version uint64) catalog.Revision { return catalog.NewRevision(1, version) }
	entry := func(id string, listed catalog.Revision, draining bool) catalog.Endpoint {
		return catalog.Endpoint{ID: id, ModRevision: listed, Draining: draining}
	}
	l := NewList()
	at := testTime
	read := func(after time.Duration, revision catalog.Revision, list ...catalog.Endpoint) {
		l.Read(at.Add(after), list, revision)
	}
	read(0, 10, entry("stays", 1, false), entry("left", 2, false), entry("drains", 3, false))
	read(time.Second, 20, entry("stays", 1, false), entry("drains", 15, true), entry("new", 18, false))
	// The copy is of version 12, and one write came since.
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
	check("after the return", "drains draining=true", "new draining=false", "stays draining=false")
	if d := l.Above(20); !d.Whole || len(d.Changed) != 3 {
		t.Errorf("a node of the era before is told %+v, want the store's whole list", d)
	}
	if l.Read(at.Add(2100*time.Millisecond), nil, 999) {
		t.Error("a list of the era before is taken")
	}
	read(3*time.Second, era(15), entry("stays", era(1), false), entry("left", era(2), false), entry("drains", era(14), true), entry("new", era(15), false))
	check("written again", "drains draining=true", "new draining=false", "stays draining=false")
	read(4*time.Second, era(16), entry("stays", era(1), false), entry("left", era(16), false), entry("drains", era(14), true), entry("new", era(15), false))
	check("the one that had left lists itself", "drains draining=true", "left draining=false", "new draining=false", "stays draining=false")
}

// TestEntryRewrittenUnseen has an endpoint write its entry anew, and leave, between two reads
// of a node: the copy has the entry that the node never saw.
func TestEntryRewrittenUnseen(t *testing.T) {
	l := NewList()
	l.Read(testTime, []catalog.Endpoint{{ID: "left", ModRevision: 2}}, 2)
	l.Read(testTime.Add(time.Second), nil, 4)
	l.Read(testTime.Add(2*time.Second), []catalog.Endpoint{{ID: "left", ModRevision: catalog.NewRevision(1, 3)}}, catalog.NewRevision(1, 3))
	if got := l.Endpoints(); len(got) != 0 {
		t.Errorf("%v is used, which had left", got)
	}
}

// TestDoubtedEntryGoes has the entry of a copy go whose endpoint was known to leave: it has not
// lapsed, although the store was away just before.
func TestDoubtedEntryGoes(t *testing.T) {
	l := NewList()
	l.Read(testTime, []catalog.Endpoint{{ID: "leaves", ModRevision: 2}}, 2)
	l.Read(testTime.Add(time.Second), []catalog.Endpoint{{ID: "leaves", ModRevision: 3, Draining: true}}, 3)
	l.Read(testTime.Add(2*time.Second), []catalog.Endpoint{{ID: "leaves", ModRevision: catalog.NewRevision(1, 2)}}, catalog.NewRevision(1, 2))
	l.Read(testTime.Add(3*time.Second), nil, catalog.NewRevision(1, 3))
	if got := l.Endpoints(); len(got) != 0 {
		t.Errorf("%v is kept, which was known to leave", got)
	}
}

// TestDoubtsEnd has entries of a copy that nobody writes again: after a time the store's word
// holds, and an endpoint that does not come back is used no longer than after any absence.
func TestDoubtsEnd(t *testing.T) {
	l := NewList()
	l.Read(testTime, []catalog.Endpoint{{ID: "left", ModRevision: 1}}, 2)
	l.Read(testTime.Add(time.Second), []catalog.Endpoint{{ID: "new", ModRevision: 4}}, 4)
	copied := []catalog.Endpoint{{ID: "left", ModRevision: catalog.NewRevision(1, 1)}}
	used := func(after time.Duration) (ids []string) {
		l.Read(testTime.Add(after), copied, catalog.NewRevision(1, 2))
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
		{2*time.Second + returnTime, nil},
		{2*time.Second + doubtTime - time.Millisecond, nil},
		{2*time.Second + doubtTime, []string{"left"}},
	} {
		if got := used(c.after); !slices.Equal(got, c.want) {
			t.Errorf("after %v: %v, want %v", c.after, got, c.want)
		}
	}
}

// restorable is a model of the store: its rows, and copies of it.
type restorable struct {
	era, version uint64
	rows         map[string]catalog.Endpoint
}

func (s *restorable) revision() catalog.Revision { return catalog.NewRevision(s.era, s.version) }

func (s *restorable) put(id string, draining bool) {
	s.version++
	s.rows[id] = catalog.Endpoint{ID: id, Draining: draining, ModRevision: s.revision()}
}

func (s *restorable) drop(id string) {
	s.version++
	delete(s.rows, id)
}

// list is what a read tells: the rows' counts in the present era.
func (s *restorable) list() []catalog.Endpoint {
	var list []catalog.Endpoint
	for _, e := range s.rows {
		e.ModRevision = catalog.NewRevision(s.era, e.ModRevision.Version())
		list = append(list, e)
	}
	sortByID(list)
	return list
}

func (s *restorable) copied() restorable {
	return restorable{version: s.version, rows: maps.Clone(s.rows)}
}

// TestRestorations has a store come back from random copies among random writes, while nodes
// read it, late and not at all, and tell each other. Whatever happens: what a node holds
// never goes back; an endpoint that it knew to have left, or to be leaving, takes no work
// again unless its entry was written anew since, or the time of doubt is over; and nodes that
// have read the store last hold what it lists.
func TestRestorations(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		store := &restorable{version: 1, rows: make(map[string]catalog.Endpoint)}
		copies := []restorable{store.copied()}
		nodes := []*List{NewList(), NewList(), NewList()}
		// closed is, by node and endpoint, the life that the node knew to be over, and written
		// how often an endpoint has begun anew. Each write of an entry that is ready is one.
		type key struct {
			node int
			id   string
		}
		closed := make(map[key]int)
		written := make(map[string]int)
		lives := make(map[catalog.Revision]int)
		now, restored := testTime, testTime
		note := func() {
			for n, l := range nodes {
				takes := make(map[string]bool)
				for _, e := range l.Endpoints() {
					takes[e.ID] = !e.Draining
				}
				for id := range written {
					k := key{n, id}
					if life, ok := closed[k]; ok && takes[id] && life == written[id] && now.Sub(restored) < doubtTime {
						rt.Fatalf("node %d uses %s again, whose life %d it knew to be over", n, id, life)
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
				lives[store.revision()] = written[id]
			case 1:
				id := rapid.SampledFrom(ids).Draw(rt, "draining")
				if e, ok := store.rows[id]; ok && !e.Draining {
					store.put(id, true)
				}
			case 2:
				store.drop(rapid.SampledFrom(ids).Draw(rt, "gone"))
			case 3:
				copies = append(copies, store.copied())
			case 4:
				from := copies[rapid.IntRange(0, len(copies)-1).Draw(rt, "copy")].copied()
				from.era = store.era + 1
				store = &from
				copies = append(copies[:0], store.copied())
				restored = now
			case 5:
				n := rapid.IntRange(0, len(nodes)-1).Draw(rt, "reader")
				l := nodes[n]
				before := l.revision
				knew := make(map[string]bool)
				for _, e := range l.Endpoints() {
					knew[e.ID] = !e.Draining
				}
				sameEra := l.revision.Era() == store.era
				l.Read(now, store.list(), store.revision())
				if l.revision < before {
					rt.Fatalf("node %d went back from %v to %v", n, before, l.revision)
				}
				for id, took := range knew {
					e, listed := store.rows[id]
					if sameEra && took && (!listed || e.Draining) && l.Kept() == 0 {
						closed[key{n, id}] = written[id]
					}
				}
			case 6:
				to := rapid.IntRange(0, len(nodes)-1).Draw(rt, "to")
				from := nodes[rapid.IntRange(0, len(nodes)-1).Draw(rt, "from")]
				before := nodes[to].revision
				nodes[to].Apply(now, from.Above(nodes[to].Revision()))
				if nodes[to].revision < before {
					rt.Fatalf("node %d went back from %v to %v", to, before, nodes[to].revision)
				}
			}
			note()
		}
		for n, l := range nodes {
			l.Read(now, store.list(), store.revision())
			l.Read(now.Add(2*doubtTime), store.list(), store.revision())
			if got := l.Endpoints(); !slices.Equal(got, store.list()) {
				rt.Fatalf("node %d holds %v at last, the store lists %v", n, got, store.list())
			}
		}
	})
}

// TestEvacuationsOfARestoredStore has the store lose the word of one evacuation and bring
// another one back that was over.
func TestEvacuationsOfARestoredStore(t *testing.T) {
	now := testTime
	v := Evacuations{}.Replace(now, 5, []string{"a", "b"})
	v = v.Change(now, 7, []EvacuationChange{{Domain: "b", Ended: true}})
	v = v.Replace(now.Add(time.Second), catalog.NewRevision(1, 5), []string{"b"})
	if !v.Has("a") || !v.Has("b") || !slices.Equal(v.Listed(), []string{"b"}) {
		t.Errorf("after the return: %v evacuated, %v listed", v.Domains(), v.Listed())
	}
	again := v.Change(now.Add(2*time.Second), catalog.NewRevision(1, 6), []EvacuationChange{{Domain: "a"}}).Settle(now.Add(time.Hour))
	if !again.Has("a") {
		t.Error("an evacuation that was written again is over")
	}
	if over := again.Replace(now.Add(3*time.Second), catalog.NewRevision(1, 7), nil); over.Has("a") || over.EndedAt("a").IsZero() {
		t.Error("an evacuation that was written again and taken back holds on")
	}
	listed := v.Replace(now.Add(2*time.Second), catalog.NewRevision(1, 6), []string{"a"})
	if over := listed.Replace(now.Add(3*time.Second), catalog.NewRevision(1, 7), nil); over.Has("a") {
		t.Error("the same as told by another node holds on")
	}
	taken := v.Change(now.Add(2*time.Second), catalog.NewRevision(1, 6), []EvacuationChange{{Domain: "a", Ended: true}})
	if taken.Has("a") || taken.EndedAt("a").IsZero() {
		t.Error("an evacuation that was taken back holds on")
	}
	if held := v.Settle(now.Add(heldFor)); !held.Has("a") {
		t.Error("an evacuation ends before its time to be written again is over")
	}
	if over := v.Settle(now.Add(time.Second + heldFor)); over.Has("a") || over.EndedAt("a").IsZero() {
		t.Error("an evacuation that is not written again holds for ever")
	}
	if v.Replace(now, 999, nil).Revision() != v.Revision() {
		t.Error("evacuations of the era before are taken")
	}
}
