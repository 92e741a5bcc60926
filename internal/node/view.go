package node

import (
	"bytes"
	"runtime/debug"
	"sync"
	"time"

	"go.uber.org/zap"

	"gradetiller.example/internal/core/catalog"
	"gradetiller.example/internal/core/clamp"
	"gradetiller.example/internal/core/cowmap"
	"gradetiller.example/internal/core/discovery"
	"gradetiller.example/internal/core/intake"
	"gradetiller.example/internal/core/mechanism"
	"gradetiller.example/internal/core/place"
	"gradetiller.example/internal/core/rollout"
	"gradetiller.example/internal/packed"
	"gradetiller.example/internal/wire"
	"gradetiller.example/platform"
)

// view is what a node knows of the configuration and the endpoints. A view is immutable once
// it is stored in Node.view.
type view struct {
	config *catalog.Config
	file   *configFile
	// endpoints is the endpoint list as of revision.
	endpoints catalog.Endpoints
	// stageCount is the number of endpoints of stage services.
	stageCount int
	// cold holds the cold periods of endpoints, by endpoint ID.
	cold map[string]discovery.ColdPeriod
	// revision is the store revision of the list.
	revision catalog.Revision
	// evacuations holds the failure domains to which no work is sent.
	evacuations discovery.Evacuations
	// rollouts holds the ordered rollouts.
	rollouts rollout.Orders
	// freshness holds the times as of which the data is known to match the store.
	freshness discovery.Freshness
}

// complete reports whether a node can serve requests with the view: it has a configuration, a
// list of endpoints and the set of evacuated failure domains.
func (v *view) complete() bool {
	return v.config != nil && !v.freshness.List.IsZero() && v.evacuations.Known()
}

// version returns the version of the configuration, or 0 if there is none.
func (v *view) version() uint64 {
	if v.config == nil {
		return 0
	}
	return v.config.Version
}

// configFile is a configuration file as sent to peers. It is compressed when the first peer
// requests it: with 1,400 routes the file has 288 kB, which take 115 ms on a link of 20
// Mbit/s, and 15 kB compressed (TestConfigCompressedForPeer).
type configFile struct {
	data   []byte
	once   sync.Once
	packed []byte
}

// pack returns the compressed file, or nil if compression failed.
func (f *configFile) pack() []byte {
	f.once.Do(func() { f.packed, _ = packed.Pack(f.data) })
	return f.packed
}

// applyConfig puts a configuration into effect if its version is higher than the present one.
func (n *Node) applyConfig(data []byte, source string) {
	if present := n.view.Load().file; present != nil && bytes.Equal(present.data, data) {
		return
	}
	var cfg *catalog.Config
	err := n.contain(taskStore, source, func() (err error) {
		cfg, err = platform.ParseConfig(data)
		return err
	})
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
	next.setConfig(cfg, &configFile{data: data})
	n.view.Store(&next)
	n.viewMu.Unlock()
	n.log.Info(eventConfigurationApplied, zap.Uint64("version", cfg.Version), zap.String("source", source), zap.Int("routes", len(cfg.Routes)))
	n.membersMu.Lock()
	n.members.SetConfigVersion(cfg.Version)
	n.membersMu.Unlock()
	n.updatePools()
}

// applyStoreEndpoints applies an endpoint list, or its changes, that match the store as of a time.
func (n *Node) applyStoreEndpoints(u platform.EndpointUpdate, at time.Time) {
	freshness := n.recordRead(func(own *discovery.DirectReads) { own.RecordList(at) })
	n.updateEndpoints(sourceStore, freshness, func() bool {
		if u.Full {
			return n.list.ApplySnapshot(at, u.Endpoints, u.Revision)
		}
		return n.list.ApplyChanges(at, u.Endpoints, u.Removed, u.Revision)
	})
}

// recordConfigRead records that this node received the store's newest configuration as of the
// given time, whether or not the configuration is valid.
func (n *Node) recordConfigRead(at time.Time) {
	freshness := n.recordRead(func(own *discovery.DirectReads) { own.RecordConfig(at) })
	n.updateEndpoints(sourceStore, freshness, func() bool { return false })
}

// recordRead records a read of the store, and returns the freshness that results from this
// node's own reads.
func (n *Node) recordRead(record func(*discovery.DirectReads)) discovery.Freshness {
	n.viewMu.Lock()
	defer n.viewMu.Unlock()
	record(&n.directReads)
	return n.directReads.Freshness(*n.ranking.Load(), n.settings.Node)
}

// Sources of view updates, as logged.
const (
	sourceStore = "store"
	sourcePeer  = "peer"
)

// updateEndpoints applies a change to the endpoint list and publishes the resulting view and
// its freshness.
func (n *Node) updateEndpoints(source string, freshness discovery.Freshness, change func() bool) {
	now := time.Now()
	n.viewMu.Lock()
	listAge := age(now, n.list.AsOf())
	changed := change()
	if kept := int64(n.list.Lapsed()); n.keptEndpoints.Swap(kept) != kept {
		n.log.Info(eventEndpointsKept, zap.Int64("count", kept), zap.String("source", source), zap.Int64("list_age_ms", listAge))
	}
	old := n.view.Load()
	outdated := n.list.Outdated()
	next := *old
	next.revision = n.list.Revision()
	next.freshness = old.freshness.Merge(freshness)
	if next.freshness.Primaries.IsZero() {
		// Gives the readers time to respond before other nodes replace them.
		next.freshness.Primaries = next.freshness.List
	}
	if next.freshness.Candidates.IsZero() {
		next.freshness.Candidates = next.freshness.List
	}
	if changed {
		next.setEndpoints(n.signals.markDraining(n.list.InUse()))
		next.cold = n.list.Cold()
		n.logEndpoints(source, listAge, old.endpoints, next.endpoints)
	}
	n.origins.followList(next.freshness.List)
	n.view.Store(&next)
	n.viewMu.Unlock()
	n.updateGuardEndpoints(next.freshness.List, next.endpoints)
	if next.revision.Era() > old.revision.Era() && old.revision != 0 {
		n.log.Warn(eventStoreRestored, zap.Stringer("before", old.revision), zap.Stringer("after", next.revision), zap.Int("doubted", outdated), zap.String("source", source))
	}
	if next.revision != old.revision {
		n.advertiseRevision(next.revision, old.freshness.Stale(now))
	}
	if changed {
		n.updatePools()
	}
}

// advertiseRevision sets the list revision that heartbeats announce. If the view was stale
// until now, it requests a heartbeat at once: the readers are then lost, and the nodes that
// lack the list may otherwise keep polling lost ones. With the primary and the backup readers
// lost first, 61 nodes dropped an endpoint 2.3 s after it left, against 4.2 s without the
// early heartbeat (simulated time, TestLeaving, stand-ins-lost).
func (n *Node) advertiseRevision(revision catalog.Revision, urgent bool) {
	n.membersMu.Lock()
	defer n.membersMu.Unlock()
	n.members.SetListRevision(uint64(revision), urgent)
}

// maxLoggedEndpoints is the number of endpoints up to which each change is a log line of its own.
const maxLoggedEndpoints = 500

// logEndpoints logs the endpoints that were added, changed or removed. The age of the list
// before the update is in milliseconds.
func (n *Node) logEndpoints(source string, listAge int64, before, after catalog.Endpoints) {
	set, removed := cowmap.Diff(before, after)
	n.origins.endpointsLeft(removed)
	if len(set)+len(removed) > maxLoggedEndpoints {
		n.log.Info(eventEndpointsReplaced, zap.Int("endpoints", after.Len()), zap.Int("set", len(set)), zap.Int("removed", len(removed)), zap.String("source", source), zap.Int64("list_age_ms", listAge))
		return
	}
	for _, e := range set {
		old, ok := before.Get(e.ID)
		if !ok || old.Draining != e.Draining || old.ColdRemaining == 0 && e.ColdRemaining > 0 {
			n.log.Info(eventEndpointListed, zap.String("endpoint", e.ID), zap.String("service", e.Service), zap.String("address", e.Address), zap.String("version", e.Version), zap.Bool("draining", e.Draining), zap.Duration("cold", e.ColdRemaining), zap.String("source", source), zap.Int64("list_age_ms", listAge))
		}
	}
	for _, e := range removed {
		n.log.Info(eventEndpointRemoved, zap.String("endpoint", e.ID), zap.String("service", e.Service), zap.String("source", source), zap.Int64("list_age_ms", listAge))
	}
}

// updatePools updates the pools from the present view, once that is complete. Other nodes may
// submit work earlier. Each endpoint that comes or goes changes which slots of the others are this
// node's, while they are brittle.
func (n *Node) updatePools() { n.updatePoolsWith(n.brittle.count() > 0) }

// updatePoolsWith updates the pools; ratesChanged reports whether the paces or slots of endpoints
// changed although the view did not.
func (n *Node) updatePoolsWith(ratesChanged bool) {
	n.poolsMu.Lock()
	defer n.poolsMu.Unlock()
	// The view is loaded under the lock, so that the pools never return to an older one.
	v := n.view.Load()
	if !v.complete() {
		return
	}
	n.pools.update(v, ratesChanged)
	n.durations.retainRoutes(v.config)
	n.mixes.with(func(m *intake.Mixes) {
		m.Retain(func(service string) bool { _, ok := v.config.Services[service]; return ok })
	})
	n.leaders.update(time.Now(), v, ratesChanged)
}

// packedList is a full list of endpoints as sent to peers.
type packedList struct {
	delta discovery.Delta
	data  []byte
}

// packedListFor returns the compressed list if a peer with a list at the given revision needs all of
// it. The list is compressed once for all peers. The caller must hold viewMu.
func (n *Node) packedListFor(revision catalog.Revision) (*packedList, bool) {
	current, digest, ok := n.list.Version()
	if !ok || !n.list.NeedsFull(revision) {
		return nil, false
	}
	if known := n.packedList; known != nil && known.delta.Revision == current && known.delta.Digest == digest {
		return known, true
	}
	delta := n.list.ChangesSince(0)
	list := make([]wire.Worker, len(delta.Changed))
	for i, e := range delta.Changed {
		list[i] = wire.Worker(e)
	}
	data, err := wire.PackWorkers(list)
	if err != nil {
		n.log.Error(eventUnexpectedMessage, zap.Error(err))
		return nil, false
	}
	delta.Changed = nil
	n.packedList = &packedList{delta: delta, data: data}
	return n.packedList, true
}

// deltaFor returns the changes of the endpoint list that a peer lacks, and the compressed list in
// place of its endpoints if the peer needs and accepts it.
func (n *Node) deltaFor(m *wire.ViewRequest) (discovery.Delta, []byte) {
	n.viewMu.Lock()
	defer n.viewMu.Unlock()
	if m.AcceptsPackedWorkers {
		if p, ok := n.packedListFor(catalog.Revision(m.EndpointsAbove)); ok {
			return p.delta, p.data
		}
	}
	return n.list.ChangesSince(catalog.Revision(m.EndpointsAbove)), nil
}

// handleViewRequest sends a peer the parts of the view that it lacks.
func (n *Node) handleViewRequest(m *wire.ViewRequest, answer func(wire.Message) error) {
	delta, packedWorkers := n.deltaFor(m)
	v := n.view.Load()
	now := time.Now()
	out := wire.View{
		Revision: uint64(delta.Revision), Full: delta.Full, Removed: delta.Removed, Digest: delta.Digest,
		Age: age(now, v.freshness.List), ConfigAge: age(now, v.freshness.Config), PrimariesAge: age(now, v.freshness.Primaries),
		CandidatesAge: age(now, v.freshness.Candidates),
		Evacuated:     v.evacuations.Listed(), EvacuatedRevision: uint64(v.evacuations.Revision()),
		Rollouts: n.rollouts.listed(now, v.rollouts), RolloutsRevision: uint64(v.rollouts.Revision()),
		PackedWorkers: packedWorkers,
	}
	for _, e := range delta.Changed {
		out.Changed = append(out.Changed, wire.Worker(e))
	}
	if v.config != nil && v.config.Version > m.ConfigAbove {
		out.ConfigVersion = v.config.Version
		out.Config = v.file.data
		if compressed := v.file.pack(); m.AcceptsPacked && compressed != nil {
			out.Config, out.Packed = compressed, true
		}
	}
	_ = answer(out)
}

// unknownAge is the age, in milliseconds, that stands for an unknown time.
const unknownAge = int64(24 * time.Hour / time.Millisecond)

// age returns the time that has passed since at, in milliseconds.
func age(now, at time.Time) int64 {
	if at.IsZero() {
		return unknownAge
	}
	return now.Sub(at).Milliseconds()
}

// timeOfAge is the inverse of age. It returns the zero time for an unknown age.
func timeOfAge(now time.Time, age int64) time.Time {
	if age >= unknownAge {
		return time.Time{}
	}
	return now.Add(-clamp.Milliseconds(age))
}

// applyView applies the response of a peer to a view request.
func (n *Node) applyView(m *wire.View) {
	if len(m.Config) > 0 && m.ConfigVersion > n.view.Load().version() {
		n.applyPeerConfig(m)
	}
	if m.EvacuatedRevision > 0 {
		n.updateEvacuations(sourcePeer, func(now time.Time, present discovery.Evacuations) discovery.Evacuations {
			return present.Replace(now, catalog.Revision(m.EvacuatedRevision), m.Evacuated)
		})
	}
	if m.RolloutsRevision > 0 {
		n.applyPeerRollouts(m)
	}
	if m.Revision == 0 {
		n.askedInVain.Store(true)
		return
	}
	// Full lists are applied one at a time, since a node that starts may be sent several.
	if m.Full {
		n.fullListMu.Lock()
		defer n.fullListMu.Unlock()
	}
	delta, err := n.deltaOf(m)
	if err != nil {
		n.log.Error(eventUnexpectedMessage, zap.String("source", sourcePeer), zap.Error(err))
		return
	}
	now := time.Now()
	freshness := discovery.Freshness{List: timeOfAge(now, m.Age), Primaries: timeOfAge(now, m.PrimariesAge), Candidates: timeOfAge(now, m.CandidatesAge)}
	if m.ConfigVersion <= n.view.Load().version() && m.EvacuatedRevision > 0 {
		// The peer's configuration is in effect here too. A peer of an earlier version does
		// not know evacuations, so that its response does not confirm them.
		freshness.Config = timeOfAge(now, m.ConfigAge)
	}
	n.updateEndpoints(sourcePeer, freshness, func() bool { return n.list.ApplyDelta(freshness.List, delta) })
	if len(delta.Changed) >= largeList {
		// Decoding took several times the memory that the list keeps, which is not needed again.
		debug.FreeOSMemory()
	}
}

// largeList is the number of endpoints from which on the memory that a list took to decode is returned
// to the system.
const largeList = 2000

// deltaOf returns the changes of the endpoint list in a peer's response. If the list is the present
// one, its endpoints are not decoded.
func (n *Node) deltaOf(m *wire.View) (discovery.Delta, error) {
	delta := discovery.Delta{Revision: catalog.Revision(m.Revision), Full: m.Full, Removed: m.Removed, Digest: m.Digest}
	if m.Full {
		n.viewMu.Lock()
		revision, digest, ok := n.list.Version()
		n.viewMu.Unlock()
		if ok && revision == delta.Revision && digest == delta.Digest {
			delta.Full = false
			return delta, nil
		}
	}
	if m.PackedWorkers == nil {
		delta.Changed = make([]catalog.Endpoint, len(m.Changed))
		for i, w := range m.Changed {
			delta.Changed[i] = catalog.Endpoint(w)
		}
		return delta, nil
	}
	r, err := wire.NewWorkerReader(m.PackedWorkers)
	if err != nil {
		return discovery.Delta{}, err
	}
	delta.Changed = make([]catalog.Endpoint, r.Len())
	for i := range delta.Changed {
		w, err := r.Next()
		if err != nil {
			return discovery.Delta{}, err
		}
		delta.Changed[i] = catalog.Endpoint(w)
	}
	return delta, nil
}

// applyPeerConfig applies a configuration that a peer sent.
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

// specSource returns a function that returns the placement specs of a service's endpoints.
func (v *view) specSource(service catalog.Service, pace paceSource, slots slotSource, off mechanism.Disabled) func(*catalog.Endpoint) place.Spec {
	cache := service.PromptCache
	if off.Has(mechanism.Holdings) {
		cache.Tokens = 0
	}
	cache.SupportsCopy = cache.SupportsCopy && !off.Has(mechanism.Copies)
	memory := service.PromptCache.Tokens
	if off.Has(mechanism.EngineMemory) {
		memory = 0
	}
	paceOf, slotsOf, armOf := pace(v, service), slots(v, service), v.armNames(service.Name)
	return func(e *catalog.Endpoint) place.Spec {
		return place.Spec{
			Name: e.ID, Address: e.Address, Domain: e.Domain, Slots: slotsOf(e),
			CacheTokens: cache.Tokens, MemoryTokens: memory, CanCopy: cache.SupportsCopy, Versions: armOf(*e), SoftwareVersion: e.Version, Pace: paceOf(e.ID, v.coldPeriod(service, *e)),
		}
	}
}
