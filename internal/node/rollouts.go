package node

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"go.uber.org/zap"

	"gradetiller.example/internal/core/catalog"
	"gradetiller.example/internal/core/hash"
	"gradetiller.example/internal/core/lead"
	"gradetiller.example/internal/core/place"
	"gradetiller.example/internal/core/rollout"
	"gradetiller.example/internal/peer"
	"gradetiller.example/internal/wire"
	"gradetiller.example/platform"
)

const (
	// statusTimeout bounds a call to the store for the status of a rollout, and statusRetryDelay
	// is the time between two of them after a failure.
	statusTimeout    = 400 * time.Millisecond
	statusRetryDelay = 150 * time.Millisecond
)

// rollouts holds what this node knows of the ordered rollouts. It is safe for concurrent use.
type rollouts struct {
	mu        sync.Mutex
	byService map[string]*nodeRollout
}

// nodeRollout is one rollout at this node.
type nodeRollout struct {
	order rollout.Order
	// startedAt is when the first node learned of the order, as far as this one knows.
	startedAt  time.Time
	recorder   rollout.Recorder
	unfinished int
	// stage is the decider's last statement, received at heardAt.
	stage      rollout.Stage
	heardAt    time.Time
	reportedAt time.Time
	// decision is set while this node decides about the rollout.
	decision *rolloutDecision
}

// rolloutDecision is the state of the deciding node.
type rolloutDecision struct {
	decider *rollout.Decider
	// status is the recorded status as last read; it is valid if statusRead is true.
	status     platform.RolloutStatus
	statusRead bool
	// recording is true while a goroutine reads or writes the status.
	recording bool
}

func newRollouts() *rollouts { return &rollouts{byService: make(map[string]*nodeRollout)} }

// sync adopts a set of orders. An order that replaces another one starts anew.
func (r *rollouts) sync(now time.Time, orders rollout.Orders, ages map[string]time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, o := range orders.List() {
		started := now.Add(-ages[o.Service])
		if known, ok := r.byService[o.Service]; ok && known.order == o {
			known.startAt(started)
			continue
		}
		r.byService[o.Service] = &nodeRollout{order: o, startedAt: started}
	}
	maps.DeleteFunc(r.byService, func(service string, _ *nodeRollout) bool {
		_, ok := orders.Get(service)
		return !ok
	})
}

// startAt corrects the time of the order if it is known to be earlier.
func (s *nodeRollout) startAt(at time.Time) {
	if at.Before(s.startedAt) {
		s.startedAt = at
	}
	if s.decision != nil {
		s.decision.decider.StartedBy(s.startedAt)
	}
}

// arm returns the arm of a request that is placed now.
func (r *rollouts) arm(now time.Time, service, requestID string) rollout.Arm {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.byService[service]
	if !ok {
		return rollout.Any
	}
	return s.current(now).Arm(requestID)
}

// current returns the stage that applies: the decider's last statement while that is fresh, or if it
// is final.
func (s *nodeRollout) current(now time.Time) rollout.Stage {
	if s.stage.Phase.Final() || now.Sub(s.heardAt) < rollout.StatementTTL {
		return s.stage
	}
	return rollout.Stage{}
}

// listed returns the orders as sent to peers.
func (r *rollouts) listed(now time.Time, orders rollout.Orders) []wire.Rollout {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []wire.Rollout
	for _, o := range orders.List() {
		out := wire.Rollout{Service: o.Service, Version: o.Version, Duration: o.Duration.Milliseconds(), Revision: uint64(o.Revision)}
		if s, ok := r.byService[o.Service]; ok && s.order == o {
			out.Age = now.Sub(s.startedAt).Milliseconds()
		}
		list = append(list, out)
	}
	return list
}

// armNamed is the inverse of Arm.String.
func armNamed(name string) rollout.Arm {
	for _, a := range []rollout.Arm{rollout.Old, rollout.New} {
		if a.String() == name {
			return a
		}
	}
	return rollout.Any
}

var (
	oldArmNames = []string{rollout.Old.String()}
	newArmNames = []string{rollout.New.String()}
)

// armNames returns a function that returns the arm of an endpoint of a service as a list of one
// name, or nil if no rollout of the service is ordered.
func (v *view) armNames(service string) func(catalog.Endpoint) []string {
	order, ok := v.rollouts.Get(service)
	return func(e catalog.Endpoint) []string {
		switch {
		case !ok:
			return nil
		case order.ArmOf(e) == rollout.New:
			return newArmNames
		}
		return oldArmNames
	}
}

// applyStoreRollouts applies the orders that were read from the store.
func (n *Node) applyStoreRollouts(r platform.ConfigUpdate) {
	present := make(map[string]bool, len(r.RefusedRollouts))
	for _, refused := range r.RefusedRollouts {
		present[refused.Error()] = true
		if !n.loggedRolloutFaults[refused.Error()] {
			n.log.Warn(eventRolloutRefused, zap.Error(refused))
		}
	}
	if r.Complete || len(present) > 0 {
		n.loggedRolloutFaults = present
	}
	n.updateRollouts(sourceStore, nil, func(known rollout.Orders) rollout.Orders {
		if !r.Complete {
			return known.Apply(r.Revision, r.Rollouts)
		}
		var orders []rollout.Order
		for _, c := range r.Rollouts {
			orders = append(orders, c.Order)
		}
		for _, refused := range r.RefusedRollouts {
			// A malformed order changes nothing.
			if o, ok := known.Get(refused.Service()); ok {
				orders = append(orders, o)
			}
		}
		return known.Replace(r.Revision, orders)
	})
}

// applyPeerRollouts applies the orders in a peer's view.
func (n *Node) applyPeerRollouts(m *wire.View) {
	ages := make(map[string]time.Duration, len(m.Rollouts))
	orders := make([]rollout.Order, 0, len(m.Rollouts))
	for _, o := range m.Rollouts {
		ages[o.Service] = time.Duration(o.Age) * time.Millisecond
		orders = append(orders, rollout.Order{Service: o.Service, Version: o.Version, Duration: time.Duration(o.Duration) * time.Millisecond, Revision: catalog.Revision(o.Revision)})
	}
	n.updateRollouts(sourcePeer, ages, func(known rollout.Orders) rollout.Orders {
		return known.Replace(catalog.Revision(m.RolloutsRevision), orders)
	})
}

// updateRollouts applies a change to the orders and publishes the resulting view.
func (n *Node) updateRollouts(source string, ages map[string]time.Duration, change func(known rollout.Orders) rollout.Orders) {
	n.viewMu.Lock()
	old := n.view.Load()
	next := *old
	next.rollouts = change(old.rollouts)
	if next.rollouts.Revision() == old.rollouts.Revision() {
		n.viewMu.Unlock()
		return
	}
	// Adopted before the view is published, so that no request finds an order without its state.
	n.rollouts.sync(time.Now(), next.rollouts, ages)
	n.view.Store(&next)
	n.viewMu.Unlock()
	if next.rollouts.Equal(old.rollouts) {
		return
	}
	for _, o := range next.rollouts.List() {
		if before, ok := old.rollouts.Get(o.Service); !ok || before != o {
			n.log.Info(eventRolloutOrdered, zap.String("service", o.Service), zap.String("version", o.Version), zap.Duration("duration", o.Duration), zap.String("source", source))
		}
	}
	n.updatePools()
}

// armOf returns the arm of a request that is placed now.
func (n *Node) armOf(q *request) rollout.Arm {
	return n.rollouts.arm(time.Now(), q.service, q.in.RequestID)
}

// trackRollout counts a call for the rollout of its service.
func (n *Node) trackRollout(c *placedCall, q *request, arm rollout.Arm) {
	if arm == rollout.Any {
		return
	}
	end := n.rollouts.begin(q.service, arm)
	route, cold := q.route.Name, c.bounded
	c.record = func(r place.Result) {
		result := rollout.Result{OK: r.OK}
		if !c.answeredAt.IsZero() && !cold {
			result.Latency = c.answeredAt.Sub(c.started)
		}
		if q.route.Kind != catalog.Streaming && !cold {
			result.Latency = r.Latency
		}
		end(!r.Neutral && !r.Unreachable, rollout.Key{Route: route, Arm: arm}, result)
	}
}

// begin counts a call that starts, and returns a function to be called at its end.
func (r *rollouts) begin(service string, arm rollout.Arm) func(counts bool, k rollout.Key, result rollout.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.byService[service]
	if !ok {
		return func(bool, rollout.Key, rollout.Result) {}
	}
	if arm == rollout.Old {
		s.unfinished++
	}
	return func(counts bool, k rollout.Key, result rollout.Result) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if arm == rollout.Old {
			s.unfinished--
		}
		if counts {
			s.recorder.Record(k, result)
		}
	}
}

// deciderOf returns the node that decides about the rollout of a service.
func (n *Node) deciderOf(now time.Time, service string) (wire.Entry, bool) {
	large, _ := lead.SplitBySize(n.leaderCandidates(now))
	first, found, highest := wire.Entry{}, false, uint64(0)
	for _, e := range large {
		weight := hash.Pair(hash.Of(service), hash.Of(e.Node))
		if !found || weight > highest || weight == highest && e.Node < first.Node {
			first, found, highest = e, true, weight
		}
	}
	return first, found
}

// tickRollouts reports to the nodes that decide about rollouts.
func (n *Node) tickRollouts(now time.Time) {
	n.refreshStagePaces(now)
	for _, s := range n.rollouts.unrecorded() {
		n.recordStatus(s)
	}
	for _, m := range n.rollouts.dueReports(now) {
		to, ok := n.deciderOf(now, m.Service)
		if !ok {
			continue
		}
		if to.Node != n.settings.Node {
			n.links.Send(to.PeerAddress, m)
			continue
		}
		n.handleRolloutReport(n.hello(), &m, func(m wire.Message) error {
			if stage, ok := m.(wire.RolloutStage); ok {
				n.applyRolloutStage(&stage)
			}
			return nil
		})
	}
}

// stagePaceInterval is how often the paces of canaries of stage services follow the rate of calls.
const stagePaceInterval = 2 * time.Second

// refreshStagePaces updates the pools if the paces of canaries are due.
func (n *Node) refreshStagePaces(now time.Time) {
	v := n.view.Load()
	if now.Sub(n.stagePacesAt) < stagePaceInterval || v.config == nil {
		return
	}
	n.stagePacesAt = now
	for _, o := range v.rollouts.List() {
		if v.config.Services[o.Service].Batching != nil && n.rollouts.stage(now, o.Service).Phase == rollout.Canary {
			n.updatePools()
			return
		}
	}
}

// dueReports returns the reports that are due now.
func (r *rollouts) dueReports(now time.Time) []wire.RolloutReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []wire.RolloutReport
	for _, s := range r.byService {
		if s.stage.Phase.Final() || now.Sub(s.reportedAt) < rollout.ReportInterval {
			continue
		}
		s.reportedAt = now
		m := wire.RolloutReport{
			Service: s.order.Service, Revision: uint64(s.order.Revision), Unfinished: s.unfinished,
			Phase: int(s.stage.Phase), Age: now.Sub(s.startedAt).Milliseconds(),
		}
		for k, c := range s.recorder.Report() {
			m.Counts = append(m.Counts, wire.RolloutCounts{Route: k.Route, Arm: int(k.Arm), Answers: c.Answers, Failures: c.Failures, Latencies: c.Latencies[:]})
		}
		list = append(list, m)
	}
	return list
}

// reportOf returns the counts in a message.
func reportOf(m *wire.RolloutReport) rollout.Report {
	report := make(rollout.Report, len(m.Counts))
	for _, in := range m.Counts {
		c := rollout.Counts{Answers: in.Answers, Failures: in.Failures}
		copy(c.Latencies[:], in.Latencies)
		report[rollout.Key{Route: in.Route, Arm: rollout.Arm(in.Arm)}] = c
	}
	return report
}

// handleRolloutReport decides about a rollout with the counts of a node, and answers it with the
// stage. There is no answer before this node knows the recorded status: the rollout may have ended.
func (n *Node) handleRolloutReport(from wire.Hello, m *wire.RolloutReport, answer peer.Answer) {
	if stage, ok := n.decideRollout(time.Now(), from, m); ok {
		_ = answer(wire.RolloutStage{Service: m.Service, Revision: m.Revision, Phase: int(stage.Phase), Share: stage.Share})
	}
}

// decideRollout merges a report and returns the stage, if it is known.
func (n *Node) decideRollout(now time.Time, from wire.Hello, m *wire.RolloutReport) (rollout.Stage, bool) {
	n.rollouts.mu.Lock()
	defer n.rollouts.mu.Unlock()
	s, ok := n.rollouts.byService[m.Service]
	if !ok || uint64(s.order.Revision) != m.Revision {
		return rollout.Stage{}, false
	}
	s.startAt(now.Add(-time.Duration(m.Age) * time.Millisecond))
	if s.decision == nil {
		limits := rollout.Limits{Share: n.settings.CanaryShare, Slack: n.settings.CanarySlack}
		s.decision = &rolloutDecision{decider: rollout.NewDecider(s.order, limits, s.startedAt)}
		s.decision.decider.Advance(s.stage.Phase)
	}
	d := s.decision
	phase := min(max(rollout.Phase(m.Phase), rollout.Canary), rollout.Complete)
	d.decider.Merge(now, from.Node, from.Incarnation, reportOf(m), m.Unfinished, phase)
	if !d.statusRead {
		n.startRecording(s)
		return rollout.Stage{}, false
	}
	stage := d.decider.Decide(now)
	if d.decider.MayComplete(now) || stage.Phase.Final() || d.status.Revision < s.order.Revision {
		n.startRecording(s)
	}
	stage.Phase = d.decider.Phase()
	return stage, true
}

// unrecorded returns the rollouts that this node decided and whose end is not recorded yet.
func (r *rollouts) unrecorded() []*nodeRollout {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []*nodeRollout
	for _, s := range r.byService {
		if d := s.decision; d != nil && d.decider.Phase().Final() && !d.recorded(s.order).Final() {
			list = append(list, s)
		}
	}
	return list
}

// recordStatus brings the recorded status of a rollout up to date in the background.
func (n *Node) recordStatus(s *nodeRollout) {
	n.rollouts.mu.Lock()
	defer n.rollouts.mu.Unlock()
	n.startRecording(s)
}

// startRecording is recordStatus for a caller that holds the lock of the rollouts.
func (n *Node) startRecording(s *nodeRollout) {
	d := s.decision
	if d.recording || d.statusRead && d.recorded(s.order) == rollout.Complete {
		return
	}
	d.recording = true
	go func() {
		done := n.syncStatus(s)
		if !done {
			time.Sleep(statusRetryDelay)
		}
		n.rollouts.mu.Lock()
		defer n.rollouts.mu.Unlock()
		d.recording = false
	}()
}

// recorded returns the phase that the status records for an order.
func (d *rolloutDecision) recorded(o rollout.Order) rollout.Phase {
	if d.status.Revision <= o.Revision || d.status.Version != o.Version {
		return rollout.Canary
	}
	return d.status.Phase
}

// syncStatus reads the recorded status and writes it if the rollout is further. It reports whether
// no call failed.
func (n *Node) syncStatus(s *nodeRollout) bool {
	ctx := context.Background()
	status, err := n.store.ReadRolloutStatus(ctx, s.order.Service, statusTimeout)
	if err != nil {
		n.log.Warn(eventRolloutStatusLost, zap.String("service", s.order.Service), zap.Error(err))
		return false
	}
	n.rollouts.mu.Lock()
	d := s.decision
	d.status, d.statusRead = status, true
	known := d.recorded(s.order)
	d.decider.Advance(known)
	now := time.Now()
	wanted := d.decider.Phase()
	if d.decider.MayComplete(now) {
		wanted = rollout.Complete
	}
	n.rollouts.mu.Unlock()
	first := status.Revision <= s.order.Revision || status.Version != s.order.Version
	if !first && (known.Final() || !wanted.Final()) {
		return true
	}
	err = n.store.WriteRolloutStatus(ctx, s.order, wanted, status.Revision, statusTimeout)
	switch {
	case errors.Is(err, platform.ErrStatusChanged):
		// The next call reads what the other node wrote.
		return true
	case err != nil:
		n.log.Warn(eventRolloutStatusLost, zap.String("service", s.order.Service), zap.Error(err))
		return false
	}
	n.log.Info(eventRolloutRecorded, zap.String("service", s.order.Service), zap.String("version", s.order.Version), zap.Stringer("phase", wanted))
	n.rollouts.mu.Lock()
	defer n.rollouts.mu.Unlock()
	// The row has a revision that the next call learns.
	d.status = platform.RolloutStatus{Version: s.order.Version, Phase: wanted, Revision: max(status.Revision, s.order.Revision) + 1}
	if wanted == rollout.Complete {
		d.decider.Advance(rollout.Complete)
	}
	return true
}

// applyRolloutStage adopts the statement of the node that decides about a rollout.
func (n *Node) applyRolloutStage(m *wire.RolloutStage) {
	n.rollouts.mu.Lock()
	s, ok := n.rollouts.byService[m.Service]
	if !ok || uint64(s.order.Revision) != m.Revision || s.stage.Phase.Final() && rollout.Phase(m.Phase) <= s.stage.Phase {
		n.rollouts.mu.Unlock()
		return
	}
	before := s.stage.Phase
	s.stage, s.heardAt = rollout.Stage{Phase: rollout.Phase(m.Phase), Share: m.Share}, time.Now()
	n.rollouts.mu.Unlock()
	if before != s.stage.Phase {
		n.log.Info(eventRolloutStage, zap.String("service", m.Service), zap.Stringer("phase", rollout.Phase(m.Phase)), zap.Stringer("before", before))
		n.updatePools()
	}
}
