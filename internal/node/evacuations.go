package node

import (
	"time"

	"go.uber.org/zap"

	"gradetiller.example/internal/core/catalog"
	"gradetiller.example/internal/core/discovery"
	"gradetiller.example/platform"
)

// applyStoreEvacuations applies the evacuations that were read from the store.
func (n *Node) applyStoreEvacuations(r platform.ConfigUpdate) {
	n.logEvacuationFaults(r)
	n.updateEvacuations(sourceStore, func(now time.Time, present discovery.Evacuations) discovery.Evacuations {
		if !r.Complete {
			return present.ApplyChanges(now, r.Revision, r.Evacuations)
		}
		var domains []string
		for _, e := range r.Evacuations {
			domains = append(domains, e.Domain)
		}
		return present.Replace(now, r.Revision, domains)
	})
}

// logEvacuationFaults logs each malformed evacuation row once while it is present.
func (n *Node) logEvacuationFaults(r platform.ConfigUpdate) {
	present := make(map[string]bool, len(r.Refused))
	for _, refused := range r.Refused {
		present[refused.Error()] = true
		if !n.loggedEvacuationFaults[refused.Error()] {
			n.log.Warn(eventEvacuationRefused, zap.Bool("holds", refused.Effective), zap.Error(refused))
		}
	}
	if r.Complete || len(present) > 0 {
		n.loggedEvacuationFaults = present
	}
}

// updateEvacuations applies a change to the evacuations and publishes the resulting view.
func (n *Node) updateEvacuations(source string, change func(now time.Time, present discovery.Evacuations) discovery.Evacuations) {
	n.viewMu.Lock()
	old := n.view.Load()
	next := *old
	now := time.Now()
	next.evacuations = change(now, old.evacuations).Expire(now)
	if next.evacuations.Revision() == old.evacuations.Revision() && next.evacuations.Equal(old.evacuations) {
		n.viewMu.Unlock()
		return
	}
	n.view.Store(&next)
	n.viewMu.Unlock()
	if old.evacuations.Known() && next.evacuations.Equal(old.evacuations) {
		return
	}
	n.logEvacuations(source, old, &next)
	n.updatePools()
}

// logEvacuations logs the evacuations that started or ended between two views.
func (n *Node) logEvacuations(source string, old, next *view) {
	for _, domain := range next.evacuations.Domains() {
		if !old.evacuations.Contains(domain) {
			n.log.Info(eventEvacuationInForce, zap.String("failure_domain", domain), zap.Int("endpoints", next.endpointsIn(domain)), zap.Stringer("revision", next.evacuations.Revision()), zap.String("source", source))
		}
	}
	for _, domain := range old.evacuations.Domains() {
		if !next.evacuations.Contains(domain) {
			n.log.Info(eventEvacuationEnded, zap.String("failure_domain", domain), zap.Int("endpoints", next.endpointsIn(domain)), zap.Stringer("revision", next.evacuations.Revision()), zap.String("source", source))
		}
	}
}

// endpointsIn returns the number of endpoints in a failure domain. If an evacuated one has
// none, its name may be mistyped.
func (v *view) endpointsIn(domain string) int {
	count := 0
	for e := range v.endpoints.All() {
		if e.Domain == domain {
			count++
		}
	}
	return count
}

// coldPeriod returns the period during which an endpoint of a service is considered cold: as
// listed, or for the cold time of the service after an evacuation ended, because the list may
// show that too late.
func (v *view) coldPeriod(service catalog.Service, e catalog.Endpoint) discovery.ColdPeriod {
	cold := v.cold[e.ID]
	ended := v.evacuations.EndedAt(e.Domain)
	if ended.IsZero() || cold.Until.After(ended) {
		return cold
	}
	return discovery.ColdPeriod{Since: ended, Until: ended.Add(service.ColdTime)}
}
