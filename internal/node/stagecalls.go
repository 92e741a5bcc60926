package node

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"gradetiller.example/internal/core/catalog"
	"gradetiller.example/internal/core/poison"
	"gradetiller.example/internal/core/signal"
	"gradetiller.example/internal/core/stagepool"
)

const freeTimeout = 2 * time.Second

// call sends a call to a stage endpoint and passes its outcome to the pool.
func (c *leader) call(a stagepool.StartCall) {
	ctx, cancel := context.WithTimeout(context.Background(), a.Timeout)
	defer cancel()
	started := time.Now()
	end := c.leaders.tracked(a.Service, a.Endpoint)
	e := catalog.Endpoint{ID: a.Endpoint, Service: a.Service, Address: a.Address}
	overdue := time.AfterFunc(a.Overdue, func() { c.leaders.checkPath(e) })
	outcome := stagepool.Outcome{Status: stagepool.Lost}
	err := c.leaders.contain(taskStageCall, a.Endpoint, func() (err error) {
		outcome, err = c.leaders.workers.RunStages(ctx, a)
		return err
	})
	overdue.Stop()
	lost, unmade := unmadePieces(outcome)
	end(outcome.Status == stagepool.Answered && !broken(outcome), time.Since(started))
	c.leaders.meters.stageCall(a.Service, len(a.Items), lost, time.Since(started))
	fields := []zap.Field{
		zap.String("endpoint", a.Endpoint), zap.String("service", a.Service), zap.Int("pieces", len(a.Items)),
		zap.Int("ending", int(outcome.Status)), zap.Duration("took", time.Since(started)),
	}
	var blocked *signal.BlockedError
	if errors.As(err, &blocked) && !blocked.Until.IsZero() {
		c.leaders.backoff(time.Now(), blocked.Endpoint, blocked.Until)
	}
	if outcome.Status == stagepool.ConnectionBroken {
		c.leaders.onBrokenCall(ctx, e, time.Since(started), contents(a.Items))
	}
	switch {
	case err != nil:
		c.leaders.log.Warn(eventStageCallLost, append(fields, zap.Error(err))...)
	case len(unmade) > 0:
		c.leaders.log.Info(eventStageCallIncomplete, append(fields, unmade...)...)
	default:
		c.leaders.log.Debug(eventStageCall, fields...)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.execute(c.pool.Done(time.Now(), a.Call, outcome))
}

// broken reports whether an endpoint failed to make a piece for a reason of its own.
func broken(o stagepool.Outcome) bool {
	return slices.ContainsFunc(o.Items, func(r stagepool.ItemResult) bool { return r.Status == stagepool.Broken })
}

// contents returns the content IDs of the requests in a call, without duplicates.
func contents(items []stagepool.Item) []poison.ID {
	var list []poison.ID
	for _, it := range items {
		if !slices.Contains(list, it.Content) {
			list = append(list, it.Content)
		}
	}
	return list
}

// unmadePieces returns the number of pieces without a result, and log fields with the number
// for each reason.
func unmadePieces(o stagepool.Outcome) (int, []zap.Field) {
	counts := make(map[stagepool.ItemStatus]int)
	for _, r := range o.Items {
		counts[r.Status]++
	}
	delete(counts, stagepool.Made)
	total := 0
	var fields []zap.Field
	for _, reason := range slices.Sorted(maps.Keys(counts)) {
		total += counts[reason]
		fields = append(fields, zap.Int(reason.String(), counts[reason]))
	}
	return total, fields
}

// free releases results at the endpoint that holds them. Results in an evacuated failure
// domain are left to expire, since no work needs their room.
func (c *leader) free(a stagepool.Free) {
	if c.leaders.evacuated(a.Domain) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
	defer cancel()
	err := c.leaders.contain(taskStageCall, a.Endpoint, func() error { return c.leaders.workers.FreeResults(ctx, a) })
	if err != nil {
		c.leaders.log.Debug(eventResultsNotFreed, zap.String("endpoint", a.Endpoint), zap.Error(err))
	}
}
