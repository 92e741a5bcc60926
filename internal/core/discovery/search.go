package discovery

import (
	"slices"
	"time"
)

// Parameters of the search for any node that reaches the store when neither the primary
// nor the backup readers do.
const (
	// searchAge is the age of the last successful read by a primary or backup reader from
	// which on other nodes try. Backup readers begin to read up to 1.7 s after the loss of
	// the primary readers. If they are lost too, a change reaches all of 61 nodes after
	// 2.3 s, against 3.1 s with a searchAge of 2.8 s (simulated time, TestLeaving,
	// stand-ins-lost).
	searchAge = 2100 * time.Millisecond
	// searchWidth is the number of nodes that try at a time, in place of the last backup
	// readers. The next ones take over after searchStep. While the store is unavailable to
	// all nodes, the search therefore adds no callers.
	searchWidth = 4
	searchStep  = 1200 * time.Millisecond
	// searchHold is how long a node that reached the store keeps reading after its last
	// read.
	searchHold = 1500 * time.Millisecond
)

// Reads reports whether a node reads the store itself: as a primary reader, as a backup
// reader or, when none of these reaches the store, in its turn of the search.
func (r Ranking) Reads(node string, now time.Time, f Freshness) bool {
	sincePrimaries := now.Sub(f.Primaries)
	searching := now.Sub(f.Candidates) > searchAge
	switch {
	case !searching:
		return slices.Contains(r.Readers(sincePrimaries), node)
	case now.Sub(f.Own) < searchHold:
		return true
	}
	continuing := r.continuingReaders()
	return slices.Contains(continuing, node) || isSearchTurn(r.names[len(continuing):], node, now.Sub(f.AsOf()))
}

// continuingReaders returns the readers that keep trying during a search.
func (r Ranking) continuingReaders() []string {
	candidates := r.candidates()
	return candidates[:max(len(candidates)-searchWidth, min(r.primaries, len(candidates)))]
}

// isSearchTurn reports whether it is a node's turn among the others to try the store, given
// the age of its view.
func isSearchTurn(others []string, node string, age time.Duration) bool {
	at := slices.Index(others, node)
	if at < 0 || age <= searchAge {
		return false
	}
	turns := (len(others) + searchWidth - 1) / searchWidth
	// The backup readers had the first turn.
	return at/searchWidth == (1+int((age-searchAge)/searchStep))%turns
}
