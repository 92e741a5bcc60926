package signal

import (
	"iter"
	"maps"
	"slices"
	"time"

	"gradetiller.example/internal/core/gossip"
	"gradetiller.example/internal/core/hash"
)

const (
	// drainingTTL is how long an endpoint is kept after it was last listed or observed. It is
	// longer than the age of any endpoint list that a store may restore.
	drainingTTL = 5 * time.Minute
	// maxDraining limits the size of the set. When it is full, the endpoint that was last seen the
	// longest ago is evicted.
	maxDraining = 16384
)

// Draining is the set of endpoints that announced in an answer that they are draining. An endpoint
// remains in the set until it terminates. Its ID identifies one incarnation, so an endpoint that
// restarts is not in the set. Draining is not safe for concurrent use.
type Draining struct {
	seen map[string]time.Time
	log  *gossip.ChangeLog[string]
}

// DrainingUpdate is an element of the set as exchanged between nodes.
type DrainingUpdate struct {
	Endpoint string
	// Age is the time since the endpoint was last listed or observed.
	Age time.Duration
}

// NewDraining returns an empty set.
func NewDraining() *Draining {
	return &Draining{seen: make(map[string]time.Time), log: gossip.NewChangeLog[string]()}
}

// Len returns the number of endpoints in the set.
func (d *Draining) Len() int { return len(d.seen) }

// Has reports whether an endpoint is in the set.
func (d *Draining) Has(endpoint string) bool {
	_, ok := d.seen[endpoint]
	return ok
}

// All yields the endpoints in the set.
func (d *Draining) All() iter.Seq[string] { return maps.Keys(d.seen) }

// Observe adds an endpoint that announces draining, and reports whether it was not in the set.
func (d *Draining) Observe(now time.Time, endpoint string) bool { return d.add(endpoint, now) }

func (d *Draining) add(endpoint string, at time.Time) bool {
	before, known := d.seen[endpoint]
	if !known && len(d.seen) >= maxDraining {
		d.evict()
	}
	if at.After(before) {
		d.seen[endpoint] = at
	}
	if !known {
		d.log.MarkChanged(endpoint)
	}
	return !known
}

func (d *Draining) evict() {
	oldest := ""
	for endpoint, at := range d.seen {
		if oldest == "" || at.Before(d.seen[oldest]) {
			oldest = endpoint
		}
	}
	d.drop(oldest)
}

func (d *Draining) drop(endpoint string) {
	delete(d.seen, endpoint)
	d.log.Remove(endpoint)
}

// Merge applies updates from a peer and returns the endpoints that were added.
func (d *Draining) Merge(now time.Time, updates []DrainingUpdate) []string {
	var added []string
	for _, u := range updates {
		if u.Age < drainingTTL && d.add(u.Endpoint, now.Add(-max(u.Age, 0))) {
			added = append(added, u.Endpoint)
		}
	}
	return added
}

// Expire removes the endpoints that were neither listed nor observed for drainingTTL.
func (d *Draining) Expire(now time.Time, listed func(endpoint string) bool) {
	for endpoint, at := range d.seen {
		switch {
		case listed(endpoint):
			d.seen[endpoint] = now
		case now.Sub(at) >= drainingTTL:
			d.drop(endpoint)
		}
	}
}

// Checksum returns a checksum that is equal on nodes with the same set.
func (d *Draining) Checksum() uint64 {
	sum := uint64(0)
	for endpoint := range d.seen {
		sum ^= hash.Mix(hash.Of(endpoint))
	}
	return sum
}

// NextUpdates returns at most n endpoints that have not been sent to a peer, and marks them as sent.
func (d *Draining) NextUpdates(now time.Time, to string, n int) []DrainingUpdate {
	endpoints := d.log.NextUpdates(to, n)
	slices.Sort(endpoints)
	updates := make([]DrainingUpdate, len(endpoints))
	for i, endpoint := range endpoints {
		updates[i] = DrainingUpdate{Endpoint: endpoint, Age: now.Sub(d.seen[endpoint])}
	}
	return updates
}

// NeedsUpdate compares the checksum of a peer with that of this set, and reports whether there are
// updates for the peer.
func (d *Draining) NeedsUpdate(now time.Time, from string, sum uint64) bool {
	return sum != d.Checksum() && d.log.HandleMismatch(now, from)
}

// ForgetPeers removes the state kept for peers that have gone.
func (d *Draining) ForgetPeers(gone func(peer string) bool) { d.log.ForgetPeers(gone) }
