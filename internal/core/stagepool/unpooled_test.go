package stagepool

import (
	"fmt"
	"testing"
	"time"
)

// unpooled simulates nodes that each run a pool of their own and send calls to the same endpoints
// without knowing of each other. It is the baseline for a shared pool.
type unpooled struct {
	*world
	pools []*Pool
	of    map[CallID]*Pool
}

// callShift separates the call IDs of the pools.
const callShift = 32

func newUnpooled(t testing.TB, seed uint64, endpoints, nodes int) *unpooled {
	a := &unpooled{world: newWorld(t, seed, endpoints), of: make(map[CallID]*Pool)}
	a.queue = nil
	for i := range nodes {
		p := New()
		p.lastCall = CallID(i+1) << callShift
		p.lastTask = TaskID(i+1) << callShift
		p.Configure(a.now, testServices, a.listed())
		a.pools = append(a.pools, p)
	}
	return a
}

func (a *unpooled) poolOf(id uint64) *Pool { return a.pools[id>>callShift-1] }

// load distributes the load of world.load over all nodes in turn. It returns how many requests
// finished on time, and how many were submitted.
func (a *unpooled) load(perSecond float64, d, softDeadline time.Duration) (onTime, submitted int) {
	end := a.now.Add(d)
	var next func()
	next = func() {
		if a.now.After(end) {
			return
		}
		submitted++
		p := a.pools[submitted%len(a.pools)]
		t := Task{RequestID: fmt.Sprintf("r%d", submitted), Key: "k", Stages: testStages, SoftDeadline: a.now.Add(softDeadline), Deadline: a.now.Add(15 * time.Second), Domain: "d0"}
		v, actions := p.Submit(a.now, t)
		if v.Accepted {
			a.tasks[v.ID] = t
		}
		a.play(actions)
		a.after(time.Duration(a.rand.ExpFloat64()/perSecond*float64(time.Second)), next)
	}
	var tick func()
	tick = func() {
		for _, p := range a.pools {
			a.play(p.Tick(a.now))
		}
		a.after(20*time.Millisecond, tick)
	}
	a.after(0, next)
	a.after(0, tick)
	a.run(d + 20*time.Second)
	for id, t := range a.tasks {
		if at, ok := a.done[id]; ok && !at.After(t.SoftDeadline) {
			onTime++
		}
	}
	return onTime, submitted
}

// play carries out actions; the end of a call is reported to the pool that started it.
func (a *unpooled) play(actions []Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case StartCall:
			a.pool = a.poolOf(uint64(action.Call))
			a.send(action)
		case Complete:
			a.done[action.Task] = a.now
			a.after(a.release, func() { a.play(a.poolOf(uint64(action.Task)).Release(a.now, action.Task)) })
		default:
			a.carryOut([]Action{action})
		}
	}
}

func (a *unpooled) send(c StartCall) {
	p := a.poolOf(uint64(c.Call))
	s := a.endpoints[c.Endpoint]
	a.after(time.Millisecond, func() {
		if len(s.waiting) > 2 {
			a.play(p.Done(a.now, c.Call, Outcome{Status: NotRun}))
			return
		}
		s.waiting = append(s.waiting, c)
		a.begin(s)
	})
}

// begin is world.work, except that the result goes to the pool that started the call.
func (a *unpooled) begin(s *simEndpoint) {
	if s.busy || len(s.waiting) == 0 {
		return
	}
	c := s.waiting[0]
	s.waiting = s.waiting[1:]
	s.busy = true
	results := make([]ItemResult, len(c.Items))
	made := 0
	for k, it := range c.Items {
		results[k] = a.process(s, it)
		if results[k].Status == Made {
			made++
		}
	}
	a.after(s.conf.CallTime+time.Duration(made)*s.conf.ItemTime, func() {
		s.busy = false
		a.play(a.poolOf(uint64(c.Call)).Done(a.now, c.Call, Outcome{Status: Answered, Items: results}))
		a.begin(s)
	})
}
