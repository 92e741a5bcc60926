package node

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"gradetiller.example/platform"
)

const (
	// configWait is how long the store holds a question for changes. It is
	// short, because a lost answer is noticed only after it.
	configWait     = 1500 * time.Millisecond
	storeLimit     = 900 * time.Millisecond
	storePause     = 300 * time.Millisecond
	endpointsEvery = 700 * time.Millisecond
)

// watchConfig keeps the configuration current until ctx ends.
func (n *Node) watchConfig(ctx context.Context) {
	revision := uint64(0)
	for ctx.Err() == nil {
		r, err := n.nextConfig(ctx, revision)
		if err != nil {
			if errors.Is(err, platform.ErrHistoryGone) {
				revision = 0
			}
			n.storeState(err)
			pause(ctx, storePause)
			continue
		}
		n.storeState(nil)
		revision = r.Revision
		if r.Data != nil {
			n.takeConfig(r.Data, "store")
		}
	}
}

func (n *Node) nextConfig(ctx context.Context, after uint64) (platform.ConfigRevision, error) {
	if after == 0 {
		return n.store.ReadConfig(ctx, storeLimit)
	}
	return n.store.AwaitConfig(ctx, after, configWait)
}

// watchEndpoints keeps the list of endpoints current until ctx ends.
func (n *Node) watchEndpoints(ctx context.Context) {
	for ctx.Err() == nil {
		asked := time.Now()
		list, revision, err := n.store.Endpoints(ctx, storeLimit)
		if err == nil {
			n.takeEndpoints(list, revision, asked)
		}
		pause(ctx, endpointsEvery-time.Since(asked))
	}
}

// storeState logs when the store is lost or regained.
func (n *Node) storeState(err error) {
	lost := err != nil
	if n.storeLost.Swap(lost) == lost {
		return
	}
	if lost {
		n.log.Warn("store lost", zap.Error(err))
		return
	}
	n.log.Info("store reached")
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(max(d, 0))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
