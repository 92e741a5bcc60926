package node

import (
	"time"

	"gradetiller.example/internal/core/catalog"
	"gradetiller.example/internal/core/intake"
	"gradetiller.example/internal/core/rollout"
)

// stageRoute stands for the route of calls to stage endpoints, which serve several routes.
const stageRoute = "stages"

// stageVersions decides which endpoints of a stage service a cell uses during a rollout. As a
// canary, one endpoint of the new version in the cell gets calls, at a bounded rate.
func (n *Node) stageVersions(now time.Time, orders rollout.Orders, list []catalog.Endpoint) {
	canaries := make(map[string]bool)
	for i := range list {
		e := &list[i]
		order, ok := orders.Get(e.Service)
		if !ok {
			continue
		}
		isNew := order.ArmOf(*e) == rollout.New
		switch stage := n.rollouts.stage(now, e.Service); {
		case stage.Phase == rollout.Complete:
		case stage.Phase == rollout.Shifted:
			e.Draining = e.Draining || !isNew
		case isNew && (stage.Phase == rollout.Reverted || stage.Share <= 0 || canaries[e.Service]):
			e.Draining = true
		case isNew && !e.Draining:
			canaries[e.Service] = true
		}
	}
}

// canaryPace returns the pace of calls to an endpoint that gets calls as a canary, or false for
// other endpoints.
func (n *Node) canaryPace(v *view, e catalog.Endpoint) (intake.Pace, bool) {
	order, ok := v.rollouts.Get(e.Service)
	if !ok || order.ArmOf(e) != rollout.New {
		return intake.Pace{}, false
	}
	stage := n.rollouts.stage(time.Now(), e.Service)
	if stage.Phase != rollout.Canary {
		return intake.Pace{}, false
	}
	rate, err := intake.NewRate(stage.Share * n.leaders.callRate(e.Service))
	if err != nil {
		return intake.Pace{}, false
	}
	return intake.NewPace(intake.NewBound(rate, 0, time.Time{}), intake.LeaderShare(intake.ByLeaders, 1, 1, 1, time.Time{})), true
}

// stage returns the stage of a service's rollout that applies now.
func (r *rollouts) stage(now time.Time, service string) rollout.Stage {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.byService[service]
	if !ok {
		return rollout.Stage{}
	}
	return s.current(now)
}

// trackStageCall counts a call to a stage endpoint for the rollout of its service. Calls differ in
// their number of pieces, so that only their failures are compared. A call that failed because this
// node lost its path to the endpoint says nothing about its version.
func (n *Node) trackStageCall(service, endpoint string) func(ok bool, took time.Duration) {
	v := n.view.Load()
	order, ok := v.rollouts.Get(service)
	if !ok {
		return func(bool, time.Duration) {}
	}
	arm := rollout.Old
	if e, ok := v.endpoints.Get(endpoint); ok {
		arm = order.ArmOf(*e)
	}
	end := n.rollouts.begin(service, arm)
	return func(ok bool, took time.Duration) {
		end(ok || !n.lostHere(endpoint), rollout.Key{Route: stageRoute, Arm: arm}, rollout.Result{OK: ok, Latency: took})
	}
}

// recordCallRate records the number of calls that a cell has sent to a stage service since the last
// time. The caller must hold the lock of the cell.
func (c *leader) recordCallRate(service string, calls uint64, span time.Duration) {
	if c.calls == nil {
		c.calls = make(map[string]uint64)
	}
	rate := float64(calls-c.calls[service]) / max(span, statsLogInterval).Seconds()
	c.calls[service] = calls
	c.leaders.ratesMu.Lock()
	defer c.leaders.ratesMu.Unlock()
	c.leaders.callRates[service] = rate
}

// callRate returns the recent calls per second of a cell to a stage service.
func (l *leaders) callRate(service string) float64 {
	l.ratesMu.Lock()
	defer l.ratesMu.Unlock()
	return l.callRates[service]
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
