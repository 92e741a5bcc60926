package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"gradetiller.example/internal/core/catalog"
	"gradetiller.example/internal/core/mechanism"
	"gradetiller.example/internal/core/place"
	"gradetiller.example/internal/core/signal"
	"gradetiller.example/internal/core/stagepool"
	"gradetiller.example/internal/wire"
)

// placesCalls reports whether leaders choose the model endpoints of the requests whose stages they
// run.
func (l *leaders) placesCalls() bool { return !l.disabled.Has(mechanism.Placement) }

const (
	// cacheListTimeout bounds the time of a request for an engine's cached prompts.
	cacheListTimeout = 800 * time.Millisecond
	// rejectedBackoff is how long a leader places no calls at an endpoint that requested a backoff
	// of any node. An endpoint that rejects everything looks idle and would otherwise be chosen for
	// all requests of the other nodes.
	rejectedBackoff = 500 * time.Millisecond
	// maxLearned bounds the engines that a new leader asks. Each answer holds up the work of its
	// engine; with thousands of engines, most prompts are not cached at any that would be asked.
	maxLearned = 512
	// maxCacheLists bounds the concurrent requests for cached prompts.
	maxCacheLists = 32
)

// learnCaches asks all model engines which prompt parts they have cached. A new leader doesn't know
// which prompts were sent to them before, and would place shared prefixes at engines that have to
// prefill them again.
func (l *leaders) learnCaches() {
	if l.disabled.Has(mechanism.Lists) || l.disabled.Has(mechanism.Holdings) {
		return
	}
	l.mu.Lock()
	var engines []catalog.Endpoint
	if l.view != nil {
		engines = l.modelPools.cachingEndpoints(time.Now(), l.view)
		engines = engines[:min(len(engines), maxLearned)]
	}
	// The node may lead before it has the first list of endpoints or the configuration.
	l.learnOnUpdate = len(engines) == 0
	l.mu.Unlock()
	sem := make(chan struct{}, maxCacheLists)
	for _, e := range engines {
		sem <- struct{}{}
		go func() {
			defer func() { <-sem }()
			_ = l.contain(taskCacheList, e.ID, func() error {
				l.learnCache(e)
				return nil
			})
		}()
	}
}

func (l *leaders) learnCache(e catalog.Endpoint) {
	ctx, cancel := context.WithTimeout(context.Background(), cacheListTimeout)
	defer cancel()
	held, err := l.workers.CachedPromptParts(ctx, e.ID, e.Address)
	if err != nil {
		l.log.Info(eventCacheUnknown, zap.String("endpoint", e.ID), zap.Error(err))
		return
	}
	parts := make([]place.Part, len(held))
	for i, part := range held {
		parts[i] = place.Part{ID: part.ID, Tokens: part.Tokens}
	}
	l.modelPools.recordCached(e, parts)
	l.log.Info(eventCacheLearned, zap.String("endpoint", e.ID), zap.Int("parts", len(parts)))
}

// finishPlaced records the result of a placed call, as the node that sent it reported. The caller must
// hold the lock.
func (c *leader) finishPlaced(id stagepool.TaskID, m *wire.StagesRelease) {
	at, ok := c.placedCalls[id]
	if !ok {
		return
	}
	delete(c.placedCalls, id)
	how, read, slowdown := m.Placement, 0, 0.0
	if how == wire.PlacementServed {
		read = at.queuedTokens + at.pendingTokens
	}
	if m.SlowdownPercent > 0 && !c.leaders.disabled.Has(mechanism.Slowdown) {
		slowdown = signal.SlowdownOfPercent(float64(m.SlowdownPercent))
	}
	now := time.Now()
	at.finish(now, place.Result{
		PrefillTokens: read, Slowdown: slowdown, OK: how == wire.PlacementServed, Neutral: how == wire.PlacementUnused || how == wire.PlacementRejected, Unreachable: how == wire.PlacementUnreachable || how == wire.PlacementRefused, Refused: how == wire.PlacementRefused,
	})
	if how == wire.PlacementRejected {
		c.leaders.modelPools.setBackoff(at.endpoint.ID, now.Add(rejectedBackoff))
	}
}
