package node

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"gradetiller.example/internal/core/clamp"
	"gradetiller.example/internal/core/lead"
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

// deciderOf returns the node that decides about the rollout of a service.
func (n *Node) deciderOf(now time.Time, service string) (wire.Entry, bool) {
	large, _ := lead.SplitBySize(n.leaderCandidates(now))
	name, ok := rollout.DecidingNode(service, nodeNames(large))
	if !ok {
		return wire.Entry{}, false
	}
	at := slices.IndexFunc(large, func(e wire.Entry) bool { return e.Node == name })
	return large[at], true
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

// phaseOf returns the phase in a message.
func phaseOf(phase int) rollout.Phase {
	return min(max(rollout.Phase(phase), rollout.Canary), rollout.Complete)
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
	s.startAt(now.Add(-clamp.Milliseconds(m.Age)))
	if s.decision == nil {
		limits := rollout.Limits{Share: n.settings.CanaryShare, Slack: n.settings.CanarySlack}
		s.decision = rollout.NewDecision(s.order, limits, s.startedAt, s.stage.Phase)
	}
	s.decision.Merge(now, from.Node, from.Incarnation, reportOf(m), m.Unfinished, phaseOf(m.Phase))
	stage, known, record := s.decision.Decide(now)
	if record {
		n.startRecording(s)
	}
	return stage, known
}

// unrecorded returns the rollouts that this node decided and whose end is not recorded yet.
func (r *rollouts) unrecorded() []*nodeRollout {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []*nodeRollout
	for _, s := range r.byService {
		if s.decision != nil && s.decision.Unrecorded() {
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
	if !d.BeginRecording() {
		return
	}
	go func() {
		done := n.syncStatus(s)
		if !done {
			time.Sleep(statusRetryDelay)
		}
		n.rollouts.mu.Lock()
		defer n.rollouts.mu.Unlock()
		d.EndRecording()
	}()
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
	wanted, write := s.decision.Learn(time.Now(), status)
	n.rollouts.mu.Unlock()
	if !write {
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
	s.decision.Written(wanted)
	return true
}
