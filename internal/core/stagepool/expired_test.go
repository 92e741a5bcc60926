package stagepool

import (
	"fmt"
	"testing"
	"time"
)

// expiryHarness drives a pool with one endpoint per service and records when each result expires.
type expiryHarness struct {
	t         *testing.T
	pool      *Pool
	now       time.Time
	expiresAt map[string]time.Time
	calls     []StartCall
	failed    map[TaskID]string
}

func newExpiryHarness(t *testing.T) *expiryHarness {
	w := newWorld(t, 1, 1)
	x := &expiryHarness{t: t, pool: New(), now: w.now, expiresAt: make(map[string]time.Time), failed: make(map[TaskID]string)}
	x.handle(x.pool.Configure(x.now, testServices, w.listed()))
	return x
}

// handle records calls and checks that their inputs have not expired.
func (x *expiryHarness) handle(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case StartCall:
			x.calls = append(x.calls, a)
			for _, item := range a.Items {
				for _, h := range item.Inputs {
					if x.now.After(x.expiresAt[h]) {
						x.t.Errorf("%s is called at %v for a piece of %s whose input %s is gone", a.Endpoint, x.now.Sub(time.Unix(1000, 0)), item.RequestID, h)
					}
				}
			}
		case Fail:
			x.failed[a.Task] = a.Reason
		}
	}
}

// end completes the first call at an endpoint with results for all its pieces.
func (x *expiryHarness) end(endpoint string) {
	for i, c := range x.calls {
		if c.Endpoint != endpoint {
			continue
		}
		x.calls = append(x.calls[:i:i], x.calls[i+1:]...)
		o := Outcome{Status: Answered}
		for _, item := range c.Items {
			h := fmt.Sprintf("%s/%d-%d-%d", endpoint, c.Call, item.Stage, item.Piece)
			x.expiresAt[h] = x.now.Add(testServices[c.Service].Batching.ResultTTL)
			o.Items = append(o.Items, ItemResult{Handle: h})
		}
		x.handle(x.pool.Done(x.now, c.Call, o))
		return
	}
	x.t.Fatalf("no call at %s", endpoint)
}

func (x *expiryHarness) advance(d time.Duration) {
	for end := x.now.Add(d); x.now.Before(end); {
		x.now = x.now.Add(20 * time.Millisecond)
		x.handle(x.pool.Tick(x.now))
	}
}

// TestExpiredInputsAreNotSent guards against calls whose inputs have expired, after tasks were
// queued behind a call that takes longer than their inputs live. The task that can still be on time
// restarts, the other one fails.
func TestExpiredInputsAreNotSent(t *testing.T) {
	x := newExpiryHarness(t)
	submit := func(softDeadline time.Duration) TaskID {
		v, actions := x.pool.Submit(x.now, Task{RequestID: fmt.Sprint("soft deadline ", softDeadline), Key: "k", Stages: testStages[:2], SoftDeadline: x.now.Add(softDeadline), Deadline: x.now.Add(time.Minute)})
		if !v.Accepted {
			t.Fatalf("the task with a soft deadline in %v is rejected", softDeadline)
		}
		x.handle(actions)
		return v.ID
	}
	submit(time.Minute)
	x.advance(300 * time.Millisecond)
	x.end("tag-0") // the first task now occupies bill-0
	inTime := submit(time.Minute)
	x.advance(300 * time.Millisecond)
	x.end("tag-0")
	tooLate := submit(3 * time.Second)
	x.advance(300 * time.Millisecond)
	x.end("tag-0")
	x.advance(4500 * time.Millisecond)
	x.end("bill-0")
	if reason, ok := x.failed[tooLate]; !ok {
		t.Error("the task that can't be on time has not failed")
	} else if reason != reasonExpiredInputs {
		t.Errorf("the late task failed with %q", reason)
	}
	if reason, ok := x.failed[inTime]; ok {
		t.Errorf("the other task failed: %s", reason)
	}
	restarted := 0
	for _, c := range x.calls {
		if c.Endpoint == "tag-0" {
			restarted += len(c.Items)
		}
	}
	if restarted == 0 {
		t.Error("the other task was not restarted")
	}
}
