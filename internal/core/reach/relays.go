package reach

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"gradetiller.example/internal/core/hash"
	"gradetiller.example/internal/core/lead"
	"gradetiller.example/internal/wire"
)

const (
	// MaxAsked is how many nodes are asked to connect to an endpoint at most. Of 96 nodes of which 86
	// have lost their paths, each finds a relay within a few connections.
	MaxAsked = 5
	// spread is how many nodes take turns in relaying for a node. It bounds the nodes that open
	// connections to each other when many lose their paths at once.
	spread = 4
	// avoidPeriod is how long a node that could not relay is asked after the others.
	avoidPeriod = 2 * time.Second
	// incapablePeriod is how long a node of an earlier version is asked after the others.
	incapablePeriod = time.Minute
)

// relayUse is a node as a relay to a service; the service "" stands for all.
type relayUse struct{ node, service string }

// Relays chooses the nodes that a node asks to connect to endpoints that it can't reach. It is not
// safe for concurrent use.
type Relays struct {
	self    string
	ranked  []wire.Entry
	from    *[]wire.Entry
	avoided map[relayUse]time.Time
	// worked holds the nodes that relayed when they were last asked.
	worked map[relayUse]bool
	turn   int
}

// NewRelays returns the relays of the named node.
func NewRelays(self string) *Relays {
	return &Relays{self: self, avoided: make(map[relayUse]time.Time), worked: make(map[relayUse]bool)}
}

// Candidates returns the nodes to ask for a connection to a service, at most MaxAsked of them, the
// first choice first. The entries are those of the live nodes; the ranking is kept as long as the
// pointer stays the same.
func (r *Relays) Candidates(now time.Time, service string, entries *[]wire.Entry) []wire.Entry {
	if r.from != entries {
		r.from, r.ranked = entries, rank(r.self, *entries)
	}
	var usable, avoided []wire.Entry
	for _, e := range r.ranked {
		if r.avoidedUntil(e.Node, service).After(now) {
			avoided = append(avoided, e)
			continue
		}
		if usable = append(usable, e); len(usable) >= max(spread, MaxAsked) {
			break
		}
	}
	list := r.takeTurns(usable, service)
	slices.SortStableFunc(avoided, func(a, b wire.Entry) int {
		return r.avoidedUntil(a.Node, service).Compare(r.avoidedUntil(b.Node, service))
	})
	list = append(list, avoided...)
	return list[:min(len(list), MaxAsked)]
}

// takeTurns orders nodes that may relay to a service so that the first spread of them are the first in
// turn. If that is one that was not asked yet, one that is known to work follows.
func (r *Relays) takeTurns(usable []wire.Entry, service string) []wire.Entry {
	if len(usable) == 0 {
		return nil
	}
	r.turn++
	first := r.turn % min(len(usable), spread)
	list := append([]wire.Entry{usable[first]}, slices.Delete(slices.Clone(usable), first, first+1)...)
	works := func(e wire.Entry) bool { return r.worked[relayUse{e.Node, service}] }
	if k := slices.IndexFunc(list, works); k > 1 {
		known := list[k]
		list = slices.Insert(slices.Delete(list, k, k+1), 1, known)
	}
	return list
}

func (r *Relays) avoidedUntil(node, service string) time.Time {
	all, one := r.avoided[relayUse{node: node}], r.avoided[relayUse{node, service}]
	if all.After(one) {
		return all
	}
	return one
}

// RecordWorking records that a node connected to an endpoint of a service.
func (r *Relays) RecordWorking(node, service string) {
	delete(r.avoided, relayUse{node: node})
	delete(r.avoided, relayUse{node, service})
	r.worked[relayUse{node, service}] = true
}

// RecordNoPath records that a node can't reach an endpoint of a service either.
func (r *Relays) RecordNoPath(now time.Time, node, service string) {
	r.avoid(relayUse{node, service}, now.Add(avoidPeriod))
}

// RecordUnavailable records that a node does not relay now.
func (r *Relays) RecordUnavailable(now time.Time, node string) {
	r.avoid(relayUse{node: node}, now.Add(avoidPeriod))
}

// RecordIncapable records that a node is of a version that does not relay.
func (r *Relays) RecordIncapable(now time.Time, node string) {
	r.avoid(relayUse{node: node}, now.Add(incapablePeriod))
}

func (r *Relays) avoid(use relayUse, until time.Time) {
	r.avoided[use] = until
	for known := range r.worked {
		if known.node == use.node && (use.service == "" || known.service == use.service) {
			delete(r.worked, known)
		}
	}
}

// Expire forgets the nodes that are asked again, and those that are gone.
func (r *Relays) Expire(now time.Time) {
	for use, until := range r.avoided {
		if !until.After(now) {
			delete(r.avoided, use)
		}
	}
	maps.DeleteFunc(r.worked, func(use relayUse, _ bool) bool {
		return !slices.ContainsFunc(r.ranked, func(e wire.Entry) bool { return e.Node == use.node })
	})
}

// rank orders the nodes that may relay for a node: large instances first, and within a size those of
// its own failure domain and of others in turn, since all of a domain may lose their paths at once.
// Each node has another order, so that they share the load.
func rank(self string, entries []wire.Entry) []wire.Entry {
	domain := ""
	var staying []wire.Entry
	for _, e := range entries {
		switch {
		case e.Node == self:
			domain = e.Domain
		case !e.Leaving:
			staying = append(staying, e)
		}
	}
	large, small := lead.SplitBySize(staying)
	return append(alternate(self, domain, large), alternate(self, domain, small)...)
}

func alternate(self, domain string, entries []wire.Entry) []wire.Entry {
	key := hash.Of(self)
	weights := make(map[string]uint64, len(entries))
	var own, other []wire.Entry
	for _, e := range entries {
		weights[e.Node] = hash.Pair(key, hash.Of(e.Node))
		if e.Domain == domain {
			own = append(own, e)
		} else {
			other = append(other, e)
		}
	}
	byWeight := func(a, b wire.Entry) int {
		return cmp.Or(cmp.Compare(weights[b.Node], weights[a.Node]), cmp.Compare(a.Node, b.Node))
	}
	slices.SortFunc(own, byWeight)
	slices.SortFunc(other, byWeight)
	list := make([]wire.Entry, 0, len(entries))
	for k := range max(len(own), len(other)) {
		if k < len(own) {
			list = append(list, own[k])
		}
		if k < len(other) {
			list = append(list, other[k])
		}
	}
	return list
}
