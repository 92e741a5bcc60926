// Package gossip keeps, for each peer, which changes of a set it was told, so that
// heartbeats carry what is new and nothing else.
//
// The set itself, and what a sum over it is, belong to its owner. Nodes compare sums with
// each heartbeat: a peer with another one although it was told everything has begun anew, or
// lost some of it on the way, and is told all again.
//
// # Usage
//
//	log := gossip.NewLog[string]()
//	log.Changed(key)
//	keys := log.News(peer, most)
//	if sum != own && log.Differs(now, peer) {
//		// answer with News
//	}
package gossip

import (
	"cmp"
	"slices"
	"time"
)

const (
	// resendGap is how long after a peer was told everything it may be told so again, and
	// resendEach what each key adds to that: 1,024 entries of 30 bytes are sent at most
	// each 12 s to a peer that goes on to know others.
	resendGap  = 2 * time.Second
	resendEach = 10 * time.Millisecond
)

// ChangeLog is the order of the last changes of a set's keys, and up to which of them each peer was
// told. It is not safe for concurrent use.
type ChangeLog[K comparable] struct {
	last    uint64
	changes map[K]uint64
	peers   map[string]*peer
}

// peer is what another node was told.
type peer struct {
	upTo   uint64
	resent time.Time
}

// NewChangeLog returns a log without changes.
func NewChangeLog[K comparable]() *ChangeLog[K] {
	return &ChangeLog[K]{changes: make(map[K]uint64), peers: make(map[string]*peer)}
}

// MarkChanged notes that a key is new in the set, or what it stands for is.
func (l *ChangeLog[K]) MarkChanged(key K) {
	l.last++
	l.changes[key] = l.last
}

// Remove forgets a key that is not in the set any more.
func (l *ChangeLog[K]) Remove(key K) { delete(l.changes, key) }

// NextUpdates returns the keys whose last change a peer was not told yet, most at a time, the
// oldest changes first. They count as told.
func (l *ChangeLog[K]) NextUpdates(to string, most int) []K {
	if l.last == 0 {
		return nil
	}
	p := l.peer(to)
	if p.upTo == l.last {
		return nil
	}
	var keys []K
	for key, change := range l.changes {
		if change > p.upTo {
			keys = append(keys, key)
		}
	}
	if len(keys) <= most {
		p.upTo = l.last
		return keys
	}
	slices.SortFunc(keys, func(a, b K) int { return cmp.Compare(l.changes[a], l.changes[b]) })
	keys = keys[:most]
	p.upTo = l.changes[keys[most-1]]
	return keys
}

// HandleMismatch takes in that a peer knows another set, and reports whether there is anything to
// tell it.
func (l *ChangeLog[K]) HandleMismatch(now time.Time, from string) bool {
	if l.last == 0 {
		return false
	}
	p := l.peer(from)
	if p.upTo < l.last {
		return true
	}
	gap := resendGap + time.Duration(len(l.changes))*resendEach
	if !p.resent.IsZero() && now.Sub(p.resent) < gap {
		return false
	}
	p.resent = now
	p.upTo = 0
	return true
}

// ForgetPeers drops what is known of peers that are gone.
func (l *ChangeLog[K]) ForgetPeers(gone func(peer string) bool) {
	for name := range l.peers {
		if gone(name) {
			delete(l.peers, name)
		}
	}
}

func (l *ChangeLog[K]) peer(name string) *peer {
	p, ok := l.peers[name]
	if !ok {
		p = &peer{}
		l.peers[name] = p
	}
	return p
}
