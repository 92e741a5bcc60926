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

// Final reports whether no further event is expected for the call.
func (s State) Final() bool { return s >= Done }

// MayHaveRun reports whether the call may have run, in which case the request
// can't be reported as "not run".
func (s State) MayHaveRun() bool { return s != Prepared && s != NotRun }

// Event is an observation about a call.
type Event int

// The events of a call.
const (
	// Send is applied before the first byte may leave the node.
	Send Event = iota
	// FirstByte is the start of the answer's body.
	FirstByte
	// Complete is the end of a complete answer.
	Complete
	// NotSent means that no byte left the node.
	NotSent
	// Rejected is the endpoint's explicit answer that the call did not run.
	Rejected
	// Fail is the endpoint's explicit answer that the call ran and failed.
	Fail
	// NoResponse means that the connection broke or timed out without an answer.
	NoResponse
	numEvents
)

const invalid = State(-1)

// transitions is indexed by state and event.
var transitions = [numStates][numEvents]State{
	// Columns: Send, FirstByte, Complete, NotSent, Rejected, Fail, NoResponse.
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

// State returns the current state.
func (m *Machine) State() State { return m.state }

// Apply moves the machine to its next state. An event that the state does not allow,
// such as a late answer to a call in a final state, changes nothing and returns
// an error.
func (m *Machine) Apply(e Event) error {
	next := transitions[m.state][e]
	if next == invalid {
		return fmt.Errorf("attempt in state %s does not allow event %d", m.state, e)
	}
	m.state = next
	return nil
}
