package node

import (
	"time"

	"go.uber.org/zap"

	"gradetiller.example/internal/core/booking"
	"gradetiller.example/internal/core/stagepool"
	"gradetiller.example/internal/wire"
)

// loggedGroups bounds the groups in a line on shares.
const loggedGroups = 16

// admit submits a task to the pool. Admission by schedule and by share is active while the clients of
// most routes have little patience. The caller must hold mu.
func (c *leader) admit(now time.Time, t stagepool.Task) (stagepool.Admission, []stagepool.Action) {
	c.patience.Observe(now, t.Route, t.Patience)
	c.pool.SetScheduled(now, c.patience.Short(now))
	verdict, actions := c.pool.Submit(now, t)
	c.leaders.meters.admission(t.Route, verdict.Accepted)
	if misfit := verdict.Misfit; misfit.Service != "" {
		c.refused++
		c.leaders.log.Info(eventTaskRefused, zap.Int("cell", c.cell), zap.String("id", t.RequestID), zap.String("route", t.Route),
			zap.String("account", t.Account), zap.String("service", misfit.Service), zap.Duration("due", misfit.Due.Sub(now)),
			zap.Float64("headroom", misfit.Headroom), zap.Duration("retry_after", verdict.RetryAfter), zap.Bool("reserved", verdict.Reserved))
	}
	return verdict, actions
}

// admissionAnswer returns the answer to a submission with the given ID.
func admissionAnswer(id uint64, v stagepool.Admission) wire.StagesAdmission {
	return wire.StagesAdmission{
		ID: id, Accepted: v.Accepted, Finish: v.Finish.Milliseconds(), RetryAfter: v.RetryAfter.Milliseconds(), Reserved: v.Reserved,
	}
}

// logShares logs what each group of requests was served if tasks were refused since the last line, and
// exports the headroom of the routes. The caller must hold mu.
func (c *leader) logShares(now time.Time) {
	shares := c.pool.Shares()
	for route, headroom := range shares.RouteHeadrooms(now) {
		c.leaders.meters.headroom(route, headroom)
	}
	if c.refused == 0 {
		return
	}
	c.leaders.log.Info(eventShares, zap.Int("cell", c.cell), zap.Int("refused", c.refused), zap.Stringers("groups", shares.Largest(now, loggedGroups)))
	c.refused = 0
}

// bookings returns the sum of the counts of all cells.
func (l *leaders) bookings() booking.Stats {
	var sum booking.Stats
	for _, c := range l.all() {
		c.mu.Lock()
		sum.Add(c.book.Stats())
		c.mu.Unlock()
	}
	return sum
}
