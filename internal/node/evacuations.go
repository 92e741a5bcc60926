package node

import (
	"time"

	"go.uber.org/zap"

	"gradetiller.example/internal/core/catalog"
	"gradetiller.example/internal/core/discovery"
	"gradetiller.example/platform"
)

// applyStoreEvacuations takes in what the store tells of evacuated failure domains.
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

// logEvacuationFaults logs each row that is not as it should be once, as long as it is there.
func (n *Node) logEvacuationFaults(r platform.ConfigUpdate) {
	now := make(map[string]bool, len(r.Refused))
	for _, refused := range r.Refused {
		now[refused.Error()] = true
		if !n.loggedEvacuationFaults[refused.Error()] {
			n.log.Warn(eventEvacuationRefused, zap.Bool("holds", refused.Effective), zap.Error(refused))
		}
	}
	if r.Complete || len(now) > 0 {
		n.loggedEvacuationFaults = now
	}
}

// updateEvacuations puts evacuations in force that change makes of the present ones.
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

// logEvacuations logs what changed from one view to the next.
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

// endpointsIn counts the endpoints of a failure domain. None for an evacuated one may be a
// mistake in its name.
func (v *view) endpointsIn(domain string) int {
	count := 0
	for _, e := range v.endpoints {
		if e.Domain == domain {
			count++
		}
	}
	return count
}

// coldPeriod is when an endpoint of a service is taken to be cold: as the list tells, and for
// the time of a start after an evacuation, of which the list may tell too late.
func (v *view) coldPeriod(service catalog.Service, e catalog.Endpoint) discovery.ColdPeriod {
	cold := v.cold[e.ID]
	ended := v.evacuations.EndedAt(e.Domain)
	if ended.IsZero() || cold.Until.After(ended) {
		return cold
	}
	return discovery.ColdPeriod{Since: ended, Until: ended.Add(service.ColdTime)}
}
