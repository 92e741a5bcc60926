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
	// configEvery is how often the store is asked for configurations at most: in a
	// storm of changes each is replaced before it matters.
	configEvery = 400 * time.Millisecond
	// firstPoll is how often a node that knows nothing yet looks whether it
	// reads the store, and standInPoll how often one that serves looks whether it
	// stands in for the readers: a change has few seconds to be in force.
	firstPoll   = 50 * time.Millisecond
	standInPoll = 100 * time.Millisecond
)

// watchConfig keeps the configuration current until ctx ends. A node that is
// no reader gets it from one with the list of endpoints.
func (n *Node) watchConfig(ctx context.Context) {
	revision := catalog.Revision(0)
	failed := 0
	for ctx.Err() == nil {
		asked := time.Now()
		if !n.noteReads(asked, n.reads(asked)) {
			revision, failed = 0, 0
			pause(ctx, n.untilAsked())
			continue
		}
		wait := n.readers.Load().ConfigWait()
		r, err := n.nextConfig(ctx, revision, failed, wait)
		n.storeState(callConfig, err)
		if err != nil {
			// The next call reads the whole configuration, which confirms it at once
			// and has a shorter limit than a question for changes.
			revision = 0
			if errors.Is(err, platform.ErrHistoryGone) && failed == 0 {
				failed++
				continue
			}
			failed++
			pause(ctx, discovery.RetryDelay(n.serves(), failed))
			continue
		}
		failed = 0
		if r.Data != nil {
			n.takeConfig(r.Data, sourceStore)
		}
		n.readEvacuations(r)
		// A whole read is no wait, and tells the configuration as of its question.
		n.readConfig(discovery.AnswerAsOf(asked, time.Now(), wait, r.Data != nil || revision == 0))
		revision = r.Revision
		// Other rows of the table also end the store's wait.
		pause(ctx, configEvery-time.Since(asked))
	}
}

// untilAsked is how long a node that is no reader waits before it looks again
// whether it is one.
func (n *Node) untilAsked() time.Duration {
	if n.view.Load().config == nil {
		return firstPoll
	}
	return standInPoll
}

// serves reports whether this node knows all that it serves by.
func (n *Node) serves() bool { return n.view.Load().complete() }

func (n *Node) nextConfig(ctx context.Context, after catalog.Revision, failed int, wait time.Duration) (platform.ConfigUpdate, error) {
	if after == 0 {
		return n.store.ReadConfig(ctx, discovery.ReadTimeout(n.serves(), failed))
	}
	return n.store.AwaitConfig(ctx, after, wait)
}

// watchEndpoints keeps the list of endpoints current until ctx ends: readers
// read the store, the others ask a reader.
func (n *Node) watchEndpoints(ctx context.Context) {
	inVain, silent := 0, 0
	for ctx.Err() == nil {
		asked := time.Now()
		if n.reads(asked) {
			list, err := n.store.Endpoints(ctx, discovery.ReadTimeout(n.serves(), inVain))
			n.storeState(callList, err)
			if err != nil {
				inVain++
				pause(ctx, discovery.RetryDelay(n.serves(), inVain))
				continue
			}
			inVain = 0
			n.recordRefused(list.Refused)
			n.readEndpoints(list.Endpoints, list.Revision, asked)
			silent++
			n.askIfBack(silent)
			pause(ctx, discovery.ReadInterval-time.Since(asked))
			continue
		}
		inVain = 0
		v := n.view.Load()
		if v.fresh.List.IsZero() {
			// The first list is also asked for with each beat, of any node.
			pause(ctx, firstPoll)
			continue
		}
		if v.fresh.Stale(asked) {
			silent++
		}
		n.askReader(n.readers.Load().Readers(asked.Sub(v.fresh.Primaries)), silent)
		pause(ctx, discovery.PollInterval)
	}
}

// reads reports whether this node reads the store itself.
func (n *Node) reads(now time.Time) bool {
	fresh := n.view.Load().fresh
	if fresh.List.IsZero() || !n.view.Load().evacuations.Known() {
		return len(n.settings.Seeds) == 0 || n.readers.Load().ReadsAtStart(n.settings.Node, now.Sub(n.started))
	}
	return n.readers.Load().Reads(n.settings.Node, now, fresh)
}

// noteReads logs when this node begins or ceases to read the store, and returns
// whether it does.
func (n *Node) noteReads(now time.Time, reads bool) bool {
	if n.readsStore.Swap(reads) == reads {
		return reads
	}
	v := n.view.Load()
	fields := []zap.Field{
		zap.Int64("list_age_ms", age(now, v.fresh.List)), zap.Int64("config_age_ms", age(now, v.fresh.Config)),
		zap.Int64("readers_age_ms", age(now, v.fresh.Primaries)), zap.Uint64("config", v.version()),
	}
	if reads {
		n.log.Info(eventReadsStore, fields...)
		return true
	}
	// It asks nothing any more that could fail.
	for call := range n.storeLost {
		n.storeLost[call].Store(false)
	}
	n.log.Info(eventReadsStoreNoMore, fields...)
	return false
}

// setEntries puts a list of live nodes in force, and with it who reads the
// store.
func (n *Node) setEntries(entries []wire.Entry) {
	n.entries.Store(&entries)
	n.updateShare(time.Now(), entries)
	readers := n.rankReaders(entries)
	n.readers.Store(&readers)
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

// askIfBack has a node that reads in the place of others ask one of these, so that it
// leaves it to them once they are back.
func (n *Node) askIfBack(turn int) {
	readers := n.readers.Load()
	switch {
	case readers.IsPrimary(n.settings.Node):
	case readers.IsCandidate(n.settings.Node):
		n.askReader(readers.Readers(0), turn)
	default:
		n.askReader(readers.Readers(time.Since(n.view.Load().fresh.Primaries)), turn)
	}
}

// askReader asks one of the readers for what is new, the next one after each try that
// failed.
func (n *Node) askReader(readers []string, failed int) {
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
	callList
	storeCalls
)

// String returns the name in log lines.
func (c storeCall) String() string { return [...]string{"configuration", "endpoints"}[c] }

// storeState logs when the store is lost or regained for a kind of call.
func (n *Node) storeState(call storeCall, err error) {
	lost := err != nil
	if n.storeLost[call].Swap(lost) == lost {
		return
	}
	if lost {
		n.log.Warn(eventStoreLost, zap.Stringer("call", call), zap.Error(err))
		return
	}
	n.log.Info(eventStoreReached, zap.Stringer("call", call))
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(max(d, 0))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
