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
	// minConfigInterval is how often the store is asked for configurations at most: in a
	// storm of changes each is replaced before it matters.
	minConfigInterval = 400 * time.Millisecond
	// startPollInterval is how often a node that knows nothing yet looks whether it
	// reads the store, and standInPoll how often one that serves looks whether it
	// stands in for the readers: a change has few seconds to be in force.
	startPollInterval  = 50 * time.Millisecond
	backupPollInterval = 100 * time.Millisecond
)

// watchConfig keeps the configuration current until ctx ends. A node that is
// no reader gets it from one with the list of endpoints.
func (n *Node) watchConfig(ctx context.Context) {
	revision := catalog.Revision(0)
	failed := 0
	for ctx.Err() == nil {
		asked := time.Now()
		if !n.updateReadsStore(asked, n.shouldReadStore(asked)) {
			revision, failed = 0, 0
			sleep(ctx, n.readerCheckInterval())
			continue
		}
		wait := n.ranking.Load().ConfigWait()
		r, err := n.nextConfig(ctx, revision, failed, wait)
		n.recordStoreResult(callConfig, err)
		if err != nil {
			// The next call reads the whole configuration, which confirms it at once
			// and has a shorter limit than a question for changes.
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
		// A whole read is no wait, and tells the configuration as of its question.
		n.recordConfigRead(discovery.AnswerAsOf(asked, time.Now(), wait, r.Data != nil || revision == 0))
		revision = r.Revision
		// Other rows of the table also end the store's wait.
		sleep(ctx, minConfigInterval-time.Since(asked))
	}
}

// readerCheckInterval is how long a node that is no reader waits before it looks again
// whether it is one.
func (n *Node) readerCheckInterval() time.Duration {
	if n.view.Load().config == nil {
		return startPollInterval
	}
	return backupPollInterval
}

// hasCompleteView reports whether this node knows all that it hasCompleteView by.
func (n *Node) hasCompleteView() bool { return n.view.Load().complete() }

func (n *Node) nextConfig(ctx context.Context, after catalog.Revision, failed int, wait time.Duration) (platform.ConfigUpdate, error) {
	if after == 0 {
		return n.store.ReadConfig(ctx, discovery.ReadTimeout(n.hasCompleteView(), failed))
	}
	return n.store.AwaitConfig(ctx, after, wait)
}

// watchEndpoints keeps the list of endpoints current until ctx ends: readers
// read the store, the others ask a reader.
func (n *Node) watchEndpoints(ctx context.Context) {
	inVain, silent := 0, 0
	for ctx.Err() == nil {
		asked := time.Now()
		if n.shouldReadStore(asked) {
			list, err := n.store.Endpoints(ctx, discovery.ReadTimeout(n.hasCompleteView(), inVain))
			n.recordStoreResult(callEndpoints, err)
			if err != nil {
				inVain++
				sleep(ctx, discovery.RetryDelay(n.hasCompleteView(), inVain))
				continue
			}
			inVain = 0
			n.noteRefused(list.Refused)
			n.applyStoreEndpoints(list.Endpoints, list.Revision, asked)
			silent++
			n.pollOwnReaders(silent)
			sleep(ctx, discovery.ReadInterval-time.Since(asked))
			continue
		}
		inVain = 0
		v := n.view.Load()
		if v.fresh.List.IsZero() {
			// The first list is also asked for with each beat, of any node.
			sleep(ctx, startPollInterval)
			continue
		}
		if v.fresh.Stale(asked) {
			silent++
		}
		n.pollReader(n.ranking.Load().Readers(asked.Sub(v.fresh.Primaries)), silent)
		sleep(ctx, discovery.PollInterval)
	}
}

// shouldReadStore reports whether this node shouldReadStore the store itself.
func (n *Node) shouldReadStore(now time.Time) bool {
	fresh := n.view.Load().fresh
	if fresh.List.IsZero() || !n.view.Load().evacuations.Known() {
		return len(n.settings.Seeds) == 0 || n.ranking.Load().ReadsAtStart(n.settings.Node, now.Sub(n.started))
	}
	return n.ranking.Load().Reads(n.settings.Node, now, fresh)
}

// updateReadsStore logs when this node begins or ceases to read the store, and returns
// whether it does.
func (n *Node) updateReadsStore(now time.Time, reads bool) bool {
	if n.readsStore.Swap(reads) == reads {
		return reads
	}
	v := n.view.Load()
	fields := []zap.Field{
		zap.Int64("list_age_ms", age(now, v.fresh.List)), zap.Int64("config_age_ms", age(now, v.fresh.Config)),
		zap.Int64("readers_age_ms", age(now, v.fresh.Primaries)), zap.Uint64("config", v.version()),
	}
	if reads {
		n.log.Info(eventStoreReadsStarted, fields...)
		return true
	}
	// It asks nothing any more that could fail.
	for call := range n.storeLost {
		n.storeLost[call].Store(false)
	}
	n.log.Info(eventStoreReadsEnded, fields...)
	return false
}

// setEntries puts a list of live nodes in force, and with it who reads the
// store.
func (n *Node) setEntries(entries []wire.Entry) {
	n.entries.Store(&entries)
	n.shareOut(time.Now(), entries)
	readers := n.rankReaders(entries)
	n.ranking.Store(&readers)
}

func (n *Node) rankReaders(entries []wire.Entry) discovery.Ranking {
	var able []wire.Entry
	for _, e := range entries {
		if !e.Leaving || e.Node == n.settings.Node {
			able = append(able, e)
		}
	}
	strong, weak := lead.SplitBySize(able)
	return discovery.Rank(nodeNames(strong), nodeNames(weak))
}

func nodeNames(entries []wire.Entry) []string {
	names := make([]string, len(entries))
	for i, e := range entries {
		names[i] = e.Node
	}
	return names
}

// pollOwnReaders has a node that reads in the place of others ask one of these, so that it
// leaves it to them once they are back.
func (n *Node) pollOwnReaders(turn int) {
	readers := n.ranking.Load()
	switch {
	case readers.IsPrimary(n.settings.Node):
	case readers.IsCandidate(n.settings.Node):
		n.pollReader(readers.Readers(0), turn)
	default:
		n.pollReader(readers.Readers(time.Since(n.view.Load().fresh.Primaries)), turn)
	}
}

// pollReader asks one of the readers for what is new, the next one after each try that
// failed.
func (n *Node) pollReader(readers []string, failed int) {
	v := n.view.Load()
	name := discovery.ReaderFor(readers, n.settings.Node, failed)
	for _, e := range entriesOf(*n.entries.Load(), []string{name}) {
		n.links.Send(e.PeerAddress, wire.ViewRequest{ConfigAbove: v.version(), EndpointsAbove: uint64(v.revision), TakesPacked: true})
	}
}

// storeCall is a kind of call to the store.
type storeCall int

const (
	callConfig storeCall = iota
	callEndpoints
	storeCallCount
)

// String returns the name in log lines.
func (c storeCall) String() string { return [...]string{"configuration", "endpoints"}[c] }

// recordStoreResult logs when the store is lost or regained for a kind of call.
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
