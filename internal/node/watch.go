package node

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"gradetiller.example/internal/core/catalog"
	"gradetiller.example/internal/core/discovery"
	"gradetiller.example/internal/core/lead"
	"gradetiller.example/internal/wire"
	"gradetiller.example/platform"
)

const (
	// minConfigInterval is the minimum time between requests for the configuration. When
	// configurations change faster, most are replaced before they matter.
	minConfigInterval = 400 * time.Millisecond
	// startPollInterval is how often a node without any data checks whether it reads the
	// store, and backupPollInterval how often a serving node checks whether it must replace
	// the readers: a change must be in effect within a few seconds.
	startPollInterval  = 50 * time.Millisecond
	backupPollInterval = 100 * time.Millisecond
)

// watchConfig keeps the configuration up to date until ctx is done. A node that does not read
// the store receives it from a reader with the endpoint list.
func (n *Node) watchConfig(ctx context.Context) {
	revision := catalog.Revision(0)
	failed := 0
	for ctx.Err() == nil {
		start := time.Now()
		if !n.updateReadsStore(start, n.shouldReadStore(start)) {
			revision, failed = 0, 0
			sleep(ctx, n.readerCheckInterval())
			continue
		}
		wait := n.ranking.Load().ConfigWait()
		var r platform.ConfigUpdate
		err := n.contain(taskStore, callConfig.String(), func() (err error) {
			r, err = n.nextConfig(ctx, revision, failed, wait)
			return err
		})
		n.recordStoreResult(callConfig, err)
		if err != nil {
			// The next call reads the whole configuration: that confirms it immediately and
			// has a shorter timeout than a request for changes.
			revision = 0
			if errors.Is(err, platform.ErrHistoryGone) && failed == 0 {
				failed++
				continue
			}
			failed++
			sleep(ctx, discovery.RetryDelay(n.hasCompleteView(), failed))
			continue
		}
		failed = 0
		if r.Data != nil {
			n.applyConfig(r.Data, sourceStore)
		}
		n.applyStoreEvacuations(r)
		n.applyStoreRollouts(r)
		// A read of the whole configuration does not wait for changes, and is valid as of its
		// request.
		n.recordConfigRead(discovery.AnswerAsOf(start, time.Now(), wait, r.Data != nil || revision == 0))
		revision = r.Revision
		// Changes of other rows of the table end the store's wait as well.
		sleep(ctx, minConfigInterval-time.Since(start))
	}
}

// readerCheckInterval returns how long a node that does not read the store waits before it
// checks again whether it must.
func (n *Node) readerCheckInterval() time.Duration {
	if n.view.Load().config == nil {
		return startPollInterval
	}
	return backupPollInterval
}

// hasCompleteView reports whether this node has everything it needs to serve requests.
func (n *Node) hasCompleteView() bool { return n.view.Load().complete() }

func (n *Node) nextConfig(ctx context.Context, after catalog.Revision, failed int, wait time.Duration) (platform.ConfigUpdate, error) {
	if after == 0 {
		return n.store.ReadConfig(ctx, discovery.ReadTimeout(n.hasCompleteView(), failed))
	}
	return n.store.AwaitConfig(ctx, after, wait)
}

// watchEndpoints keeps the endpoint list up to date until ctx is done: readers read the
// store, the others poll a reader.
func (n *Node) watchEndpoints(ctx context.Context) {
	failed, attempt := 0, 0
	var watch *platform.EndpointWatch
	for ctx.Err() == nil {
		start := time.Now()
		if n.shouldReadStore(start) {
			if watch == nil {
				watch = n.newEndpointWatch()
			}
			if err := n.readEndpoints(ctx, watch, start, failed); err != nil {
				failed++
				sleep(ctx, discovery.RetryDelay(n.hasCompleteView(), failed))
				continue
			}
			failed = 0
			attempt++
			n.pollOwnReaders(attempt)
			sleep(ctx, discovery.MinReadInterval-time.Since(start))
			continue
		}
		failed, watch = 0, nil
		v := n.view.Load()
		if v.freshness.List.IsZero() {
			// Until the first list arrives, each tick also requests it from any node.
			sleep(ctx, startPollInterval)
			continue
		}
		if v.freshness.Stale(start) {
			attempt++
		}
		n.pollReader(n.ranking.Load().Readers(start.Sub(v.freshness.Primaries)), attempt)
		sleep(ctx, discovery.PollInterval)
	}
}

// newEndpointWatch returns a watch of the store's list that continues from the present view.
func (n *Node) newEndpointWatch() *platform.EndpointWatch {
	n.viewMu.Lock()
	defer n.viewMu.Unlock()
	return n.store.WatchEndpoints(n.list.InUse(), n.list.Revision())
}

// readEndpoints applies the next update of the store's list.
func (n *Node) readEndpoints(ctx context.Context, watch *platform.EndpointWatch, start time.Time, failed int) error {
	wait := time.Duration(0)
	if failed == 0 {
		wait = discovery.ReadInterval
	}
	var u platform.EndpointUpdate
	err := n.contain(taskStore, callEndpoints.String(), func() (err error) {
		u, err = watch.Next(ctx, discovery.ReadTimeout(n.hasCompleteView(), failed), wait)
		return err
	})
	n.recordStoreResult(callEndpoints, err)
	if err != nil {
		return err
	}
	n.recordRefused(u.Refused)
	n.applyStoreEndpoints(u, discovery.AnswerAsOf(start, time.Now(), wait, u.Full || len(u.Endpoints)+len(u.Removed) > 0))
	return nil
}

// shouldReadStore reports whether this node has to read the store.
func (n *Node) shouldReadStore(now time.Time) bool {
	freshness := n.view.Load().freshness
	if freshness.List.IsZero() || !n.view.Load().evacuations.Known() {
		return len(n.settings.Seeds) == 0 || n.ranking.Load().ReadsAtStart(n.settings.Node, now.Sub(n.started), n.joined())
	}
	return n.ranking.Load().Reads(n.settings.Node, now, freshness)
}

// updateReadsStore records and logs whether this node reads the store, and returns the same
// value.
func (n *Node) updateReadsStore(now time.Time, reads bool) bool {
	if n.readsStore.Swap(reads) == reads {
		return reads
	}
	v := n.view.Load()
	fields := []zap.Field{
		zap.Int64("list_age_ms", age(now, v.freshness.List)), zap.Int64("config_age_ms", age(now, v.freshness.Config)),
		zap.Int64("readers_age_ms", age(now, v.freshness.Primaries)), zap.Uint64("config", v.version()),
	}
	if reads {
		n.log.Info(eventStoreReadsStarted, fields...)
		return true
	}
	// The node makes no more calls that could fail.
	for call := range n.storeLost {
		n.storeLost[call].Store(false)
	}
	n.log.Info(eventStoreReadsEnded, fields...)
	return false
}

// setEntries stores the list of live nodes, and derives this node's rank and the ranking of
// readers from it.
func (n *Node) setEntries(entries []wire.Entry) {
	n.entries.Store(&entries)
	n.origins.setMembers(entries)
	n.updateShare(time.Now(), entries)
	readers := n.rankReaders(entries)
	n.ranking.Store(&readers)
}

func (n *Node) rankReaders(entries []wire.Entry) discovery.Ranking {
	large, small := lead.SplitNames(entries, func(e *wire.Entry) bool { return !e.Leaving || e.Node == n.settings.Node })
	return discovery.Rank(large, small)
}

func nodeNames(entries []wire.Entry) []string {
	names := make([]string, len(entries))
	for i, e := range entries {
		names[i] = e.Node
	}
	return names
}

// pollOwnReaders lets a node that replaces readers poll one of them, so that it stops reading
// the store once they are back.
func (n *Node) pollOwnReaders(attempt int) {
	readers := n.ranking.Load()
	switch {
	case readers.IsPrimary(n.settings.Node):
	case readers.IsCandidate(n.settings.Node):
		n.pollReader(readers.Readers(0), attempt)
	default:
		n.pollReader(readers.Readers(time.Since(n.view.Load().freshness.Primaries)), attempt)
	}
}

// pollReader requests updates from one of the readers, a different one after each failed
// attempt.
func (n *Node) pollReader(readers []string, failed int) {
	v := n.view.Load()
	name := discovery.ReaderFor(readers, n.settings.Node, failed)
	for _, e := range entriesOf(*n.entries.Load(), []string{name}) {
		n.links.Send(e.PeerAddress, wire.ViewRequest{ConfigAbove: v.version(), EndpointsAbove: uint64(v.revision), AcceptsPacked: true, AcceptsPackedWorkers: true})
	}
}

// storeCall is a kind of store call.
type storeCall int

const (
	callConfig storeCall = iota
	callEndpoints
	storeCallCount
)

// String returns the name that is written to log lines.
func (c storeCall) String() string { return [...]string{"configuration", "endpoints"}[c] }

// recordStoreResult records the result of a store call, and logs when calls of its kind start
// to fail or to succeed.
func (n *Node) recordStoreResult(call storeCall, err error) {
	lost := err != nil
	if n.storeLost[call].Swap(lost) == lost {
		return
	}
	if lost {
		n.log.Warn(eventStoreLost, zap.Stringer("call", call), zap.Error(err))
		return
	}
	n.log.Info(eventStoreRecovered, zap.Stringer("call", call))
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(max(d, 0))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
