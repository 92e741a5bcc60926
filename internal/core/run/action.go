package run

import (
	"time"

	"gradetiller.example/failure"
)

// ID identifies a run on this node.
type ID uint64

// AttemptID identifies one stage call on this node.
type AttemptID uint64

// Action is a side effect that the caller of the engine carries out.
type Action interface{ action() }

// Call requests that a stage call be sent.
type Call struct {
	Attempt   AttemptID
	Run       ID
	RequestID string
	Pipeline  string
	Stage     string
	Endpoint  string
	Address   string
	Streams   bool
	// LastStage is true for the pipeline's last stage, whose tokens are
	// streamed to the client.
	LastStage  bool
	Version    string
	MaxTokens  int
	Repeatable bool
	// Priority ranges from 0 (most slack) to MaxPriority (least slack).
	Priority int
	Deadline time.Time
	// IdleTimeout bounds the gap between two tokens; 0 means no bound.
	IdleTimeout time.Duration
	// ResumeFrom is the number of tokens that the run already has; the
	// endpoint continues after them.
	ResumeFrom int
	Input      []byte
}

// MaxPriority is the priority of a call with no slack.
const MaxPriority = 9

// CancelCall requests that a call be abandoned and canceled at the endpoint.
type CancelCall struct{ Attempt AttemptID }

// Record requests that the started record of an at-most-once run be stored.
// The result is passed to Engine.Recorded.
type Record struct {
	Run       ID
	Account   string
	RequestID string
	Deadline  time.Time
}

// Abandon requests that a started record be marked as not run, so that the
// client can retry with the same request id.
type Abandon struct {
	Run       ID
	Account   string
	RequestID string
}

// Finish ends a run. Err is nil for a complete answer.
type Finish struct {
	Run     ID
	Output  []byte
	Err     *failure.Error
	Summary Summary
}

// CallCost reports the cost of one ended call, including calls whose result was
// dropped.
type CallCost struct {
	Pipeline string
	Stage    string
	Arm      string
	Account  string
	Cost     float64
	Took     time.Duration
}

// Decision is a decision that affected a run or an endpoint, for logs and
// the explain command.
type Decision struct {
	Name      DecisionName
	RequestID string
	Run       ID
	Stage     string
	Endpoint  string
	Policy    string
	Reason    string
}

// DecisionName identifies a kind of decision.
type DecisionName string

// The decisions.
const (
	DecideRefuse   DecisionName = "refuse"
	DecidePlace    DecisionName = "place"
	DecideHedge    DecisionName = "hedge"
	DecideRetry    DecisionName = "retry"
	DecideResume   DecisionName = "resume"
	DecideSkip     DecisionName = "skip_stage"
	DecideEject    DecisionName = "set_aside"
	DecideDrain    DecisionName = "endpoint_leaving"
	DecideDropLate DecisionName = "drop_late_answer"
	DecideFinish   DecisionName = "finish"
)

func (Call) action()       {}
func (CancelCall) action() {}
func (Record) action()     {}
func (Abandon) action()    {}
func (Finish) action()     {}
func (CallCost) action()   {}
func (Decision) action()   {}

// Summary describes a finished run.
type Summary struct {
	RequestID string
	Account   string
	Pipeline  string
	Class     string
	Arm       string
	Took      time.Duration
	OnTime    bool
	Stages    []StageSummary
}

// StageSummary describes one stage of a finished run.
type StageSummary struct {
	Name     string
	Endpoint string
	Took     time.Duration
	Calls    int
	Skipped  bool
}
