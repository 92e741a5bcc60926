package wire

import (
	"time"

	"gradetiller.example/internal/core/catalog"
)

// Stage is one of the stages that must complete before a request can run.
type Stage struct {
	Service     string
	After       []int
	ResultBytes int64
	Pieces      int
}

// StagesSubmit asks the leader of a stage pool to run the stages of a request. ID is chosen
// by the sender. Times are in milliseconds from the time of sending. SoftDeadline is when the
// response should begin.
type StagesSubmit struct {
	ID           uint64
	Cell         int
	RequestID    string
	Key          string
	Stages       []Stage
	SoftDeadline int64
	Deadline     int64
	Priority     int
	// Model is the service that the request is for. Prefix identifies the part of the prompt by
	// which the request is placed, Tokens is the length of the prompt, and Parts lists its parts
	// in order.
	Model  string
	Prefix uint64
	Tokens int
	Parts  []PromptPart
	// ExtraTokens is the number of tokens by which the prompt exceeds the average of its route.
	ExtraTokens int
	// Content identifies retries of the same request. It is empty from nodes of an earlier
	// version.
	Content []byte
	// Avoid lists the endpoints of Model that are in backoff towards the sender.
	Avoid []Avoided
	// NodePlaced is the number of requests for Model that the sender placed itself since its last
	// submission. Nodes of an earlier version leave it out.
	NodePlaced int
	// Arm is the arm of Model's rollout that the request belongs to, or "".
	Arm string
	// Regions are the regions that the request is restricted to; none means no restriction.
	Regions []string
	// Route is the name of the request's route and Account its client account. RoutePriority is
	// the priority of the route, which Priority may override. Nodes of an earlier version leave
	// them out, and the fields below.
	Route         string
	Account       string
	RoutePriority int
	// Patience is how long the client waits before it returns after a rejection, at most, in
	// milliseconds; 0 if unknown.
	Patience int64
	// OutputTokens is the largest number of tokens that the request generates, or 0 if unknown.
	OutputTokens int
	// Replaces is the ID of the sender's earlier submission of the same work that a leader accepted
	// before it was lost, or 0. Nodes of an earlier version leave it out.
	Replaces uint64
	// Versions are the software versions of Model's endpoints at which the request may run; none means
	// any. Leaders of an earlier version don't know it and may choose an endpoint of another version.
	Versions []string
	// LaterDeadline is the SoftDeadline of a request that would be rejected otherwise, or 0. Nodes of an earlier version leave it
	// out.
	LaterDeadline int64
}

// Avoided is an endpoint in backoff. Remaining is the rest of the backoff in milliseconds.
type Avoided struct {
	Endpoint  string
	Remaining int64
}

// PromptPart is a part of a prompt. The last part is specific to the request; the others may be
// shared with other prompts.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// StagesAdmission is the admission decision on a StagesSubmit, which the leader sends at once.
type StagesAdmission struct {
	ID       uint64
	Accepted bool
	// Finish is the predicted time until the results are available, and RetryAfter the delay
	// after which a rejected request may be submitted again, both in milliseconds.
	Finish     int64
	RetryAfter int64
	// Reason is why the request is rejected. It is empty if the stages would be late, and from
	// nodes of an earlier version.
	Reason string
	// Reserved is true if the leader keeps capacity for the request at the end of RetryAfter.
	Reserved bool
}

// StagesDone reports that the results are available or, if FailureReason is set, that the leader
// gave up on the request.
type StagesDone struct {
	ID      uint64
	Handles []string
	// Endpoint is the endpoint that the request should run on, or "" if the leader knows none.
	Endpoint string
	// CopyFrom is the address of an endpoint whose cache holds a longer prefix of the prompt, or
	// "".
	CopyFrom      string
	FailureReason string
	RetryAfter    int64
	// Bounded is true if the leader knows that the endpoint limits the work it accepts, and has
	// counted the request against that limit. A leader of an earlier version, or one that has
	// just taken over, does not know.
	Bounded bool
}

// Placement is the outcome of the leader's choice of an endpoint.
type Placement int

// The outcomes of a placement.
const (
	// PlacementUnused allows no conclusion about the endpoint.
	PlacementUnused Placement = iota
	// PlacementServed means that the endpoint began to respond.
	PlacementServed
	// PlacementFailed means that the endpoint failed or declined the request.
	PlacementFailed
	// PlacementUnreachable means that nothing answered an attempt to connect to the endpoint. From
	// nodes of an earlier version, it may also have refused.
	PlacementUnreachable
	// PlacementRejected means that the endpoint requested a backoff from the request's node.
	// Nodes of an earlier version treat it as a failure.
	PlacementRejected
	// PlacementRefused means that the endpoint refused the connection. Nodes of an earlier version
	// treat it as a failure.
	PlacementRefused
)

// StagesRelease reports that the results are no longer needed.
type StagesRelease struct {
	ID        uint64
	Placement Placement
	// SlowdownPercent is how long work takes at the endpoint compared with usual, in percent, as
	// stated by its response; 0 if it stated none.
	SlowdownPercent int
}

// StagesPing asks whether the leader is still working on a request. The answer is a
// StagesAdmission whose Accepted is false if the leader does not know the request.
type StagesPing struct {
	ID uint64
}

// ViewRequest requests a configuration newer than a version, and the changes of the endpoint list
// since a revision, from a peer.
type ViewRequest struct {
	ConfigAbove    uint64
	EndpointsAbove uint64
	// AcceptsPacked is true if the sender accepts a compressed configuration. Nodes of an earlier
	// version do not.
	AcceptsPacked bool
	// AcceptsPackedWorkers is the same for a compressed list of endpoints.
	AcceptsPackedWorkers bool
}

// Worker is an endpoint of the platform's list, with the fields of catalog.Endpoint.
type Worker struct {
	ID       string
	Service  string
	Address  string
	Domain   string
	Slots    int
	Draining bool
	// ModRevision is 0 from nodes of an earlier version.
	ModRevision catalog.Revision
	// ColdRemaining is 0 from nodes of an earlier version.
	ColdRemaining time.Duration
	// Version is "" from nodes of an earlier version.
	Version string
}

// View answers a ViewRequest. A configuration that is not newer is omitted.
type View struct {
	ConfigVersion uint64
	Config        []byte
	// Revision is the revision of the receiver's list after the changes are applied. It, Full,
	// Changed, Removed and Digest are the fields of a discovery.Delta.
	Revision uint64
	Full     bool
	Changed  []Worker
	Removed  []string
	Digest   uint64
	// Age, ConfigAge, PrimariesAge and CandidatesAge are the ages of the times of a
	// discovery.Freshness, in milliseconds: the time since the sender's list and its configuration
	// were current, and since a primary reader, and a primary or backup reader, had both from the
	// store itself. Nodes of an earlier version only send Age; the others are 0 then.
	Age           int64
	ConfigAge     int64
	PrimariesAge  int64
	CandidatesAge int64
	// Packed is true if Config is compressed.
	Packed bool
	// Evacuated lists the failure domains that must receive no new requests, as of
	// EvacuatedRevision. EvacuatedRevision is 0 if the sender does not know them or is of an
	// earlier version.
	Evacuated         []string
	EvacuatedRevision uint64
	// Rollouts lists the ordered rollouts as of RolloutsRevision, which is 0 if the sender does not
	// know them or is of an earlier version.
	Rollouts         []Rollout
	RolloutsRevision uint64
	// PackedWorkers replaces Changed if Full is true and the receiver accepts it (PackWorkers).
	PackedWorkers []byte
}

func (StagesSubmit) kind() kind    { return kindStagesSubmit }
func (StagesAdmission) kind() kind { return kindStagesAdmission }
func (StagesDone) kind() kind      { return kindStagesDone }
func (StagesRelease) kind() kind   { return kindStagesRelease }
func (StagesPing) kind() kind      { return kindStagesPing }
func (ViewRequest) kind() kind     { return kindViewRequest }
func (View) kind() kind            { return kindView }
