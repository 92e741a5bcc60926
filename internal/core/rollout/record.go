package rollout

import (
	"time"

	"gradetiller.example/internal/core/catalog"
	"gradetiller.example/internal/core/hash"
)

// Status is what the store records of a rollout.
type Status struct {
	Version string
	// Phase is Canary for a rollout that has not ended.
	Phase Phase
	// Revision is the store revision of the row, or 0 if there is none.
	Revision catalog.Revision
}

// DecidingNode returns which of some nodes decides about the rollout of a service, or false if there
// are none. Nodes that know the same list agree on it.
func DecidingNode(service string, nodes []string) (string, bool) {
	first, highest := "", uint64(0)
	for i, name := range nodes {
		weight := hash.Pair(hash.Of(service), hash.Of(name))
		if i == 0 || weight > highest || weight == highest && name < first {
			first, highest = name, weight
		}
	}
	return first, len(nodes) > 0
}

// Decision is the state of the deciding node: its Decider, and what it knows of the recorded status.
// It states no stage before it has read the status, since the rollout may have ended. It is not safe
// for concurrent use.
type Decision struct {
	decider *Decider
	// status is the recorded status as last read; it is valid if statusRead is true.
	status     Status
	statusRead bool
	// recording is true while the status is being read or written.
	recording bool
}

// NewDecision returns the decision about an order that was given at started, by a node that knows of
// a phase.
func NewDecision(order Order, limits Limits, started time.Time, known Phase) *Decision {
	d := &Decision{decider: NewDecider(order, limits, started)}
	d.decider.Advance(known)
	return d
}

// StartedBy is Decider.StartedBy.
func (d *Decision) StartedBy(at time.Time) { d.decider.StartedBy(at) }

// Merge is Decider.Merge.
func (d *Decision) Merge(now time.Time, node string, incarnation uint64, counts Report, unfinished int, known Phase) {
	d.decider.Merge(now, node, incarnation, counts, unfinished, known)
}

// Decide returns the stage, or false before the recorded status is known. It also reports whether the
// recorded status should be brought up to date (BeginRecording).
func (d *Decision) Decide(now time.Time) (stage Stage, known, record bool) {
	if !d.statusRead {
		return Stage{}, false, true
	}
	stage = d.decider.Decide(now)
	record = d.decider.MayComplete(now) || stage.Phase.Final() || d.status.Revision < d.decider.Order().Revision
	stage.Phase = d.decider.Phase()
	return stage, true, record
}

// Unrecorded reports whether the rollout has ended and its end is not recorded yet.
func (d *Decision) Unrecorded() bool {
	return d.decider.Phase().Final() && !d.recorded().Final()
}

// recorded returns the phase that the status records for the order.
func (d *Decision) recorded() Phase {
	o := d.decider.Order()
	if d.status.Revision <= o.Revision || d.status.Version != o.Version {
		return Canary
	}
	return d.status.Phase
}

// BeginRecording reports whether the status is to be read now (Learn). If it is, EndRecording must
// follow.
func (d *Decision) BeginRecording() bool {
	if d.recording || d.statusRead && d.recorded() == Complete {
		return false
	}
	d.recording = true
	return true
}

// EndRecording allows the next BeginRecording.
func (d *Decision) EndRecording() { d.recording = false }

// Learn applies the recorded status, and returns the phase to write if the rollout is further.
func (d *Decision) Learn(now time.Time, status Status) (wanted Phase, write bool) {
	o := d.decider.Order()
	d.status, d.statusRead = status, true
	known := d.recorded()
	d.decider.Advance(known)
	wanted = d.decider.Phase()
	if d.decider.MayComplete(now) {
		wanted = Complete
	}
	first := status.Revision <= o.Revision || status.Version != o.Version
	return wanted, first || !known.Final() && wanted.Final()
}

// Written applies a phase that was written over the status last learned.
func (d *Decision) Written(phase Phase) {
	o := d.decider.Order()
	// The row has a revision that the next call learns.
	d.status = Status{Version: o.Version, Phase: phase, Revision: max(d.status.Revision, o.Revision) + 1}
	if phase == Complete {
		d.decider.Advance(Complete)
	}
}
