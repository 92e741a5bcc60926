package stagepool

import (
	"slices"
	"time"

	"gradetiller.example/internal/core/poison"
)

// TaskID identifies a task within its pool.
type TaskID uint64

// CallID identifies a call to an endpoint.
type CallID uint64

// Stage is one stage of a task.
type Stage struct {
	Service string
	// After lists the stages whose results are inputs of this one, by their numbers, which are indexes of Task.Stages.
	After []int
	// ResultBytes is the approximate size of one result.
	ResultBytes int64
	// Pieces is the number of pieces; a stage with 0 pieces is skipped.
	Pieces int
}

// Task describes the stages of one request.
type Task struct {
	RequestID string
	// Content identifies retries of the same request; zero if unknown.
	Content poison.ID
	// Key is the input of stages that depend on no other stage.
	Key    string
	Stages []Stage
	// SoftDeadline is when the last result is wanted; a later result has little value.
	SoftDeadline time.Time
	// LaterDeadline takes the place of SoftDeadline if the task would be rejected otherwise; zero if nothing does.
	LaterDeadline time.Time
	// Allowance is by how much the predicted finish may exceed SoftDeadline for the task still to
	// be admitted.
	Allowance time.Duration
	// Deadline is the time after which results have no value.
	Deadline time.Time
	// Priority is 0 for the most urgent tasks.
	Priority int
	// Domain is the failure domain that fetches large results, or "".
	Domain string
	// Domains reports whether the stages may run in a failure domain; nil means everywhere.
	Domains func(domain string) bool
	// Route is the route of the request and Account its client account; both are empty for requests
	// from nodes of an earlier version. RoutePriority is the priority of the route.
	Route         string
	Account       string
	RoutePriority int
	// Tokens is the length of the prompt plus the output, in tokens.
	Tokens int
	// FirstEvent is the predicted time from the results to the first event of the response, which
	// SoftDeadline leaves for it.
	FirstEvent time.Duration
	// favored is the service that gets most of the task's slack, or "".
	favored string
	// Patience is how long the client waits before it returns after a rejection, at most; 0 if
	// unknown.
	Patience time.Duration
	// Remade has a bit for each stage whose pieces another leader may have requested before it was
	// lost. They count as retries.
	Remade uint64
	// numbers holds the caller's number of each stage, or is nil if these are the indexes.
	numbers []int
}

// remakes reports whether the pieces of a stage count as retries.
func (t *Task) remakes(stage int) bool { return t.Remade&stageBit(t.number(stage)) != 0 }

// stageBit returns the bit of a stage; stages beyond the 63rd share one.
func stageBit(stage int) uint64 { return 1 << min(stage, 63) }

// allows reports whether the task may use a failure domain.
func (t *Task) allows(domain string) bool { return t.Domains == nil || t.Domains(domain) }

// Item is one piece in a call.
type Item struct {
	RequestID string
	Content   poison.ID
	Stage     int
	Piece     int
	Left      time.Duration
	// Key is set for stages without inputs, Inputs for all others.
	Key    string
	Inputs []string
}

// ItemStatus states whether an endpoint produced the result of an item, and if not, why.
type ItemStatus int

// Item statuses.
const (
	// Made means that there is a result.
	Made ItemStatus = iota
	// Late means that the item's time was up when the call was processed.
	Late
	// Gone means that an input no longer exists.
	Gone
	// NoRoom means that the endpoint had no room for the result.
	NoRoom
	// Broken is any other failure.
	Broken
)

// String returns the name of the status.
func (r ItemStatus) String() string {
	return [...]string{"made", "late", "gone", "no_room", "broken"}[r]
}

// ItemResult is the outcome of one item.
type ItemResult struct {
	Handle string
	Status ItemStatus
}

// CallStatus is the outcome of a call as a whole.
type CallStatus int

// Call statuses.
const (
	// Answered means that the call has a result for each item.
	Answered CallStatus = iota
	// NotRun means that the endpoint declined the call.
	NotRun
	// WrongEndpoint means that another endpoint was found at the address.
	WrongEndpoint
	// Lost means that the call ended without an answer.
	Lost
	// ConnectionBroken means that the connection broke while the call was running. The endpoint may
	// have crashed because of any of the call's pieces.
	ConnectionBroken
	// PathLost means that the call was given up because its path to the endpoint was lost, while the
	// endpoint can be reached in another way.
	PathLost
)

// Outcome is the result of a call.
type Outcome struct {
	Status CallStatus
	Items  []ItemResult
	// Pause is how long an endpoint that declined the call must get no other one, or 0.
	Pause time.Duration
}

// Action is an instruction for the caller of the pool.
type Action interface{ action() }

// StartCall requests that a call be sent and its outcome be passed to Pool.Done.
type StartCall struct {
	Call     CallID
	Service  string
	Endpoint string
	Address  string
	Items    []Item
	// Timeout is the time after which the call is reported as lost, and Overdue the time after which
	// the path to the endpoint is in doubt.
	Timeout, Overdue time.Duration
}

// Free requests that results be freed at the endpoint that holds them.
type Free struct {
	Endpoint string
	Address  string
	// Domain is the failure domain of the endpoint.
	Domain  string
	Handles []string
}

// Complete reports that all results of a task's final stages are available.
type Complete struct {
	Task    TaskID
	Handles []string
	// Domain is the failure domain that holds the most bytes of results, and Bytes is their size
	// there.
	Domain string
	Bytes  int64
}

// Fail reports that a task has failed.
type Fail struct {
	Task   TaskID
	Reason string
	// RetryAfter is the delay after which a retry may succeed.
	RetryAfter time.Duration
}

func (StartCall) action() {}
func (Free) action()      {}
func (Complete) action()  {}
func (Fail) action()      {}

// Admission is the admission decision on a submitted task.
type Admission struct {
	Accepted bool
	ID       TaskID
	// Finish is the predicted time until the results are available.
	Finish time.Duration
	// RetryAfter is the delay after which a rejected task may be submitted again.
	RetryAfter time.Duration
	// Reserved is true if capacity is kept for the rejected task at the end of RetryAfter.
	Reserved bool
	// Misfit is why the schedule rejected the task. It is empty while the schedule is not active.
	Misfit Misfit
}

// stageState is the state of a stage of a task.
type stageState int

const (
	blocked stageState = iota
	queued
	running
	finished
)

// result is a result that its endpoint holds until it is freed.
type result struct {
	endpoint   *endpoint
	handle     string
	bytes      int64
	callSentAt time.Time // when its call was sent
	expires    time.Time
}

type stage struct {
	Stage
	state   stageState
	results []*result
	// unassigned lists the pieces that are in no call.
	unassigned []int
	// completed counts the pieces that have a result.
	completed int
	retries   int
	freed     bool
	// counted is true while the unassigned pieces are in the service's profile, and awaited while they
	// also count there as waiting for inputs. plan states when the stage is expected to be ready and
	// has to start, and slot and readySlot are the same as slots of the profile.
	plan      stagePlan
	slot      int64
	readySlot int64
	counted   bool
	awaited   bool
	begun     bool // a call was sent for it
}

type task struct {
	Task
	id     TaskID
	stages []stage
	// acceptedAt is when the task was admitted, and estimate the time that it was estimated to
	// take.
	acceptedAt time.Time
	estimate   time.Duration
	// scheduledFor is when the schedule has the task done.
	scheduledFor time.Time
	restarts     int
	// consecutiveBreaks counts the task's successive calls whose connection broke. maxTasksPerCall
	// limits the tasks in its next call, itself included; 0 means no limit.
	consecutiveBreaks int
	maxTasksPerCall   int
	started           bool // a call was sent for it
	complete          bool
}

// minRemaining returns the shortest time that stage i and its dependents still take.
func (p *Pool) minRemaining(t *task, i int) time.Duration {
	longest := time.Duration(0)
	for j := i + 1; j < len(t.stages); j++ {
		if t.stages[j].Pieces == 0 || !slices.Contains(t.stages[j].After, i) {
			continue
		}
		longest = max(longest, p.minRemaining(t, j))
	}
	return longest + p.fastestCallTime(t.stages[i].Service, t.stages[i].Pieces)
}
