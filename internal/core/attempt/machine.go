package attempt

import "fmt"

// State is the state of one stage call.
type State int

// The states. Done, NotRun, Failed and Unknown are final.
const (
	Prepared State = iota
	Sent
	Answering
	Done
	NotRun
	Failed
	Unknown
	numStates
)

// String returns the state's name.
func (s State) String() string {
	return [...]string{"prepared", "sent", "answering", "done", "not_run", "failed", "unknown"}[s]
}

// Final reports whether nothing more is expected of the call.
func (s State) Final() bool { return s >= Done }

// MayHaveRun reports whether the call may have run, which rules out calling
// the whole request "not run".
func (s State) MayHaveRun() bool { return s != Prepared && s != NotRun }

// Event is what the shell saw of a call.
type Event int

// The events of a call.
const (
	// Send is given before the first byte may leave the node.
	Send Event = iota
	// FirstByte is the start of the answer's body.
	FirstByte
	// Complete is the whole answer.
	Complete
	// NotSent tells that no byte left the node.
	NotSent
	// Rejected is the endpoint's explicit answer that it did not run.
	Rejected
	// Fail is the endpoint's explicit answer that the call ran and failed.
	Fail
	// NoResponse tells that the connection or the time ran out without an answer.
	NoResponse
	numEvents
)

const invalid = State(-1)

// transitions is the whole table; rows are states, columns are events.
var transitions = [numStates][numEvents]State{
	//           Send     FirstByte  Complete RefuseUnsent RefuseByEndpoint Fail  Lose
	Prepared:  {Sent, invalid, invalid, NotRun, invalid, invalid, NotRun},
	Sent:      {invalid, Answering, Done, NotRun, NotRun, Failed, Unknown},
	Answering: {invalid, Answering, Done, invalid, invalid, Failed, Unknown},
	Done:      {invalid, invalid, invalid, invalid, invalid, invalid, invalid},
	NotRun:    {invalid, invalid, invalid, invalid, invalid, invalid, invalid},
	Failed:    {invalid, invalid, invalid, invalid, invalid, invalid, invalid},
	Unknown:   {invalid, invalid, invalid, invalid, invalid, invalid, invalid},
}

// Machine is the state machine of one call; the zero value is Prepared.
type Machine struct {
	state State
}

// State returns the present state.
func (m *Machine) State() State { return m.state }

// Apply moves the machine. An event that the state does not allow changes
// nothing and returns an error; a late answer of a final call is one.
func (m *Machine) Apply(e Event) error {
	next := transitions[m.state][e]
	if next == invalid {
		return fmt.Errorf("attempt in state %s does not take event %d", m.state, e)
	}
	m.state = next
	return nil
}
