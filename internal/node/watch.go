package node

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"gradetiller.example/internal/core/discovery"
	"gradetiller.example/internal/core/lead"
	"gradetiller.example/internal/wire"
	"gradetiller.example/platform"
)

const (
	// configWait is how long the store holds a question for changes. It is
	// short, because a lost answer is noticed only after it.
	configWait     = 1500 * time.Millisecond
	configEvery    = 400 * time.Millisecond
	endpointsEvery = 700 * time.Millisecond
	// askEvery is how often a node that is no reader asks one, askStale the
	// age at which its answer counts as a failure.
	askEvery = 350 * time.Millisecond
	askStale = 1000 * time.Millisecond
	// firstPoll is how often a node that knows nothing yet looks whether it
	// reads the store.
	firstPoll = 50 * time.Millisecond
)

// watchConfig keeps the configuration current until ctx ends. A node that is
// no reader gets it from one with the list of endpoints.
func (n *Node) watchConfig(ctx context.Context) {
	revision := uint64(0)
	failed := 0
	for ctx.Err() == nil {
		now := time.Now()
		if !n.noteReads(now, n.reads(now)) {
			revision, failed = 0, 0
			pause(ctx, n.untilAsked())
			continue
		}
		asked := time.Now()
		r, err := n.nextConfig(ctx, revision, failed)
		if err != nil {
			if errors.Is(err, platform.ErrHistoryGone) {
				revision = 0
			}
			n.storeState(err)
			failed++
			pause(ctx, discovery.RetryPause(n.serves(), failed))
			continue
		}
		failed = 0
		n.storeState(nil)
		n.configHeard.Store(int64(time.Since(n.started)))
		revision = r.Revision
		if r.Data != nil {
			n.takeConfig(r.Data, "store")
		}
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
	return askEvery
}

// serves reports whether this node has a configuration and a list to serve by.
func (n *Node) serves() bool {
	v := n.view.Load()
	return v.config != nil && !v.readAt.IsZero()
}

func (n *Node) nextConfig(ctx context.Context, after uint64, failed int) (platform.ConfigRevision, error) {
	if after == 0 {
		return n.store.ReadConfig(ctx, discovery.ReadLimit(n.serves(), failed))
	}
	return n.store.AwaitConfig(ctx, after, configWait)
}

// watchEndpoints keeps the list of endpoints current until ctx ends: readers
// read the store, the others ask a reader.
func (n *Node) watchEndpoints(ctx context.Context) {
	inVain, silent := 0, 0
	for ctx.Err() == nil {
		asked := time.Now()
		if n.reads(asked) {
			list, revision, err := n.store.Endpoints(ctx, discovery.ReadLimit(n.serves(), inVain))
			if err != nil {
				inVain++
				pause(ctx, discovery.RetryPause(n.serves(), inVain))
				continue
			}
			inVain = 0
			n.readEndpoints(list, revision, asked)
			pause(ctx, endpointsEvery-time.Since(asked))
			continue
		}
		if n.view.Load().readAt.IsZero() {
			// The first list is also asked for with each beat, of any node.
			pause(ctx, firstPoll)
			continue
		}
		n.askReader(silent)
		pause(ctx, askEvery)
		if n.view.Load().readAt.Before(asked.Add(-askStale)) {
			silent++
		}
	}
}

// reads reports whether this node reads the store: it is a reader, or the
// readers fall silent and it is among those that stand in.
func (n *Node) reads(now time.Time) bool {
	known := n.view.Load().readAt
	if known.IsZero() {
		return len(n.settings.Seeds) == 0 || n.readers.Load().ReadsFirst(n.settings.Node, now.Sub(n.started))
	}
	return n.readers.Load().Reads(n.settings.Node, now.Sub(known))
}

// noteReads logs when this node begins or ceases to read the store, and returns
// whether it does.
func (n *Node) noteReads(now time.Time, reads bool) bool {
	if n.readsStore.Swap(reads) == reads {
		return reads
	}
	age := now.Sub(n.view.Load().readAt)
	if n.view.Load().readAt.IsZero() {
		age = 0
	}
	fields := []zap.Field{zap.Duration("list_age", age), zap.Uint64("config", n.view.Load().version())}
	if reads {
		n.log.Info(eventReadsStore, fields...)
		return true
	}
	n.log.Info(eventReadsStoreNoMore, fields...)
	return false
}

// setEntries puts a list of live nodes in force, and with it who reads the
// store.
func (n *Node) setEntries(entries []wire.Entry) {
	n.entries.Store(&entries)
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
	strong, weak := lead.Split(able)
	return discovery.Rank(nodeNames(strong), nodeNames(weak))
}

func nodeNames(entries []wire.Entry) []string {
	names := make([]string, len(entries))
	for i, e := range entries {
		names[i] = e.Node
	}
	return names
}

// askReader asks the reader of this node for what is new.
func (n *Node) askReader(failed int) {
	v := n.view.Load()
	readers := n.readers.Load().Readers(time.Since(v.readAt))
	name := discovery.ReaderFor(readers, n.settings.Node, failed)
	for _, e := range entriesOf(*n.entries.Load(), []string{name}) {
		n.links.Send(e.PeerAddress, wire.ViewRequest{ConfigAbove: v.version(), EndpointsAbove: v.revision, TakesPacked: true})
	}
}

// storeState logs when the store is lost or regained.
func (n *Node) storeState(err error) {
	lost := err != nil
	if n.storeLost.Swap(lost) == lost {
		return
	}
	if lost {
		n.log.Warn(eventStoreLost, zap.Error(err))
		return
	}
	n.log.Info(eventStoreReached)
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(max(d, 0))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
