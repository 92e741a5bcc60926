package discovery

import (
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gradetiller.example/internal/core/catalog"
)

// rowOf is an operator's row of one failure domain.
type rowOf struct {
	evacuated bool
	changed   catalog.Revision
}

// operatorsRows is the store's table: all that was ever written, the last of it by domain.
type operatorsRows struct {
	revision catalog.Revision
	rows     map[string]rowOf
}

func (o *operatorsRows) write(domain string, evacuated bool) {
	o.revision++
	o.rows[domain] = rowOf{evacuated: evacuated, changed: o.revision}
}

func (o *operatorsRows) whole() []string {
	var list []string
	for d, r := range o.rows {
		if r.evacuated {
			list = append(list, d)
		}
	}
	slices.Sort(list)
	return list
}

func (o *operatorsRows) since(revision catalog.Revision) []EvacuationChange {
	var list []EvacuationChange
	for d, r := range o.rows {
		if r.changed > revision {
			list = append(list, EvacuationChange{Domain: d, Ended: !r.evacuated})
		}
	}
	return list
}

// TestEvacuationsFollowTheStore has nodes learn of random evacuations by whole reads, by
// changes since any revision that they had, and from each other, in any order and as old as
// may be: what a node holds is always what the store held at its revision, which never falls.
func TestEvacuationsFollowTheStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		store := operatorsRows{revision: 1, rows: make(map[string]rowOf)}
		history := map[catalog.Revision][]string{1: nil}
		nodes := make([]Evacuations, 3)
		domains := []string{"a", "b", "c"}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Second)
			at := rapid.IntRange(0, len(nodes)-1).Draw(t, "node")
			before := nodes[at]
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				store.write(rapid.SampledFrom(domains).Draw(t, "domain"), rapid.Bool().Draw(t, "evacuated"))
				history[store.revision] = store.whole()
			case 1:
				// An answer may be as old as the question.
				revision := rapid.SampledFrom(slices.Sorted(maps.Keys(history))).Draw(t, "revision")
				nodes[at] = before.Replace(now, revision, history[revision])
			case 2:
				since := catalog.Revision(rapid.Uint64Range(0, uint64(before.Revision())).Draw(t, "since"))
				nodes[at] = before.Change(now, store.revision, store.since(since))
			case 3:
				peer := nodes[rapid.IntRange(0, len(nodes)-1).Draw(t, "peer")]
				nodes[at] = before.Replace(now, peer.Revision(), peer.Domains())
			}
			if nodes[at].Revision() < before.Revision() {
				t.Fatalf("the revision fell from %d to %d", before.Revision(), nodes[at].Revision())
			}
			if got := nodes[at].Domains(); nodes[at].Known() && !slices.Equal(got, history[nodes[at].Revision()]) {
				t.Fatalf("at %d: %v, the store held %v", nodes[at].Revision(), got, history[nodes[at].Revision()])
			}
		}
	})
}

// TestTakes tells which endpoints take work, and since when an evacuation is over.
func TestTakes(t *testing.T) {
	now := time.Unix(1000, 0)
	none := Evacuations{}.Replace(now, 1, nil)
	during := none.Replace(now, 2, []string{"a"})
	after := during.Change(now.Add(time.Minute), 3, []EvacuationChange{{Domain: "a", Ended: true}})
	cases := []struct {
		name string
		in   Evacuations
		of   catalog.Endpoint
		want bool
	}{
		{"no evacuation", none, catalog.Endpoint{Domain: "a"}, true},
		{"draining", none, catalog.Endpoint{Domain: "a", Draining: true}, false},
		{"evacuated", during, catalog.Endpoint{Domain: "a"}, false},
		{"another failure domain", during, catalog.Endpoint{Domain: "b"}, true},
		{"over", after, catalog.Endpoint{Domain: "a"}, true},
	}
	for _, c := range cases {
		if got := c.in.Takes(c.of); got != c.want {
			t.Errorf("%s: takes work: %v", c.name, got)
		}
	}
	if !during.EndedAt("a").IsZero() || !after.EndedAt("a").Equal(now.Add(time.Minute)) {
		t.Errorf("ended at %v during it, and %v after it", during.EndedAt("a"), after.EndedAt("a"))
	}
}

// TestColdness follows the entries of an endpoint that begins cold, tells what is left with
// each heartbeat, and turns cold again.
func TestColdness(t *testing.T) {
	start := time.Unix(1000, 0)
	l := NewList()
	read := func(after time.Duration, revision catalog.Revision, cold time.Duration) (Coldness, bool) {
		l.Read(start.Add(after), []catalog.Endpoint{{ID: "e", ModRevision: revision, ColdRemaining: cold}}, revision)
		c, ok := l.Cold()["e"]
		return c, ok
	}
	steps := []struct {
		after        time.Duration
		revision     catalog.Revision
		cold         time.Duration
		since, until time.Duration
		is           bool
	}{
		{0, 1, 3 * time.Second, 0, 3 * time.Second, true},
		{700 * time.Millisecond, 1, 3 * time.Second, 0, 3 * time.Second, true},
		{1400 * time.Millisecond, 2, 1800 * time.Millisecond, 0, 3200 * time.Millisecond, true},
		{4 * time.Second, 3, 0, 0, 0, false},
		{9 * time.Second, 4, 3 * time.Second, 9 * time.Second, 12 * time.Second, true},
	}
	for i, s := range steps {
		c, ok := read(s.after, s.revision, s.cold)
		if ok != s.is || ok && (!c.Since.Equal(start.Add(s.since)) || !c.Until.Equal(start.Add(s.until))) {
			t.Errorf("step %d: cold %v, from %v to %v after the start", i, ok, c.Since.Sub(start), c.Until.Sub(start))
		}
	}
}
