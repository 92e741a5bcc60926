package run

import (
	"fmt"
	"testing"
	"time"

	"gradetiller.example/failure"
)

// TestTerminateReportsWhetherCallsRan terminates an engine with runs whose call was sent, one
// that is queued and one whose started record is being stored: only the first
// may have run. The record is abandoned once it is stored.
func TestTerminateReportsWhetherCallsRan(t *testing.T) {
	now := time.Unix(1000, 0)
	e := New(1)
	if err := e.Configure(now, parseConfig(t, ""), 1); err != nil {
		t.Fatal(err)
	}
	submit := func(id string, repeatable bool) ID {
		run, _ := e.Submit(now, Request{Account: "a", Pipeline: "single", RequestID: id, Repeatable: repeatable})
		if run == 0 {
			t.Fatalf("%s was refused", id)
		}
		return run
	}
	want := make(map[ID]failure.Kind)
	// Pool p has five slots.
	for i := range 5 {
		want[submit(fmt.Sprint("sent", i), true)] = failure.StageUnknown
	}
	want[submit("waiting", true)] = failure.Draining
	recording := submit("recording", false)
	want[recording] = failure.Draining
	for _, a := range e.Terminate(now) {
		f, ok := a.(Finish)
		if !ok {
			continue
		}
		if f.Err.Kind() != want[f.Run] || f.Err.RetryAfter() <= 0 {
			t.Errorf("%s: answer %v, want %v with a Retry-After", f.Summary.RequestID, f.Err, want[f.Run])
		}
		delete(want, f.Run)
	}
	if len(want) != 0 || e.InFlight() != 0 {
		t.Fatalf("runs not ended: %v, in flight %d", want, e.InFlight())
	}
	actions := e.Recorded(now, recording, RecordStored)
	if len(actions) != 1 || actions[0] != (Abandon{Run: recording, Account: "a", RequestID: "recording"}) {
		t.Fatalf("actions for a record stored after Terminate: %v", actions)
	}
}
