package stagepool

import (
	"slices"
	"time"

	"gradetiller.example/internal/core/poison"
)

// TaskID names a task in its pool.
type TaskID uint64

// CallID names a call to an endpoint.
type CallID uint64

// Stage is one stage of a task.
type Stage struct {
	Service string
	// After lists the stages whose results this one needs.
	After []int
	// ResultBytes is the approximate size of one result.
	ResultBytes int64
	// Pieces is the number of pieces; 0 leaves the stage out.
	Pieces int
}

// Task is the stages of one request.
type Task struct {
	RequestID string
	// Content tells tries of the same request, or is zero when it is not known.
	Content poison.ID
	// Key is what the first stages work on.
	Key    string
	Stages []Stage
	// SoftDeadline is when the last result is wanted; a later one has little worth.
	SoftDeadline time.Time
	// Allowance is by how much the task may miss its aim and still be let in.
	Allowance time.Duration
	// Deadline is when results are of no use any more.
	Deadline time.Time
	// Priority is 0 for the most urgent.
	Priority int
	// Domain is where big results are fetched to, or "".
	Domain string
}

// Item is one piece in a call.
type Item struct {
	RequestID string
	Content   poison.ID
	Stage     int
	Piece     int
	Left      time.Duration
	// Key is set for stages that need no results, Inputs for the others.
	Key    string
	Inputs []string
}

// ItemStatus is why an endpoint made no result of an item.
type ItemStatus int

// The reasons.
const (
	// Made means that there is a result.
	Made ItemStatus = iota
	// Late means that the time left was over at the call's turn.
	Late
	// Gone means that an input is gone.
	Gone
	// NoRoom means that the endpoint had no room for the result.
	NoRoom
	// Broken is any other failure.
	Broken
)

// String returns the reason's name.
func (r ItemStatus) String() string {
	return [...]string{"made", "late", "gone", "no_room", "broken"}[r]
}

// ItemResult is what became of one item.
type ItemResult struct {
	Handle string
	Status ItemStatus
}

// CallStatus is how a call ended as a whole.
type CallStatus int

// The endings of a call.
const (
	// Answered calls have a result for each item.
	Answered CallStatus = iota
	// NotRun calls were declined by the endpoint.
	NotRun
	// WrongEndpoint calls met another endpoint at the address.
	WrongEndpoint
	// Lost calls ended without an answer.
	Lost
	// ConnectionBroken calls were at work when their connection broke. Their endpoint may have
	// crashed, by any of their pieces.
	ConnectionBroken
)

// Outcome is the end of a call.
type Outcome struct {
	Status CallStatus
	Items  []ItemResult
}

// Action is something for the shell to do.
type Action interface{ action() }

// StartCall asks the shell to send a call and to answer with Pool.Done.
type StartCall struct {
	Call     CallID
	Service  string
	Endpoint string
	Address  string
	Items    []Item
	// Timeout is when the shell gives the call up as lost.
	Timeout time.Duration
}

// Free asks the shell to give up results at their maker.
type Free struct {
	Endpoint string
	Address  string
	// Domain is the maker's failure domain.
	Domain  string
	Handles []string
}

// Complete tells that all results of a task's last stages are there.
type Complete struct {
	Task    TaskID
	Handles []string
	// Domain is where the largest result lies, Bytes the size of all results
	// there.
	Domain string
	Bytes  int64
}

// Fail tells that a task is given up.
type Fail struct {
	Task   TaskID
	Reason string
	// RetryAfter is when asking anew may help.
	RetryAfter time.Duration
}

func (StartCall) action() {}
func (Free) action()      {}
func (Complete) action()  {}
func (Fail) action()      {}

// Verdict answers a submitted task.
type Verdict struct {
	Accepted bool
	ID       TaskID
	// Finish is the predicted time until the results are there.
	Finish time.Duration
	// RetryAfter is the time after which a refused task may be submitted anew.
	RetryAfter time.Duration
}

// state of a stage of a task.
type stageState int

const (
	blocked stageState = iota
	queued
	running
	finished
)

// result lies at its maker until it is freed.
type result struct {
	maker   *endpoint
	handle  string
	bytes   int64
	begun   time.Time // when its call was sent
	expires time.Time
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
}

type task struct {
	Task
	id     TaskID
	stages []stage
	// acceptedAt is when the task came, and planned how long it should have acceptedAt.
	acceptedAt time.Time
	estimate   time.Duration
	restarts   int
	// consecutiveBreaks counts the calls that broke off with pieces of it, one after the other, and
	// mates bounds the tasks that may share its next call, itself included, or is 0.
	consecutiveBreaks int
	maxTasksPerCall   int
	started           bool // a call was sent for it
	complete          bool
}

// minRemaining is the shortest time that stage i and those after it still take.
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
