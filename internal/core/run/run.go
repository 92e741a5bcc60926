package run

import (
	"time"

	"gradetiller.example/config"
	"gradetiller.example/internal/core/attempt"
	"gradetiller.example/internal/core/hash"
	"gradetiller.example/internal/core/limit"
	"gradetiller.example/internal/core/place"
	"gradetiller.example/internal/core/workqueue"
)

// activeRun is a request in flight.
type activeRun struct {
	id       ID
	req      Request
	pipeline *config.Pipeline
	account  *limit.Account
	// accountIndex is the account's index in the configuration at the start; it
	// only serves as a key for fair shares.
	accountIndex int
	weight       int
	arm          string
	policy       place.Policy
	hash         uint64
	started      time.Time
	deadline     time.Time

	stage      int
	stageStart time.Time
	stageDue   time.Time
	input      []byte
	tokens     int
	calls      []*call
	// writers are the software versions that may write the rest of a stage's output, or nil if any may.
	writers  []string
	attempts int
	exclude  int
	queued   *workqueue.Handle[*activeRun]
	queuedIn *pool
	item     workqueue.Item

	recorded   bool
	mayHaveRun bool
	// atMostOnceMayHaveRun covers only calls that are not repeatable; the
	// started record is kept if and only if it is true.
	atMostOnceMayHaveRun bool
	stages               []StageSummary
}

func (r *activeRun) current() *config.Stage { return &r.pipeline.Stages()[r.stage] }

// repeatable reports whether a call of the current stage may be resent after
// it may have run.
func (r *activeRun) repeatable() bool { return r.req.Repeatable && r.current().Repeatable() }

// recordKey identifies a started record that is being stored.
type recordKey struct{ account, requestID string }

// markMayHaveRun records that the call may have run.
func (c *call) markMayHaveRun() {
	c.run.mayHaveRun = true
	if c.atMostOnce {
		c.run.atMostOnceMayHaveRun = true
	}
}

// call is one stage call in flight.
type call struct {
	id         AttemptID
	run        *activeRun
	pool       *pool
	endpoint   int
	stage      int
	started    time.Time
	machine    attempt.Machine
	atMostOnce bool
	// dropped is true if the stage or run continued without this call.
	dropped bool
}

// assignArm assigns the run to an arm of the pipeline's experiment.
func (r *activeRun) assignArm(accountName string) {
	exp := r.pipeline.Experiment()
	if exp == nil {
		return
	}
	key := exp.Name() + "/" + r.req.RequestID
	if exp.ByAccount() {
		key = exp.Name() + "/" + accountName
	}
	arm := exp.Arm(hash.Of(key))
	r.arm = exp.Name() + "/" + arm.Name()
	if p, ok := place.Lookup(arm.Place()); ok {
		r.policy = p
	}
}
