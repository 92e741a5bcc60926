package stagepool

import (
	"fmt"
	"testing"
	"time"
)

// expiring drives a pool with one endpoint a service and remembers when each result
// ends.
type expiring struct {
	t      *testing.T
	pool   *Pool
	now    time.Time
	ends   map[string]time.Time
	calls  []StartCall
	failed map[TaskID]string
}

func newExpiring(t *testing.T) *expiring {
	w := newWorld(t, 1, 1)
	x := &expiring{t: t, pool: New(), now: w.now, ends: make(map[string]time.Time), failed: make(map[TaskID]string)}
	x.take(x.pool.Configure(x.now, testServices, w.listed()))
	return x
}

// take notes calls, and that none of them fetches what is gone.
func (x *expiring) take(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case StartCall:
			x.calls = append(x.calls, a)
			for _, item := range a.Items {
				for _, h := range item.Inputs {
					if x.now.After(x.ends[h]) {
						x.t.Errorf("%s is called at %v for a piece of %s whose input %s is gone", a.Endpoint, x.now.Sub(time.Unix(1000, 0)), item.RequestID, h)
					}
				}
			}
		case Fail:
			x.failed[a.Task] = a.Reason
		}
	}
}

// end ends the first call at an endpoint, with results for all its pieces.
func (x *expiring) end(endpoint string) {
	for i, c := range x.calls {
		if c.Endpoint != endpoint {
			continue
		}
		x.calls = append(x.calls[:i:i], x.calls[i+1:]...)
		o := Outcome{Status: Answered}
		for _, item := range c.Items {
			h := fmt.Sprintf("%s/%d-%d-%d", endpoint, c.Call, item.Stage, item.Piece)
			x.ends[h] = x.now.Add(testServices[c.Service].Batching.ResultLife)
			o.Items = append(o.Items, ItemResult{Handle: h})
		}
		x.take(x.pool.Done(x.now, c.Call, o))
		return
	}
	x.t.Fatalf("no call at %s", endpoint)
}

func (x *expiring) pass(d time.Duration) {
	for end := x.now.Add(d); x.now.Before(end); {
		x.now = x.now.Add(20 * time.Millisecond)
		x.take(x.pool.Tick(x.now))
	}
}

// TestExpiredInputsAreNotCalled has tasks wait behind a call that takes longer than
// their inputs live: nothing is called for what is gone. The task that can still be
// in time begins anew, the other one is given up.
func TestExpiredInputsAreNotCalled(t *testing.T) {
	x := newExpiring(t)
	submit := func(aim time.Duration) TaskID {
		v, actions := x.pool.Submit(x.now, Task{RequestID: fmt.Sprint("aim ", aim), Key: "k", Stages: testStages[:2], SoftDeadline: x.now.Add(aim), Deadline: x.now.Add(time.Minute)})
		if !v.Accepted {
			t.Fatalf("the task with an aim of %v is refused", aim)
		}
		x.take(actions)
		return v.ID
	}
	submit(time.Minute)
	x.pass(300 * time.Millisecond)
	x.end("tag-0") // the first task now holds bill-0 up
	patient := submit(time.Minute)
	x.pass(300 * time.Millisecond)
	x.end("tag-0")
	hurried := submit(3 * time.Second)
	x.pass(300 * time.Millisecond)
	x.end("tag-0")
	x.pass(4500 * time.Millisecond)
	x.end("bill-0")
	if reason, ok := x.failed[hurried]; !ok {
		t.Error("the task that can't be in time is not given up")
	} else if reason != reasonExpiredInputs {
		t.Errorf("it is given up because %q", reason)
	}
	if reason, ok := x.failed[patient]; ok {
		t.Errorf("the other task is given up: %s", reason)
	}
	again := 0
	for _, c := range x.calls {
		if c.Endpoint == "tag-0" {
			again += len(c.Items)
		}
	}
	if again == 0 {
		t.Error("the other task does not begin anew")
	}
}
