package discovery

import (
	"slices"
	"time"
)

// The search for any node that reaches the store, when neither the usual readers nor
// those that stand in first do.
const (
	// searchAge is how long ago any of these had the store's state from which on
	// others try. Those that stand in begin to read up to 1.7 s after the readers were
	// lost. When they are lost too, a change has reached all of 61 nodes after 2.3 s;
	// at 2.8 s it took 3.1 s (simulated time, TestLeaving, stand-ins-lost).
	searchAge = 2100 * time.Millisecond
	// searchers try at a time, in the place of the last that stand in, the next ones
	// after searchStep: while the store is away from all, no more nodes call it than
	// without the search.
	searchers  = 4
	searchStep = 1200 * time.Millisecond
	// searchHold is how long after its own last read a node that found the store
	// goes on.
	searchHold = 1500 * time.Millisecond
)

// Reads reports whether a node reads the store itself: as one of the usual readers, in
// their place, or, when none of all these reaches the store, in its turn.
func (r Ranking) Reads(node string, now time.Time, f Freshness) bool {
	away := now.Sub(f.Primaries)
	searching := now.Sub(f.Candidates) > searchAge
	switch {
	case !searching:
		return slices.Contains(r.Readers(away), node)
	case now.Sub(f.Own) < searchHold:
		return true
	}
	steady := r.steady()
	return slices.Contains(steady, node) || searches(r.names[len(steady):], node, now.Sub(f.AsOf()))
}

// steady are the readers that go on trying during a search.
func (r Ranking) steady() []string {
	first := r.first()
	return first[:max(len(first)-searchers, min(r.usual, len(first)))]
}

// searches reports whether it is a node's turn among others to try the store when its
// view has an age.
func searches(others []string, node string, age time.Duration) bool {
	at := slices.Index(others, node)
	if at < 0 || age <= searchAge {
		return false
	}
	turns := (len(others) + searchers - 1) / searchers
	// The first turn was that of the ones that stood in.
	return at/searchers == (1+int((age-searchAge)/searchStep))%turns
}
