package run

import (
	"time"

	"gradetiller.example/failure"
)

// ID names a run on this node.
type ID uint64

// AttemptID names one stage call on this node.
type AttemptID uint64

// Action is something for the shell to do.
type Action interface{ action() }

// Call asks the shell to send a stage call.
type Call struct {
	Attempt   AttemptID
	Run       ID
	RequestID string
	Pipeline  string
	Stage     string
	Endpoint  string
	Address   string
	Streams   bool
	// LastStage is true for the pipeline's last stage, whose tokens go to the
	// caller as they come.
	LastStage  bool
	Version    string
	MaxTokens  int
	Repeatable bool
	// Priority is 0 (most slack) to MaxPriority (least).
	Priority int
	Deadline time.Time
	// IdleTimeout bounds the gap between two tokens; 0 means no bound.
	IdleTimeout time.Duration
	// ResumeFrom is the number of tokens that the run has already; the
	// endpoint goes on behind them.
	ResumeFrom int
	Input      []byte
}

// MaxPriority is the priority of a call without slack.
const MaxPriority = 9

// CancelCall asks the shell to give a call up and to cancel it at the
// endpoint.
type CancelCall struct{ Attempt AttemptID }

// Record asks the shell to store the started record of a run that may run at
// most once, and to answer with Engine.Recorded.
type Record struct {
	Run       ID
	Account   string
	RequestID string
	Deadline  time.Time
}

// Abandon asks the shell to mark a started record as not run, so that the
// caller can ask again with the same request id.
type Abandon struct {
	Run       ID
	Account   string
	RequestID string
}

// Finish ends a run. Err is nil for a whole answer.
type Finish struct {
	Run     ID
	Output  []byte
	Err     *failure.Error
	Summary Summary
}

// CallCost tells the cost of one ended call, also of calls whose result was
// dropped.
type CallCost struct {
	Pipeline string
	Stage    string
	Arm      string
	Account  string
	Cost     float64
	Took     time.Duration
}

// Decision is one decision that changed something, for logs and explain.
type Decision struct {
	Name      DecisionName
	RequestID string
	Run       ID
	Stage     string
	Endpoint  string
	Policy    string
	Reason    string
}

// DecisionName is the closed list of decisions.
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

// Summary tells how a run went.
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

// StageSummary tells how one stage of a run went.
type StageSummary struct {
	Name     string
	Endpoint string
	Took     time.Duration
	Calls    int
	Skipped  bool
}
