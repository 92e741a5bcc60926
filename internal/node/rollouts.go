package node

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"gradetiller.example/internal/core/catalog"
	"gradetiller.example/internal/core/clamp"
	"gradetiller.example/internal/core/place"
	"gradetiller.example/internal/core/rollout"
	"gradetiller.example/internal/wire"
	"gradetiller.example/platform"
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
	decision *rollout.Decision
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
		s.decision.StartedBy(s.startedAt)
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

// writeMetrics writes the stage of each ordered rollout that applies at this node.
func (r *rollouts) writeMetrics(w io.Writer, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, service := range slices.Sorted(maps.Keys(r.byService)) {
		s := r.byService[service]
		stage := s.current(now)
		metrics.WriteGaugeFloat64(w, fmt.Sprintf(`gradetiller_rollout_share{service=%q,version=%q,phase=%q}`, service, s.order.Version, stage.Phase), stage.NewShare())
	}
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
		ages[o.Service] = clamp.Milliseconds(o.Age)
		orders = append(orders, rollout.Order{Service: o.Service, Version: o.Version, Duration: clamp.Milliseconds(o.Duration), Revision: catalog.Revision(o.Revision)})
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

// armOf returns the arm of a request that is placed now. A stream that goes on stays in the arm of the
// software version that began it, whatever the phase and the ID of this attempt.
func (n *Node) armOf(q *request) rollout.Arm {
	arm := n.rollouts.arm(time.Now(), q.service, q.in.RequestID)
	if arm == rollout.Any || len(q.versions) == 0 {
		return arm
	}
	order, ok := n.view.Load().rollouts.Get(q.service)
	if !ok {
		return rollout.Any
	}
	return order.ArmOf(catalog.Endpoint{Version: q.versions[0]})
}

// trackRollout counts a call for the rollout of its service.
func (n *Node) trackRollout(c *placedCall, q *request, arm rollout.Arm) {
	if arm == rollout.Any {
		return
	}
	end := n.rollouts.begin(q.service, arm)
	route, cold := q.route.Name, c.bounded
	returns := q.route.Kind == catalog.Streaming && q.route.Resumable
	c.record = func(r place.Result) {
		result := rollout.Result{OK: r.OK}
		if !c.answeredAt.IsZero() && !cold {
			result.Latency = c.answeredAt.Sub(c.started)
		}
		if q.route.Kind != catalog.Streaming && !cold {
			result.Latency = r.Latency
		}
		end(!r.Neutral && !r.Unreachable, rollout.Key{Route: route, Arm: arm}, result)
		if broke := !r.OK && !c.answeredAt.IsZero(); broke && returns {
			n.rollouts.awaitReturn(q.service, arm)
		}
	}
}

// returnTime is how long the client of a stream that broke may take to return for the rest.
const returnTime = 2 * time.Second

// awaitReturn counts a stream that broke as unfinished until its client may have returned. A rollout that is
// completed stops the endpoints of the other versions, at which alone the stream can go on.
func (r *rollouts) awaitReturn(service string, arm rollout.Arm) {
	end := r.begin(service, arm)
	time.AfterFunc(returnTime, func() { end(false, rollout.Key{}, rollout.Result{}) })
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

// applyRolloutStage adopts the statement of the node that decides about a rollout.
func (n *Node) applyRolloutStage(m *wire.RolloutStage) {
	n.rollouts.mu.Lock()
	s, ok := n.rollouts.byService[m.Service]
	if !ok || uint64(s.order.Revision) != m.Revision || s.stage.Phase.Final() && phaseOf(m.Phase) <= s.stage.Phase {
		n.rollouts.mu.Unlock()
		return
	}
	before, next := s.stage.Phase, phaseOf(m.Phase)
	s.stage, s.heardAt = rollout.Stage{Phase: next, Share: m.Share}, time.Now()
	n.rollouts.mu.Unlock()
	if before != next {
		n.log.Info(eventRolloutStage, zap.String("service", m.Service), zap.Stringer("phase", next), zap.Stringer("before", before))
		n.updatePools()
	}
}
