package node

import (
	"net/http"
	"slices"

	"gradetiller.example/internal/core/catalog"
	"gradetiller.example/internal/core/discovery"
	"gradetiller.example/internal/core/subset"
	"gradetiller.example/internal/wire"
	"gradetiller.example/platform"
)

// checkRegion determines the regions that may serve a request and returns the status with which to
// refuse it, or 0. A node elsewhere must not even hold the request's body: its answer says that the
// request was misdirected, and look-ups lead the client to other nodes.
func (n *Node) checkRegion(q *request, account *catalog.Account) int {
	regions, ok := q.route.HomeRegions(account)
	switch {
	case !ok:
		return http.StatusServiceUnavailable
	case !regions.Allow(n.settings.Region):
		return http.StatusMisdirectedRequest
	}
	q.regions = regions
	return 0
}

// domainsOf returns a function that reports whether a failure domain lies in one of the regions, or
// nil if there is no restriction.
func (n *Node) domainsOf(regions catalog.Regions) func(domain string) bool {
	if len(regions) == 0 {
		return nil
	}
	return func(domain string) bool { return regions.Allow(n.settings.Regions[domain]) }
}

// mayCopyFrom reports whether an endpoint may copy cached parts of a request's prompt from an
// address. A leader of an earlier version does not know home regions.
func (n *Node) mayCopyFrom(q *request, address string) bool {
	domains := n.domainsOf(q.regions)
	if domains == nil {
		return true
	}
	for e := range n.view.Load().endpoints.All() {
		if e.Address == address && domains(e.Domain) {
			return true
		}
	}
	return false
}

// lookupAddresses returns the addresses of the nodes that a client should use: those in the home
// regions of the host's routes. A look-up does not name the client account. If accounts are
// restricted to a region, the answer holds a node there, since the others misdirect their requests.
func (n *Node) lookupAddresses(query platform.LookupQuery) []string {
	entries := *n.entries.Load()
	cfg := n.view.Load().config
	if cfg == nil {
		return subset.Addresses(entries, n.settings.Node, query.Domain)
	}
	serving, accounts := cfg.LookupRegions(query.Name)
	addresses := subset.Addresses(entriesIn(entries, serving), n.settings.Node, query.Domain)
	for _, region := range accounts {
		there := entriesIn(entries, catalog.Regions{region})
		if !serving.Allow(region) || slices.ContainsFunc(there, func(e wire.Entry) bool { return slices.Contains(addresses, e.Address) }) {
			continue
		}
		// Each answering node names another one.
		if name := discovery.ReaderFor(nodeNames(there), n.settings.Node, 0); name != "" {
			addresses = append(addresses, entriesOf(there, []string{name})[0].Address)
		}
	}
	return addresses
}

// entriesIn returns the entries of nodes that are not leaving in the given regions.
func entriesIn(entries []wire.Entry, regions catalog.Regions) []wire.Entry {
	var list []wire.Entry
	for _, e := range entries {
		if !e.Leaving && regions.Allow(e.Region) {
			list = append(list, e)
		}
	}
	return list
}
