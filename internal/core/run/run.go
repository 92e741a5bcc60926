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

// activeRun is one request under way.
type activeRun struct {
	id       ID
	req      Request
	pipeline *config.Pipeline
	account  *limit.Account
	// index is the account's place in the configuration at the start; it is
	// only a key for fair shares.
	index    int
	weight   int
	arm      string
	policy   place.Policy
	hash     uint64
	started  time.Time
	deadline time.Time

	stage      int
	stageStart time.Time
	stageDue   time.Time
	input      []byte
	tokens     int
	calls      []*call
	tries      int
	exclude    int
	waiting    *workqueue.Handle[*activeRun]
	waitPool   *pool
	item       workqueue.Item

	recorded   bool
	mayHaveRun bool
	// onceMayHaveRun is about calls that may not be repeated only; the started
	// record stays in force exactly if it is true.
	onceMayHaveRun bool
	stages         []StageSummary
}

func (r *activeRun) current() *config.Stage { return &r.pipeline.Stages()[r.stage] }

// repeatable reports whether a call of the present stage may be sent again
// after it may have run.
func (r *activeRun) repeatable() bool { return r.req.Repeatable && r.current().Repeatable() }

// recordKey names a started record that is being stored.
type recordKey struct{ account, requestID string }

// sentBytes notes that a call may have run.
func (c *call) sentBytes() {
	c.run.mayHaveRun = true
	if c.once {
		c.run.onceMayHaveRun = true
	}
}

// call is one stage call in flight.
type call struct {
	id       AttemptID
	run      *activeRun
	pool     *pool
	endpoint int
	stage    int
	started  time.Time
	machine  attempt.Machine
	once     bool // may not be repeated
	// dropped calls belong to a stage or run that went on without them.
	dropped bool
}

// assignArm gives the run its arm of the pipeline's experiment.
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
