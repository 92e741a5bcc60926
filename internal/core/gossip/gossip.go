// Package gossip tracks which changes of a set have been sent to each peer, so that
// heartbeats carry only the changes that a peer has not been sent yet.
//
// The set and its checksum belong to the caller. Nodes compare checksums with each
// heartbeat. A peer whose checksum differs although it was sent every change has restarted
// or lost a message, and is sent the whole set again.
//
// # Usage
//
//	log := gossip.NewChangeLog[string]()
//	log.MarkChanged(key)
//	keys := log.NextUpdates(peer, maxKeys)
//	if sum != own && log.HandleMismatch(now, peer) {
//		// answer with NextUpdates
//	}
package gossip

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minResendInterval is the minimum time between two transfers of the whole set to a peer,
	// and resendIntervalPerKey is added to it for each key: 1,024 entries of 30 bytes are sent
	// at most every 12 s to a peer whose checksum stays different.
	minResendInterval    = 2 * time.Second
	resendIntervalPerKey = 10 * time.Millisecond
)

// ChangeLog holds the order of the last changes of a set's keys, and the last change that was sent to
// each peer. It is not safe for concurrent use.
type ChangeLog[K comparable] struct {
	lastChange uint64
	changes    map[K]uint64
	peers      map[string]*peer
}

// peer is the state of the updates sent to one peer.
type peer struct {
	sentUpTo   uint64
	lastResend time.Time
}

// NewChangeLog returns an empty log.
func NewChangeLog[K comparable]() *ChangeLog[K] {
	return &ChangeLog[K]{changes: make(map[K]uint64), peers: make(map[string]*peer)}
}

// MarkChanged records that a key was added to the set or that its value changed.
func (l *ChangeLog[K]) MarkChanged(key K) {
	l.lastChange++
	l.changes[key] = l.lastChange
}

// Remove removes a key that is no longer in the set.
func (l *ChangeLog[K]) Remove(key K) { delete(l.changes, key) }

// NextUpdates returns up to limit keys whose last change was not sent to a peer yet, the ones
// with the oldest changes if there are more, and marks them as sent.
func (l *ChangeLog[K]) NextUpdates(to string, limit int) []K {
	if l.lastChange == 0 {
		return nil
	}
	p := l.peer(to)
	if p.sentUpTo == l.lastChange {
		return nil
	}
	var keys []K
	for key, change := range l.changes {
		if change > p.sentUpTo {
			keys = append(keys, key)
		}
	}
	if len(keys) <= limit {
		p.sentUpTo = l.lastChange
		return keys
	}
	slices.SortFunc(keys, func(a, b K) int { return cmp.Compare(l.changes[a], l.changes[b]) })
	keys = keys[:limit]
	p.sentUpTo = l.changes[keys[limit-1]]
	return keys
}

// HandleMismatch handles a peer whose checksum differs, and reports whether there is anything to
// send to it now.
func (l *ChangeLog[K]) HandleMismatch(now time.Time, from string) bool {
	if l.lastChange == 0 {
		return false
	}
	p := l.peer(from)
	if p.sentUpTo < l.lastChange {
		return true
	}
	gap := minResendInterval + time.Duration(len(l.changes))*resendIntervalPerKey
	if !p.lastResend.IsZero() && now.Sub(p.lastResend) < gap {
		return false
	}
	p.lastResend = now
	p.sentUpTo = 0
	return true
}

// ForgetPeers removes the state of the peers for which gone returns true.
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
