package node

import (
	"bytes"
	"sync"
	"time"

	"go.uber.org/zap"

	"gradetiller.example/internal/core/catalog"
	"gradetiller.example/internal/core/discovery"
	"gradetiller.example/internal/core/mechanism"
	"gradetiller.example/internal/core/place"
	"gradetiller.example/internal/packed"
	"gradetiller.example/internal/wire"
	"gradetiller.example/platform"
)

// view is what a node believes of the configuration and the endpoints. It is
// never changed after it was put in force.
type view struct {
	config *catalog.Config
	file   *configFile
	// endpoints is the list as of a revision.
	endpoints []catalog.Endpoint
	// cold are those of them that are taken to be cold, by id.
	cold map[string]discovery.ColdPeriod
	// revision orders such lists.
	revision catalog.Revision
	// evacuations are the failure domains to which nothing further is sent.
	evacuations discovery.Evacuations
	// fresh is as of when all this is known to be the store's.
	fresh discovery.Freshness
}

// complete reports whether a node can serve by the view: it has a configuration and a list
// of endpoints, and it is known which failure domains are evacuated.
func (v *view) complete() bool {
	return v.config != nil && !v.fresh.List.IsZero() && v.evacuations.Known()
}

// version is the version of the configuration in force, or 0.
func (v *view) version() uint64 {
	if v.config == nil {
		return 0
	}
	return v.config.Version
}

// configFile is a configuration as it goes to peers. It is compressed when the
// first of them asks: with 1,400 routes it has 288 kB, which take a link of 20 Mbit/s
// 115 ms, and 15 kB compressed (TestConfigurationsGoCompressed).
type configFile struct {
	data   []byte
	once   sync.Once
	packed []byte
}

// pack returns the compressed file, or nil if it can't be compressed.
func (f *configFile) pack() []byte {
	f.once.Do(func() { f.packed, _ = packed.Pack(f.data) })
	return f.packed
}

// applyConfig puts a configuration in force if it is above the present one.
func (n *Node) applyConfig(data []byte, source string) {
	if inForce := n.view.Load().file; inForce != nil && bytes.Equal(inForce.data, data) {
		return
	}
	cfg, err := platform.ParseConfig(data)
	if err != nil {
		n.configsRefused.Add(1)
		n.log.Error(eventConfigurationRefused, zap.String("source", source), zap.Uint64("in_force", n.view.Load().version()), zap.Error(err))
		return
	}
	n.viewMu.Lock()
	old := n.view.Load()
	if old.config != nil && cfg.Version <= old.config.Version {
		n.viewMu.Unlock()
		return
	}
	next := *old
	next.config = cfg
	next.file = &configFile{data: data}
	n.view.Store(&next)
	n.viewMu.Unlock()
	n.log.Info(eventConfigurationInForce, zap.Uint64("version", cfg.Version), zap.String("source", source), zap.Int("routes", len(cfg.Routes)))
	n.membersMu.Lock()
	n.members.SetConfigVersion(cfg.Version)
	n.membersMu.Unlock()
	n.updatePools()
}

// applyStoreEndpoints takes a list in that was read from the store at a moment.
func (n *Node) applyStoreEndpoints(list []catalog.Endpoint, revision catalog.Revision, at time.Time) {
	fresh := n.recordRead(func(own *discovery.DirectReads) { own.RecordList(at) })
	n.updateEndpoints(sourceStore, fresh, func() bool { return n.list.ApplySnapshot(at, list, revision) })
}

// recordConfigRead notes that the store told this node its newest configuration as of a
// moment, whether it could be put in force or not.
func (n *Node) recordConfigRead(at time.Time) {
	fresh := n.recordRead(func(own *discovery.DirectReads) { own.RecordConfig(at) })
	n.updateEndpoints(sourceStore, fresh, func() bool { return false })
}

// recordRead notes a read of the store and returns what this node knows by its own
// reads.
func (n *Node) recordRead(note func(*discovery.DirectReads)) discovery.Freshness {
	n.viewMu.Lock()
	defer n.viewMu.Unlock()
	note(&n.directReads)
	return n.directReads.Freshness(*n.ranking.Load(), n.settings.Node)
}

// Where news of the view come from, in log lines.
const (
	sourceStore = "store"
	sourcePeer  = "peer"
)

// updateEndpoints changes the list and puts it in force if anything changed, and
// notes as of when the view is the store's.
func (n *Node) updateEndpoints(source string, fresh discovery.Freshness, change func() bool) {
	now := time.Now()
	n.viewMu.Lock()
	listAge := age(now, n.list.AsOf())
	changed := change()
	if kept := int64(n.list.Lapsed()); n.keptEndpoints.Swap(kept) != kept {
		n.log.Info(eventEndpointsKept, zap.Int64("count", kept), zap.String("source", source), zap.Int64("list_age_ms", listAge))
	}
	old := n.view.Load()
	doubted := n.list.Outdated()
	next := *old
	next.revision = n.list.Revision()
	next.fresh = old.fresh.Merge(fresh)
	if next.fresh.Primaries.IsZero() {
		// The readers are given their time before others stand in for them.
		next.fresh.Primaries = next.fresh.List
	}
	if next.fresh.Candidates.IsZero() {
		next.fresh.Candidates = next.fresh.List
	}
	if changed {
		next.endpoints, next.cold = n.list.Endpoints(), n.list.Cold()
		n.signals.markDraining(next.endpoints)
		n.logEndpoints(source, listAge, old.endpoints, next.endpoints)
	}
	n.view.Store(&next)
	n.viewMu.Unlock()
	n.updateGuardEndpoints(next.fresh.List, next.endpoints)
	if next.revision.Era() > old.revision.Era() && old.revision != 0 {
		n.log.Warn(eventStoreRestored, zap.Stringer("before", old.revision), zap.Stringer("after", next.revision), zap.Int("doubted", doubted), zap.String("source", source))
	}
	if next.revision != old.revision {
		n.advertiseRevision(next.revision, old.fresh.Stale(now))
	}
	if changed {
		n.updatePools()
	}
}

// advertiseRevision has the heartbeats tell the revision of the list, at once when it is the
// first news in a while: then the readers are lost, and the nodes that would ask for
// them may go on asking lost ones. With the readers and all that stand in for them first
// lost, 61 nodes have dropped an endpoint 2.3 s after it left, and 4.2 s without this
// (simulated time, TestLeaving, stand-ins-lost).
func (n *Node) advertiseRevision(revision catalog.Revision, late bool) {
	n.membersMu.Lock()
	defer n.membersMu.Unlock()
	n.members.SetListRevision(uint64(revision), late)
}

// logEndpoints logs what a list that was not renewed for some milliseconds became.
func (n *Node) logEndpoints(source string, listAge int64, before, after []catalog.Endpoint) {
	known := make(map[string]catalog.Endpoint, len(before))
	for _, e := range before {
		known[e.ID] = e
	}
	for _, e := range after {
		old, ok := known[e.ID]
		delete(known, e.ID)
		if !ok || old.Draining != e.Draining || old.ColdRemaining == 0 && e.ColdRemaining > 0 {
			n.log.Info(eventEndpointListed, zap.String("endpoint", e.ID), zap.String("service", e.Service), zap.String("address", e.Address), zap.Bool("draining", e.Draining), zap.Duration("cold", e.ColdRemaining), zap.String("source", source), zap.Int64("list_age_ms", listAge))
		}
	}
	for id, e := range known {
		n.log.Info(eventEndpointRemoved, zap.String("endpoint", id), zap.String("service", e.Service), zap.String("source", source), zap.Int64("list_age_ms", listAge))
	}
}

// updatePools hands the view in force to the pools, once it is complete. Other nodes may
// submit work before.
func (n *Node) updatePools() {
	n.poolsMu.Lock()
	defer n.poolsMu.Unlock()
	// The view is looked at under the lock, so that no older one is put in force after it.
	v := n.view.Load()
	if !v.complete() {
		return
	}
	n.pools.update(v)
	n.times.keep(v.config)
	n.leaders.update(time.Now(), v)
}

// handleViewRequest sends a peer what it lacks.
func (n *Node) handleViewRequest(m *wire.ViewRequest, answer func(wire.Message) error) {
	n.viewMu.Lock()
	v := n.view.Load()
	delta := n.list.ChangesSince(catalog.Revision(m.EndpointsAbove))
	n.viewMu.Unlock()
	now := time.Now()
	out := wire.View{
		Revision: uint64(delta.Revision), Whole: delta.Full, Gone: delta.Removed, Digest: delta.Digest,
		Age: age(now, v.fresh.List), ConfigAge: age(now, v.fresh.Config), ReadersAge: age(now, v.fresh.Primaries),
		StandInsAge: age(now, v.fresh.Candidates),
		Evacuated:   v.evacuations.Listed(), EvacuatedRevision: uint64(v.evacuations.Revision()),
	}
	for _, e := range delta.Changed {
		out.Changed = append(out.Changed, wire.Worker(e))
	}
	if v.config != nil && v.config.Version > m.ConfigAbove {
		out.ConfigVersion = v.config.Version
		out.Config = v.file.data
		if small := v.file.pack(); m.TakesPacked && small != nil {
			out.Config, out.Packed = small, true
		}
	}
	_ = answer(out)
}

// unknownAge is the age, in milliseconds, of what was never known.
const unknownAge = int64(24 * time.Hour / time.Millisecond)

// age is how long ago a moment was, in milliseconds.
func age(now, at time.Time) int64 {
	if at.IsZero() {
		return unknownAge
	}
	return now.Sub(at).Milliseconds()
}

// timeOfAge is the one that has an age, or zero.
func timeOfAge(now time.Time, age int64) time.Time {
	if age >= unknownAge {
		return time.Time{}
	}
	return now.Add(-time.Duration(age) * time.Millisecond)
}

// applyView takes a peer's answer in.
func (n *Node) applyView(m *wire.View) {
	if len(m.Config) > 0 && m.ConfigVersion > n.view.Load().version() {
		n.applyPeerConfig(m)
	}
	if m.EvacuatedRevision > 0 {
		n.updateEvacuations(sourcePeer, func(now time.Time, present discovery.Evacuations) discovery.Evacuations {
			return present.Replace(now, catalog.Revision(m.EvacuatedRevision), m.Evacuated)
		})
	}
	if m.Revision == 0 {
		return
	}
	delta := discovery.Delta{Revision: catalog.Revision(m.Revision), Full: m.Whole, Removed: m.Gone, Digest: m.Digest}
	for _, w := range m.Changed {
		delta.Changed = append(delta.Changed, catalog.Endpoint(w))
	}
	now := time.Now()
	fresh := discovery.Freshness{List: timeOfAge(now, m.Age), Primaries: timeOfAge(now, m.ReadersAge), Candidates: timeOfAge(now, m.StandInsAge)}
	if m.ConfigVersion <= n.view.Load().version() && m.EvacuatedRevision > 0 {
		// What the peer holds is in force here too. Of evacuations one of an earlier
		// version knows nothing.
		fresh.Config = timeOfAge(now, m.ConfigAge)
	}
	n.updateEndpoints(sourcePeer, fresh, func() bool { return n.list.ApplyDelta(fresh.List, delta) })
}

// applyPeerConfig takes a configuration that a peer sent.
func (n *Node) applyPeerConfig(m *wire.View) {
	data := m.Config
	if m.Packed {
		unpacked, err := packed.Unpack(data)
		if err != nil {
			n.log.Error(eventConfigurationRefused, zap.String("source", sourcePeer), zap.Error(err))
			return
		}
		data = unpacked
	}
	n.applyConfig(data, sourcePeer)
}

// specs returns the endpoints of a service that take new work.
func (v *view) specs(service catalog.Service, pace pacing, off mechanism.Disabled) []place.Spec {
	cache := service.PromptCache
	if off.Has(mechanism.Holdings) {
		cache.Tokens = 0
	}
	cache.SupportsCopy = cache.SupportsCopy && !off.Has(mechanism.Copies)
	paceOf := pace(v, service)
	var specs []place.Spec
	for _, e := range v.endpoints {
		if e.Service != service.Name || !v.evacuations.AcceptsWork(e) {
			continue
		}
		specs = append(specs, place.Spec{
			Name: e.ID, Address: e.Address, Domain: e.Domain, Slots: max(e.Slots, 1),
			CacheTokens: cache.Tokens, CanCopy: cache.SupportsCopy, Pace: paceOf(e.ID, v.coldPeriod(service, e)),
		})
	}
	return specs
}
