package share

import (
	"math"
	"time"
)

// snapshotGroups bounds the groups in a snapshot.
const snapshotGroups = 64

// Snapshot is the state of the groups with the most requests.
type Snapshot []GroupState

// GroupState is the state of a group in a snapshot.
type GroupState struct {
	Kind              int
	Name              string
	Account, Route    int
	Offered, Admitted float32
}

// Snapshot returns the state of the groups with the most requests.
func (t *Table) Snapshot(now time.Time) Snapshot {
	var s Snapshot
	for _, g := range t.Largest(now, snapshotGroups) {
		s = append(s, GroupState{int(g.Kind), g.Name, g.Priority.Account, g.Priority.Route, float32(g.Offered), float32(g.Admitted)})
	}
	return s
}

// Restore replaces the state of the groups by a snapshot that was taken at the given time. Groups with
// invalid figures are left out.
func (t *Table) Restore(taken time.Time, s Snapshot) {
	clear(t.index)
	t.lists = [kinds][]*count{}
	t.decayed = taken
	for _, g := range s {
		if g.Kind < 0 || g.Kind >= int(kinds) || !valid(g.Offered) || !valid(g.Admitted) {
			continue
		}
		c := t.group(group{Kind(g.Kind), g.Name, Priority{g.Account, g.Route}})
		c.offered, c.admitted = float64(g.Offered), float64(g.Admitted)
	}
}

// valid reports whether a count can be the result of counting.
func valid(n float32) bool { return n >= 0 && n <= math.MaxInt32 }
