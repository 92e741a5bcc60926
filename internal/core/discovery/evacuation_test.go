package discovery

import (
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gradetiller.example/internal/core/catalog"
)

// evacuationRow is the stored row of one failure domain.
type evacuationRow struct {
	evacuated bool
	changed   catalog.Revision
}

// evacuationTable models the store's table: the last write of each failure domain.
type evacuationTable struct {
	revision catalog.Revision
	rows     map[string]evacuationRow
}

func (o *evacuationTable) write(domain string, evacuated bool) {
	o.revision++
	o.rows[domain] = evacuationRow{evacuated: evacuated, changed: o.revision}
}

func (o *evacuationTable) all() []string {
	var list []string
	for d, r := range o.rows {
		if r.evacuated {
			list = append(list, d)
		}
	}
	slices.Sort(list)
	return list
}

func (o *evacuationTable) since(revision catalog.Revision) []EvacuationChange {
	var list []EvacuationChange
	for d, r := range o.rows {
		if r.changed > revision {
			list = append(list, EvacuationChange{Domain: d, Ended: !r.evacuated})
		}
	}
	return list
}

// TestEvacuationsFollowTheStore updates nodes by full reads, by changes since any earlier
// revision and from each other, in any order and with answers of any age. It guards against
// lost or resurrected evacuations: a node must always hold the store's set as of its
// revision, and the revision must never decrease.
func TestEvacuationsFollowTheStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		store := evacuationTable{revision: 1, rows: make(map[string]evacuationRow)}
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
				history[store.revision] = store.all()
			case 1:
				// The answer may be as old as the request.
				revision := rapid.SampledFrom(slices.Sorted(maps.Keys(history))).Draw(t, "revision")
				nodes[at] = before.Replace(now, revision, history[revision])
			case 2:
				since := catalog.Revision(rapid.Uint64Range(0, uint64(before.Revision())).Draw(t, "since"))
				nodes[at] = before.ApplyChanges(now, store.revision, store.since(since))
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

// TestAcceptsWork checks which endpoints accept work, and when an evacuation ended.
func TestAcceptsWork(t *testing.T) {
	now := time.Unix(1000, 0)
	none := Evacuations{}.Replace(now, 1, nil)
	during := none.Replace(now, 2, []string{"a"})
	after := during.ApplyChanges(now.Add(time.Minute), 3, []EvacuationChange{{Domain: "a", Ended: true}})
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
		if got := c.in.AcceptsWork(c.of); got != c.want {
			t.Errorf("%s: accepts work: %v", c.name, got)
		}
	}
	if !during.EndedAt("a").IsZero() || !after.EndedAt("a").Equal(now.Add(time.Minute)) {
		t.Errorf("ended at %v during it, and %v after it", during.EndedAt("a"), after.EndedAt("a"))
	}
}

// TestColdPeriod guards against a cold period that restarts with every heartbeat. An
// endpoint starts cold, reports the remaining time with each heartbeat, and turns cold
// again.
func TestColdPeriod(t *testing.T) {
	start := time.Unix(1000, 0)
	l := NewList()
	read := func(after time.Duration, revision catalog.Revision, cold time.Duration) (ColdPeriod, bool) {
		l.ApplySnapshot(start.Add(after), []catalog.Endpoint{{ID: "e", ModRevision: revision, ColdRemaining: cold}}, revision)
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
