package run

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gradetiller.example/config"
	"gradetiller.example/failure"
	"gradetiller.example/internal/core/attempt"
	_ "gradetiller.example/internal/fixedseed"
)

// parseConfig returns a configuration with two pools, three pipelines and the
// given policies.
func parseConfig(t interface{ Fatal(...any) }, policies string) *config.Config {
	text := fmt.Sprintf(`
format: 1
name: test
policies: {%s}
accounts:
  - {name: a, key_sha256: "%064d", concurrency: 1000}
  - {name: b, key_sha256: "%064d", concurrency: 1000}
pools:
  - name: p
    kind: service
    queue: 8
    endpoints:
      - {name: p1, address: "127.0.0.1:1", failure_domain: d1, slots: 2}
      - {name: p2, address: "127.0.0.1:2", failure_domain: d2, slots: 2}
      - {name: p3, address: "127.0.0.1:3", failure_domain: d1, slots: 1}
  - name: g
    kind: engine
    queue: 8
    endpoints:
      - {name: g1, address: "127.0.0.1:4", failure_domain: d1, slots: 2}
      - {name: g2, address: "127.0.0.1:5", failure_domain: d2, slots: 2}
pipelines:
  - name: whole
    deadline: 1s
    stages: [{name: one, pool: p}, {name: two, pool: p, optional: true}, {name: three, pool: g, max_tokens: 4}]
  - name: sell
    deadline: 1s
    stages: [{name: look, pool: p}, {name: sell, pool: p, repeatable: false}]
  - name: single
    deadline: 500ms
    stages: [{name: only, pool: p}]
`, policies, 1, 2)
	cfg, err := config.Parse("test.yaml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

// trace drives an engine and checks its invariants from the emitted actions.
type trace struct {
	t           *rapid.T
	engine      *Engine
	now         time.Time
	plain       bool
	requests    map[ID]Request
	stored      map[ID]bool
	finished    map[ID]*Finish
	abandons    map[ID]int
	notRunOnce  map[ID]bool // finished with an error, and no non-repeatable call may have run
	calls       map[AttemptID]*tracedCall
	open        []AttemptID
	records     []ID
	wantInput   map[ID]string // expected input of the next stage
	repeatCalls int
	firstCalls  int
	seen        map[string]bool
	stopAt      time.Time // when the process ends; zero if it is not stopping
}

type tracedCall struct {
	Call
	notRun bool
}

func (tr *trace) handle(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Call:
			tr.call(a)
		case Record:
			tr.records = append(tr.records, a.Run)
		case Abandon:
			tr.abandons[a.Run]++
			if f := tr.finished[a.Run]; f != nil && f.Err == nil {
				tr.t.Fatalf("run %d was answered and abandoned", a.Run)
			}
		case Finish:
			tr.finish(a)
		}
	}
}

// call checks that a non-repeatable call is sent only after its record is
// stored and every earlier call of its stage is proven not to have run.
func (tr *trace) call(c Call) {
	if tr.finished[c.Run] != nil {
		tr.t.Fatalf("call for run %d after its finish", c.Run)
	}
	if want := tr.wantInput[c.Run]; string(c.Input) != want {
		tr.t.Fatalf("run %d stage %s got input %q, want %q", c.Run, c.Stage, c.Input, want)
	}
	if !c.Repeatable {
		if !tr.stored[c.Run] {
			tr.t.Fatalf("run %d sent stage %s without a stored record", c.Run, c.Stage)
		}
		for _, other := range tr.calls {
			if other.Run == c.Run && other.Stage == c.Stage && !other.notRun {
				tr.t.Fatalf("run %d sent stage %s twice", c.Run, c.Stage)
			}
		}
	}
	key := fmt.Sprint(c.Run, c.Stage)
	if tr.seen[key] {
		tr.repeatCalls++
	} else {
		tr.firstCalls++
	}
	tr.seen[key] = true
	tr.calls[c.Attempt] = &tracedCall{Call: c}
	tr.open = append(tr.open, c.Attempt)
}

func (tr *trace) finish(f Finish) {
	if f.Run == 0 {
		if f.Err == nil || f.Err.Kind().Answer().Ran() != failure.RanNo {
			tr.t.Fatalf("refusal with %v", f.Err)
		}
		return
	}
	if tr.finished[f.Run] != nil {
		tr.t.Fatalf("run %d finished twice", f.Run)
	}
	tr.finished[f.Run] = &f
	tr.notRunOnce[f.Run] = f.Err != nil && !tr.onceMayHaveRun(f.Run)
	if f.Err == nil {
		if string(f.Output) != tr.wantInput[f.Run] {
			tr.t.Fatalf("run %d answered %q, want %q", f.Run, f.Output, tr.wantInput[f.Run])
		}
		return
	}
	if f.Err.Kind().Answer().Ran() != failure.RanNo {
		return
	}
	for _, c := range tr.calls {
		if c.Run == f.Run && !c.notRun {
			tr.t.Fatalf("run %d got %v although stage %s may have run", f.Run, f.Err, c.Stage)
		}
	}
}

func (tr *trace) submit() {
	pipeline := rapid.SampledFrom([]string{"whole", "sell", "single"}).Draw(tr.t, "pipeline")
	req := Request{
		Account: rapid.SampledFrom([]string{"a", "b"}).Draw(tr.t, "account"), Pipeline: pipeline,
		RequestID: fmt.Sprint("r", len(tr.requests)), Repeatable: rapid.Bool().Draw(tr.t, "repeatable"), Input: []byte("in"),
		Timeout: time.Duration(rapid.IntRange(1, 1000).Draw(tr.t, "left")) * time.Millisecond,
	}
	// Runs are numbered in order, so the expected input can be set before the
	// engine emits the first call.
	next := tr.engine.lastRun + 1
	tr.wantInput[next] = "in"
	tr.requests[next] = req
	id, actions := tr.engine.Submit(tr.now, req)
	if id == 0 {
		delete(tr.requests, next)
	}
	conf, _ := tr.engine.Config().Pipeline(pipeline)
	deadline := tr.now.Add(min(req.Timeout, conf.Deadline()))
	if id != 0 && !tr.stopAt.IsZero() && deadline.After(tr.stopAt) {
		tr.t.Fatalf("run %d was admitted although its deadline is %v after the process ends", id, deadline.Sub(tr.stopAt))
	}
	tr.handle(actions)
}

func (tr *trace) end() {
	if len(tr.open) == 0 {
		return
	}
	i := rapid.IntRange(0, len(tr.open)-1).Draw(tr.t, "call")
	c := tr.calls[tr.open[i]]
	tr.open = append(tr.open[:i], tr.open[i+1:]...)
	event := rapid.SampledFrom([]attempt.Event{
		attempt.Complete, attempt.Complete, attempt.Complete, attempt.NotSent, attempt.Rejected, attempt.Fail, attempt.NoResponse,
	}).Draw(tr.t, "event")
	end := CallResult{Event: event, Reason: "drawn"}
	out := fmt.Sprintf("%d/%s/%d", c.Run, c.Stage, c.Attempt)
	if event == attempt.Complete {
		end.Output = []byte(out)
		if !tr.engine.calls[c.Attempt].dropped {
			tr.wantInput[c.Run] = out
		}
	}
	if c.Streams && event == attempt.NoResponse {
		end.Tokens = c.ResumeFrom + rapid.IntRange(0, 1).Draw(tr.t, "tokens")
	}
	c.notRun = event == attempt.NotSent || event == attempt.Rejected
	if tr.engine.calls[c.Attempt].machine.State() == attempt.Answering {
		// A call that has started to answer can't end as "not run".
		c.notRun = false
	}
	tr.handle(tr.engine.CallEnded(tr.now, c.Attempt, end))
}

func (tr *trace) record() {
	if len(tr.records) == 0 {
		return
	}
	id := tr.records[0]
	tr.records = tr.records[1:]
	result := rapid.SampledFrom([]RecordResult{RecordStored, RecordStored, RecordDuplicate, RecordUnavailable}).Draw(tr.t, "record")
	tr.stored[id] = result == RecordStored
	tr.handle(tr.engine.Recorded(tr.now, id, result))
}

func (tr *trace) step() {
	tr.now = tr.now.Add(time.Duration(rapid.IntRange(0, 60).Draw(tr.t, "gap")) * time.Millisecond)
	switch rapid.IntRange(0, 9).Draw(tr.t, "step") {
	case 0, 1, 2:
		tr.submit()
	case 3, 4, 5:
		tr.end()
	case 6, 7:
		tr.record()
	case 8:
		tr.handle(tr.engine.Tick(tr.now))
	case 9:
		tr.otherEvent()
	}
}

func (tr *trace) otherEvent() {
	switch rapid.IntRange(0, 2).Draw(tr.t, "other") {
	case 0:
		if n := len(tr.requests); n > 0 {
			tr.handle(tr.engine.Cancel(tr.now, ID(rapid.IntRange(1, n).Draw(tr.t, "run"))))
		}
	case 1:
		tr.handle(tr.engine.SetDraining("p", "p1", rapid.Bool().Draw(tr.t, "leaving")))
	case 2:
		if len(tr.open) > 0 {
			i := rapid.IntRange(0, len(tr.open)-1).Draw(tr.t, "answering")
			_, actions := tr.engine.FirstToken(tr.now, tr.open[i])
			tr.handle(actions)
		}
	}
}

func (tr *trace) onceMayHaveRun(id ID) bool {
	for _, c := range tr.calls {
		if c.Run == id && !c.Repeatable && !c.notRun {
			return true
		}
	}
	return false
}

// stop announces a stop time and terminates the engine at that time or before.
// From then on no run is in flight and none is admitted.
func (tr *trace) stop() {
	tr.stopAt = tr.now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(tr.t, "stop")) * time.Millisecond)
	tr.engine.StopAt(tr.stopAt)
	for range rapid.IntRange(0, 30).Draw(tr.t, "steps of the stop") {
		tr.step()
	}
	tr.stopAt = tr.now
	tr.handle(tr.engine.Terminate(tr.now))
	if n := tr.engine.InFlight(); n != 0 {
		tr.t.Fatalf("%d runs in flight after Terminate", n)
	}
	tr.submit()
	if n := tr.engine.InFlight(); n != 0 {
		tr.t.Fatal("a request was admitted after Terminate")
	}
}

// runToCompletion advances time until all runs have ended and checks that no queued
// call, outstanding call or record is left.
func (tr *trace) runToCompletion() {
	for len(tr.records) > 0 {
		tr.record()
	}
	for range 1000 {
		if tr.engine.InFlight() == 0 && len(tr.open) == 0 {
			break
		}
		tr.now = tr.now.Add(50 * time.Millisecond)
		tr.handle(tr.engine.Tick(tr.now))
		for len(tr.records) > 0 {
			tr.record()
		}
		tr.end()
	}
	for id := range tr.requests {
		f := tr.finished[id]
		if f == nil {
			tr.t.Fatalf("run %d never finished", id)
		}
		if tr.stored[id] && tr.notRunOnce[id] != (tr.abandons[id] == 1) {
			tr.t.Fatalf("run %d ended with %v but its record was abandoned %d times", id, f.Err, tr.abandons[id])
		}
	}
	for name, p := range tr.engine.pools {
		if p.queue.Len() != 0 {
			tr.t.Fatalf("pool %s still holds %d waiting calls", name, p.queue.Len())
		}
		for i := range p.place.Len() {
			if n := p.place.At(i).Outstanding(); n != 0 {
				tr.t.Fatalf("endpoint %s still has %d calls", p.place.At(i).Spec().Name, n)
			}
		}
	}
	if !tr.plain && float64(tr.repeatCalls) > 0.1*float64(tr.firstCalls)+6 {
		tr.t.Fatalf("%d repeated calls for %d first calls", tr.repeatCalls, tr.firstCalls)
	}
}

// TestInvariants drives the engine with random events and faults and checks the
// invariants from its actions: one Finish for each run, "not run" only if no
// call may have run, at most one send of a non-repeatable call, the right input
// and output for each stage, no run admitted that may be in flight when the
// process ends, and no state left behind.
func TestInvariants(t *testing.T) {
	for _, policies := range []string{"", "retry: plain, admission: none, order: fifo, place: round_robin", "order: least_slack, place: power_of_two"} {
		t.Run(strings.ReplaceAll(policies, " ", ""), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				tr := &trace{
					t: t, engine: New(1), now: time.Unix(1000, 0), plain: strings.Contains(policies, "plain"),
					requests: make(map[ID]Request), stored: make(map[ID]bool),
					finished: make(map[ID]*Finish), abandons: make(map[ID]int), notRunOnce: make(map[ID]bool), calls: make(map[AttemptID]*tracedCall),
					wantInput: make(map[ID]string), seen: make(map[string]bool),
				}
				if err := tr.engine.Configure(tr.now, parseConfig(t, policies), 1); err != nil {
					t.Fatal(err)
				}
				for range rapid.IntRange(1, 150).Draw(t, "steps") {
					tr.step()
				}
				if rapid.Bool().Draw(t, "stops") {
					tr.stop()
				}
				tr.runToCompletion()
			})
		})
	}
}
