package node

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"gradetiller.example/internal/core/origin"
	"gradetiller.example/internal/wire"
	"gradetiller.example/platform"
)

const (
	// originStoreTimeout bounds a call that writes to the store, and originReadTimeout each call that reads from it while a
	// client waits.
	originStoreTimeout = time.Second
	originReadTimeout  = 250 * time.Millisecond
	// originRetryDelay is the time after a failed call until the next one.
	originRetryDelay = time.Second
	// originReadInterval is the shortest time between two reads of what the store holds, and originReadIntervalPerNode that for
	// each node, so that all together read at most 100 times a second.
	originReadInterval        = time.Second
	originReadIntervalPerNode = 10 * time.Millisecond
)

// originStore keeps in the platform's store what streams need to go on after the end of all nodes: which versions each service had
// lately and, while a service has several, at which of them each stream began.
type originStore struct {
	mu      sync.Mutex
	journal origin.Journal
	// listed holds the versions of each service's endpoints as of a view.
	listed map[string][]string
	view   *view
	// several are the services that had several versions within origin.StoredTTL.
	several map[string]bool

	// readMu is held by a read. readAt is when the last one began, and readOK whether it succeeded.
	readMu sync.Mutex
	readAt time.Time
	readOK bool

	// clock is the store's clock at clockAt. recorded holds the versions in the store as far as they are known, of an era. Only the
	// goroutine of runOriginStore uses these.
	clock    time.Duration
	clockAt  time.Time
	recorded map[string]platform.StoredVersions
	era      uint64
	// failedAt is when the last call failed, or zero if the last one succeeded.
	failedAt time.Time
}

func newOriginStore() *originStore { return &originStore{several: make(map[string]bool)} }

// keepOrigin has the record of a stream that began here written to the store, at once if the stream's service has several versions,
// and otherwise when a second one comes.
func (n *Node) keepOrigin(now time.Time, r origin.Record) {
	s := n.originStore
	s.mu.Lock()
	s.journal.Began(now, r)
	several := s.several[r.Origin.Service]
	s.mu.Unlock()
	if several {
		n.sendToKeepers(r)
	}
}

// sendToKeepers sends records to the nodes that write them to the store.
func (n *Node) sendToKeepers(records ...origin.Record) {
	members := n.origins.put(time.Now())
	byKeeper := make(map[string][]origin.Record)
	for _, r := range records {
		keeper := members.Keeper(r.Key)
		if keeper == "" {
			keeper = n.settings.Node
		}
		byKeeper[keeper] = append(byKeeper[keeper], r)
	}
	for keeper, list := range byKeeper {
		if keeper == n.settings.Node {
			n.writeLater(list...)
			continue
		}
		for part := range slices.Chunk(list, maxOriginsPerMessage) {
			m := wire.StreamOrigins{Keep: true}
			for _, r := range part {
				m.Origins = append(m.Origins, wireOrigin(r))
			}
			for _, e := range entriesOf(*n.entries.Load(), []string{keeper}) {
				n.links.Send(e.PeerAddress, m)
			}
		}
	}
}

// writeLater adds records to the next batch of this node.
func (n *Node) writeLater(records ...origin.Record) {
	n.originStore.mu.Lock()
	defer n.originStore.mu.Unlock()
	n.originStore.journal.Add(records...)
}

// runOriginStore writes to the store until ctx is done.
func (n *Node) runOriginStore(ctx context.Context) {
	if !n.exchangesOrigins() {
		return
	}
	ticker := time.NewTicker(origin.SlotTime)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		_ = n.contain(taskStore, originsCall, func() error {
			n.tickOriginStore(ctx, time.Now())
			return nil
		})
	}
}

// originsCall names the calls of the origin store in logs.
const originsCall = "stream origins"

func (n *Node) tickOriginStore(ctx context.Context, now time.Time) {
	v := n.view.Load()
	if !v.complete() {
		return
	}
	recent := n.recentVersions(now, v)
	for service, versions := range recent {
		n.setSeveral(now, service, len(versions) > 1)
	}
	failedAt := n.originStore.failedAt
	if now.Sub(failedAt) < originRetryDelay {
		return
	}
	err := n.writeBatch(ctx)
	if err == nil && n.ranking.Load().IsPrimary(n.settings.Node) && !v.freshness.Stale(now) {
		err = n.recordVersions(ctx, recent)
	}
	switch {
	case err != nil:
		n.originStore.failedAt = time.Now()
		if failedAt.IsZero() {
			n.log.Warn(eventOriginsNotStored, zap.Error(err))
		}
	case !failedAt.IsZero():
		n.originStore.failedAt = time.Time{}
		n.log.Info(eventOriginsStored)
	}
}

// recentVersions returns the versions within origin.StoredTTL of each service at which streams may be resumed.
func (n *Node) recentVersions(now time.Time, v *view) map[string][]string {
	listed := n.listedVersions(v)
	recent := make(map[string][]string)
	for i := range v.config.Routes {
		r := &v.config.Routes[i]
		for _, b := range r.Backends {
			if _, done := recent[b.Service]; r.Resumable && !done && len(listed[b.Service]) > 0 {
				recent[b.Service] = n.origins.recent(now.Add(-origin.StoredTTL), b.Service, listed[b.Service])
			}
		}
	}
	return recent
}

// listedVersions returns the versions of each service's endpoints in a view. The result must not be changed.
func (n *Node) listedVersions(v *view) map[string][]string {
	s := n.originStore
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.view != nil && s.view.endpoints == v.endpoints {
		return s.listed
	}
	listed := make(map[string][]string)
	for e := range v.endpoints.All() {
		if !slices.Contains(listed[e.Service], e.Version) {
			listed[e.Service] = append(listed[e.Service], e.Version)
		}
	}
	s.view, s.listed = v, listed
	return listed
}

// setSeveral records whether a service has several versions. When it has a second one, the records of the streams before are
// written too.
func (n *Node) setSeveral(now time.Time, service string, several bool) {
	s := n.originStore
	s.mu.Lock()
	before := s.several[service]
	s.several[service] = several
	var began []origin.Record
	if several && !before {
		began = s.journal.BeganAt(now, service)
	}
	s.mu.Unlock()
	if len(began) > 0 {
		n.sendToKeepers(began...)
	}
}

// writeBatch writes the records that wait.
func (n *Node) writeBatch(ctx context.Context) error {
	s := n.originStore
	s.mu.Lock()
	waiting := s.journal.Pending() > 0
	s.mu.Unlock()
	if !waiting {
		return nil
	}
	if s.clockAt.IsZero() {
		if err := n.readRecorded(ctx); err != nil {
			return err
		}
	}
	s.mu.Lock()
	slot, batch := s.journal.Next(s.clock + time.Since(s.clockAt))
	s.mu.Unlock()
	data, err := origin.EncodeBatch(batch)
	if err != nil {
		return err
	}
	clock, err := n.store.WriteOriginBatch(ctx, n.settings.Node, origin.SlotKey(slot), data, originStoreTimeout)
	n.meters.originsWritten(len(batch), err == nil)
	if err != nil {
		return err
	}
	s.clock, s.clockAt = clock, time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.journal.Written(slot, batch)
	return nil
}

// readRecorded reads the store's clock and the recorded versions.
func (n *Node) readRecorded(ctx context.Context) error {
	s := n.originStore
	stored, err := n.store.ReadOrigins(ctx, originStoreTimeout)
	if err != nil {
		return err
	}
	s.clock, s.clockAt = stored.Clock, time.Now()
	s.recorded, s.era = stored.Versions, stored.Era
	n.addStored(s.clockAt, stored)
	return nil
}

// recordVersions writes the versions of services that differ from what is recorded.
func (n *Node) recordVersions(ctx context.Context, recent map[string][]string) error {
	s := n.originStore
	if s.recorded == nil || s.era != n.view.Load().revision.Era() {
		if err := n.readRecorded(ctx); err != nil {
			return err
		}
		// What was recorded counts among the recent versions from now on.
		recent = n.recentVersions(time.Now(), n.view.Load())
	}
	for service, versions := range recent {
		known := s.recorded[service]
		if slices.Equal(known.Versions, versions) {
			continue
		}
		revision, err := n.store.WriteVersions(ctx, service, versions, known.Revision, originStoreTimeout)
		if errors.Is(err, platform.ErrVersionsChanged) {
			s.recorded = nil
			return nil
		}
		if err != nil {
			return err
		}
		s.recorded[service] = platform.StoredVersions{Versions: versions, Revision: revision}
		n.log.Info(eventVersionsRecorded, zap.String("service", service), zap.Strings("versions", versions))
	}
	return nil
}

// recoverOrigins adds what the store holds of where streams began, unless it was read just before. It reports whether this node
// knows it.
func (n *Node) recoverOrigins(ctx context.Context) bool {
	s := n.originStore
	s.readMu.Lock()
	defer s.readMu.Unlock()
	interval := max(originReadInterval, time.Duration(n.liveNodes.Load())*originReadIntervalPerNode)
	if time.Since(s.readAt) < interval {
		return s.readOK
	}
	s.readAt = time.Now()
	stored, err := n.store.ReadOrigins(ctx, originReadTimeout)
	s.readOK = err == nil
	if err != nil {
		n.log.Info(eventOriginsNotRead, zap.Error(err))
		return false
	}
	records := n.addStored(s.readAt, stored)
	n.log.Info(eventOriginsRead, zap.Int("records", records), zap.Int("services", len(stored.Versions)), zap.Duration("took", time.Since(s.readAt)))
	return true
}

// addStored adds what the store held at a time, and returns the number of records.
func (n *Node) addStored(readAt time.Time, stored platform.StoredOrigins) int {
	var all []origin.Record
	for _, batch := range stored.Batches {
		records, err := origin.DecodeBatch(batch)
		if err != nil {
			n.log.Warn(eventOriginsNotRead, zap.Error(err))
			continue
		}
		all = append(all, records...)
	}
	n.origins.put(readAt, all...)
	listed := n.listedVersions(n.view.Load())
	for service, recorded := range stored.Versions {
		n.origins.recoverVersions(readAt, service, recorded.Versions, listed[service])
	}
	return len(all)
}
