package wire

import (
	"time"

	"gradetiller.example/internal/core/catalog"
)

// Stage is one stage of a request's work before it can run.
type Stage struct {
	Service     string
	After       []int
	ResultBytes int64
	Pieces      int
}

// StagesSubmit asks the leader of a stage pool to run a request's stages. ID
// is the sender's; times are milliseconds from sending. Aim is when the answer
// should begin.
type StagesSubmit struct {
	ID           uint64
	Cell         int
	RequestID    string
	Key          string
	Stages       []Stage
	SoftDeadline int64
	Deadline     int64
	Priority     int
	// Model is the service that the request goes to; Prefix is the part of
	// its prompt by which it is placed, Tokens the prompt's length and Parts
	// what it consists of, in order.
	Model  string
	Prefix uint64
	Tokens int
	Parts  []PromptPart
	// ExtraTokens is by how many tokens the prompt is longer than its route's usually
	// are.
	ExtraTokens int
	// Content tells tries of the same request; it is empty from nodes of an earlier
	// version.
	Content []byte
	// Avoid are endpoints of Model that are in backoff towards the sender.
	Avoid []Avoided
}

// Avoided is an endpoint in backoff, for as many milliseconds as are left.
type Avoided struct {
	Endpoint  string
	Remaining int64
}

// PromptPart is a part of a prompt; the last one is the request's own.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// StagesVerdict answers a StagesSubmit at once.
type StagesVerdict struct {
	ID       uint64
	Accepted bool
	// Finish is the predicted time until the results are there, Again the
	// time after which a refused request may come back; milliseconds.
	Finish     int64
	RetryAfter int64
	// Reason is why a request is refused; it is empty where the stages would be late, and
	// from nodes of an earlier version.
	Reason string
}

// StagesDone tells that the results are there, or, with a reason, that the
// leader gave the request up.
type StagesDone struct {
	ID      uint64
	Handles []string
	// Endpoint is where the request should run, or "" when the leader knows
	// none.
	Endpoint string
	// CopyFrom is the address of an endpoint that holds more of the prompt, or
	// "".
	CopyFrom      string
	FailureReason string
	RetryAfter    int64
	// Bounded tells that the leader knows that the endpoint bounds what it takes, and has
	// counted the request. A leader of an earlier version, or one that has just begun, does
	// not know.
	Bounded bool
}

// Placement is how the leader's choice of an endpoint turned out.
type Placement int

// The outcomes of a placement.
const (
	// PlacementUnused says nothing about the endpoint.
	PlacementUnused Placement = iota
	// PlacementServed endpoints began to answer.
	PlacementServed
	// PlacementFailed endpoints failed or declined.
	PlacementFailed
	// PlacementUnreachable endpoints could not be connected to.
	PlacementUnreachable
	// PlacementRejected endpoints asked the request's node for a backoff. Nodes of an earlier
	// version take it for a failure.
	PlacementRejected
)

// StagesRelease tells that the results are not needed any more.
type StagesRelease struct {
	ID        uint64
	Placement Placement
}

// StagesPing asks whether the leader still works on a request. The answer is
// a StagesVerdict, which is not accepted when the leader does not know it.
type StagesPing struct {
	ID uint64
}

// ViewRequest asks a peer for a configuration above a version and a list of
// endpoints above a revision.
type ViewRequest struct {
	ConfigAbove    uint64
	EndpointsAbove uint64
	// AcceptsPacked tells that the configuration may come compressed. Nodes of an
	// earlier version don't.
	AcceptsPacked bool
}

// Worker is an endpoint of the platform's list.
type Worker struct {
	ID       string
	Service  string
	Address  string
	Domain   string
	Slots    int
	Draining bool
	// ModRevision is 0 from nodes of an earlier version.
	ModRevision catalog.Revision
	// ColdRemaining is 0 from nodes of an earlier version too.
	ColdRemaining time.Duration
}

// View answers a ViewRequest. A configuration that is not newer is left out.
type View struct {
	ConfigVersion uint64
	Config        []byte
	// Revision is up to which the receiver then holds all changes of the list
	// of workers; the rest is discovery.Delta.
	Revision uint64
	Full     bool
	Changed  []Worker
	Removed  []string
	Digest   uint64
	// Age is how long ago the sender's list was current, ConfigAge how long ago its
	// configuration was, and ReadersAge and StandInsAge how long ago one of the usual
	// readers, and of those that stand in first, had both from the store itself, in
	// milliseconds. Nodes of an earlier version tell the first only; the others are 0
	// then.
	Age           int64
	ConfigAge     int64
	PrimariesAge  int64
	CandidatesAge int64
	// Packed tells that Config is compressed.
	Packed bool
	// Evacuated lists the failure domains to which nothing further is to be sent, as of
	// EvacuatedRevision, which is 0 when the sender does not know or is of an earlier
	// version.
	Evacuated         []string
	EvacuatedRevision uint64
}

func (StagesSubmit) kind() kind  { return kindStagesSubmit }
func (StagesVerdict) kind() kind { return kindStagesVerdict }
func (StagesDone) kind() kind    { return kindStagesDone }
func (StagesRelease) kind() kind { return kindStagesRelease }
func (StagesPing) kind() kind    { return kindStagesPing }
func (ViewRequest) kind() kind   { return kindViewRequest }
func (View) kind() kind          { return kindView }
