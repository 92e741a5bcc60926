package rollout

import "time"

const (
	// ReportInterval is how often a node reports to the decider, and StatementTTL how long the
	// answer applies without a later one.
	ReportInterval = 300 * time.Millisecond
	StatementTTL   = 1500 * time.Millisecond
	// canaryPart is the part of the tolerated share that the new version gets as a canary. The
	// rest is for the time between the shift and the deadline.
	canaryPart = 0.4
	// exposurePart is the part of the tolerated requests that is used. The rest covers chance,
	// and requests that the decider has no report of yet.
	exposurePart = 0.85
	// growth is by how much the traffic may exceed its recent rate until the deadline.
	growth = 1.3
	// minEvidence is the number of answers of the new version that a shift needs.
	minEvidence = 8
	// finishMargin is the time that the final status needs before the deadline.
	finishMargin = 400 * time.Millisecond
	// historyInterval is the time between the states that recent answers are counted from, and
	// historyLength their number.
	historyInterval = time.Second
	historyLength   = 5
	// rateInterval is the shortest time over which a node's rate of requests is measured.
	rateInterval = time.Second
	// judgeInterval is the shortest time between two comparisons of the versions.
	judgeInterval = 50 * time.Millisecond
)

// Limits bound the requests of a version that turns out to be bad.
type Limits struct {
	// Share is the tolerated fraction of all requests from the order to its deadline; Slack is
	// the number of requests tolerated beyond.
	Share float64
	Slack float64
}

// reporter identifies an incarnation of a node.
type reporter struct {
	node        string
	incarnation uint64
}

// nodeReport is the last report of a node.
type nodeReport struct {
	counts Report
	// unfinished is the number of requests that it has at endpoints of the old version.
	unfinished int
	at         time.Time
	// perSecond is the rate of its answers since, of which there were answersThen.
	perSecond   float64
	since       time.Time
	answersThen int
}

// snapshot is the sum of all reports at a time.
type snapshot struct {
	at  time.Time
	sum Report
}

// Decider decides about one rollout, from the reports of all nodes. It is not safe for concurrent
// use.
type Decider struct {
	order   Order
	limits  Limits
	started time.Time
	phase   Phase
	reports map[reporter]nodeReport
	// sum is the sum of all reports. judgedAt is when it was last compared.
	sum      Report
	judgedAt time.Time
	history  []snapshot
	// shiftedAt is when the new version began to get all requests, and shiftedSum the sum then.
	shiftedAt  time.Time
	shiftedSum Report
}

// NewDecider returns the decider of an order that was given at started.
func NewDecider(order Order, limits Limits, started time.Time) *Decider {
	return &Decider{order: order, limits: limits, started: started, reports: make(map[reporter]nodeReport), sum: make(Report)}
}

// Order returns the order.
func (d *Decider) Order() Order { return d.order }

// Phase returns the present phase.
func (d *Decider) Phase() Phase { return d.phase }

// Deadline returns the deadline of the order.
func (d *Decider) Deadline() time.Time { return d.started.Add(d.order.Duration) }

// StartedBy corrects the time of the order if a node knew it earlier.
func (d *Decider) StartedBy(at time.Time) {
	if at.Before(d.started) {
		d.started = at
	}
}

// Merge records the counts of a node, the number of requests that it has at endpoints of the old
// version, and the phase that it knows. A node that takes over as decider learns from the phase how
// far its predecessor came.
func (d *Decider) Merge(now time.Time, node string, incarnation uint64, counts Report, unfinished int, known Phase) {
	id := reporter{node, incarnation}
	last := d.reports[id]
	next := nodeReport{counts: counts, unfinished: unfinished, at: now, perSecond: last.perSecond, since: last.since, answersThen: last.answersThen}
	for k, c := range counts {
		d.sum[k] = d.sum[k].minus(last.counts[k]).plus(c)
	}
	if answers, span := counts.requests(Any), now.Sub(last.since); last.since.IsZero() || span >= rateInterval {
		if !last.since.IsZero() {
			next.perSecond = float64(answers-last.answersThen) / span.Seconds()
		}
		next.since, next.answersThen = now, answers
	}
	d.reports[id] = next
	d.Advance(known)
}

// Advance moves the rollout to a phase that is known from elsewhere, unless it is further.
func (d *Decider) Advance(to Phase) { d.phase = max(d.phase, to) }

// Decide returns the stage at the given time.
func (d *Decider) Decide(now time.Time) Stage {
	if now.Sub(d.judgedAt) >= judgeInterval && !d.phase.Final() {
		d.judgedAt = now
		d.judge(now)
		d.remember(now)
	}
	return Stage{Phase: d.phase, Share: canaryPart * d.limits.Share}
}

// judge advances the phase by what the answers show.
func (d *Decider) judge(now time.Time) {
	switch {
	case d.bad():
		d.phase = Reverted
	case d.phase == Canary && d.mayShift(now):
		d.phase, d.shiftedAt, d.shiftedSum = Shifted, now, d.sum.clone()
	case d.phase == Canary && !now.Before(d.lastMoment()):
		// Too little is known of the new version to stop the others.
		d.phase = Reverted
	}
}

// MayComplete reports whether the other endpoints may be stopped: the new version has all requests,
// and the others have finished theirs or have no more time to.
func (d *Decider) MayComplete(now time.Time) bool {
	if d.phase != Shifted {
		return false
	}
	if badSince(d.sum, d.shiftedSum, finalConfidence) || badSince(d.sum, nil, finalConfidence) {
		d.phase = Reverted
		return false
	}
	return !now.Before(d.lastMoment()) || now.Sub(d.shiftedAt) >= 2*ReportInterval && d.unfinished(now) == 0
}

// unfinished returns the number of requests at endpoints of the old version, as far as nodes
// reported lately.
func (d *Decider) unfinished(now time.Time) int {
	sum := 0
	for _, r := range d.reports {
		if now.Sub(r.at) < StatementTTL {
			sum += r.unfinished
		}
	}
	return sum
}

// lastMoment is the time at which the rollout is completed at the latest.
func (d *Decider) lastMoment() time.Time { return d.Deadline().Add(-finishMargin) }

// mayShift reports whether all requests until the deadline may go to the new version: they fit into
// the limits even if it turns out to be bad at last.
func (d *Decider) mayShift(now time.Time) bool {
	newer, all := float64(d.sum.requests(New)), float64(d.sum.requests(Any))
	if newer < minEvidence || d.limits.Share <= 0 || badSince(d.sum, nil, finalConfidence) {
		return false
	}
	expected := growth * d.rate(now, all) * max(d.Deadline().Sub(now).Seconds(), 0)
	return newer+expected <= exposurePart*(d.limits.Share*(all+expected)+d.limits.Slack)
}

// rate returns the recent rate of requests per second of both arms.
func (d *Decider) rate(now time.Time, all float64) float64 {
	recent := 0.0
	for _, r := range d.reports {
		if now.Sub(r.at) < StatementTTL {
			recent += r.perSecond
		}
	}
	return max(recent, all/max(now.Sub(d.started).Seconds(), rateInterval.Seconds()))
}

// bad reports whether the new version is worse than the old one: since the order or recently, on
// any route or on all of them together.
func (d *Decider) bad() bool {
	if badSince(d.sum, nil, confidence) {
		return true
	}
	for _, h := range d.history {
		if badSince(d.sum, h.sum, confidence) {
			return true
		}
	}
	return false
}

// badSince compares the answers of the new version since an earlier sum with all of the old one.
func badSince(sum, since Report, confidence float64) bool {
	var older, newer Counts
	for k, c := range sum {
		if k.Arm != New {
			continue
		}
		o := sum[Key{Route: k.Route, Arm: Old}]
		c = c.minus(since[k])
		if worse(o, c, confidence) {
			return true
		}
		older, newer = older.plus(failuresOf(o)), newer.plus(failuresOf(c))
	}
	return worse(older, newer, confidence)
}

// failuresOf returns counts without latencies, which are not comparable between routes.
func failuresOf(c Counts) Counts { return Counts{Answers: c.Answers, Failures: c.Failures} }

// remember adds the present sum to the history.
func (d *Decider) remember(now time.Time) {
	if len(d.history) > 0 && now.Sub(d.history[len(d.history)-1].at) < historyInterval {
		return
	}
	if len(d.history) == historyLength {
		d.history = d.history[1:]
	}
	d.history = append(d.history, snapshot{at: now, sum: d.sum.clone()})
}
