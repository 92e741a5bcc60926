package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"gradetiller.example/internal/core/catalog"
	"gradetiller.example/internal/core/mechanism"
	"gradetiller.example/internal/core/place"
	"gradetiller.example/internal/core/stagepool"
	"gradetiller.example/internal/wire"
)

// places reports whether leaders choose the endpoints of the requests whose stages they run.
func (l *leaders) places() bool { return !l.disabled.Has(mechanism.Placement) }

const (
	// listLimit is how long an engine may take to tell what it holds.
	listLimit = 800 * time.Millisecond
	// rejectedHold is how long a leader places nothing at an endpoint that asked some node for a
	// backoff. One that rejects everything looks idle and would get each request of the others.
	rejectedHold = 500 * time.Millisecond
	// listsAtOnce bounds the engines that are asked at a time.
	listsAtOnce = 32
)

// learnCaches asks all model engines which parts of prompts they hold. A node that
// begins to lead knows nothing of what was sent there before, and would have
// shared parts read again elsewhere.
func (l *leaders) learnCaches() {
	if l.disabled.Has(mechanism.Lists) || l.disabled.Has(mechanism.Holdings) {
		return
	}
	l.mu.Lock()
	var engines []catalog.Endpoint
	if l.view != nil {
		engines = l.modelPools.cachingEndpoints(time.Now(), l.view)
	}
	// Work may come before the first list of endpoints, and the configuration too.
	l.learnOnUpdate = len(engines) == 0
	l.mu.Unlock()
	turns := make(chan struct{}, listsAtOnce)
	for _, e := range engines {
		turns <- struct{}{}
		go func() {
			defer func() { <-turns }()
			l.learnCache(e)
		}()
	}
}

func (l *leaders) learnCache(e catalog.Endpoint) {
	ctx, cancel := context.WithTimeout(context.Background(), listLimit)
	defer cancel()
	held, err := l.workers.CachedPromptParts(ctx, e.ID, e.Address)
	if err != nil {
		l.log.Info(eventCacheUnknown, zap.String("endpoint", e.ID), zap.Error(err))
		return
	}
	parts := make([]place.Part, len(held))
	for i, part := range held {
		parts[i] = place.Part(part)
	}
	l.modelPools.hold(e, parts)
	l.log.Info(eventCacheLearned, zap.String("endpoint", e.ID), zap.Int("parts", len(parts)))
}

// endPlaced counts the end of a placement; the lock is held.
func (c *leader) endPlaced(id stagepool.TaskID, how wire.Placement) {
	at, ok := c.placed[id]
	if !ok {
		return
	}
	delete(c.placed, id)
	read := 0
	if how == wire.PlacementServed {
		read = at.ahead + at.work
	}
	now := time.Now()
	at.end(now, place.Result{
		PrefillTokens: read, OK: how == wire.PlacementServed, Neutral: how == wire.PlacementUnused || how == wire.PlacementRejected, Unreachable: how == wire.PlacementUnreachable,
	})
	if how == wire.PlacementRejected {
		c.group.modelPools.backoff(at.endpoint.ID, now.Add(rejectedHold))
	}
}
