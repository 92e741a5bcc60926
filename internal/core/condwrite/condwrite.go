// Package condwrite determines the outcome of a conditional write whose response
// may be lost.
//
// Every write carries a unique write id that is stored in the row. After a lost
// response the row is read back: if it holds the id, the write was applied; a
// higher version without the id means that another writer won; the base version
// means that the write may still be in flight. In that case the same conditional
// write is sent again, since at most one of the two can take effect.
//
// # Usage
//
//	w := condwrite.New(base)
//	for step := w.Next(); step != condwrite.Stop; step = w.Next() {
//		// carry out the step and pass in its result:
//		w.WriteDone(condwrite.ResponseLost) // or w.ReadDone(version, mine)
//	}
//	w.Outcome()
package condwrite

// Step is the next operation of the caller.
type Step int

// The steps.
const (
	// Send means that the conditional write must be sent.
	Send Step = iota
	// ReadBack means that the row must be read.
	ReadBack
	// Stop means that Outcome is final.
	Stop
)

// WriteResult is the store's response to a write.
type WriteResult int

// The results.
const (
	// Accepted means that the write took effect.
	Accepted WriteResult = iota
	// Conflict means that the row had another version.
	Conflict
	// Refused means that the store did nothing, for example because it throttles.
	Refused
	// ResponseLost means that the write may have taken effect or may still do so.
	ResponseLost
)

// Outcome is the outcome of a write.
type Outcome int

// The outcomes.
const (
	// Unknown means that the outcome is not known; if the caller gives up, the
	// write may still take effect.
	Unknown Outcome = iota
	Applied
	Superseded
	NotApplied
)

// String returns the outcome's name.
func (o Outcome) String() string {
	return [...]string{"unknown", "done", "lost", "not_done"}[o]
}

// Write is the state of one write. If the caller gives up, a write that was only
// refused is NotApplied, and one whose response was lost is Unknown.
type Write struct {
	base    int64
	step    Step
	outcome Outcome
	inDoubt bool
}

// New returns a write on top of the row's base version.
func New(base int64) *Write { return &Write{base: base, step: Send, outcome: NotApplied} }

// Next returns the next step.
func (w *Write) Next() Step { return w.step }

// Outcome returns the outcome as known so far.
func (w *Write) Outcome() Outcome { return w.outcome }

// WriteDone passes in the result of a Send.
func (w *Write) WriteDone(a WriteResult) {
	switch a {
	case Accepted:
		w.finish(Applied)
	case Refused:
		// The caller may retry the same step.
	case Conflict:
		if !w.inDoubt {
			w.finish(Superseded)
			return
		}
		// The row was changed by an earlier send of this write or by another
		// writer.
		w.step = ReadBack
	case ResponseLost:
		w.inDoubt = true
		w.outcome = Unknown
		w.step = ReadBack
	}
}

// ReadDone passes in the row's version and whether it holds this write's id.
func (w *Write) ReadDone(version int64, mine bool) {
	switch {
	case mine:
		w.finish(Applied)
	case version > w.base:
		w.finish(Superseded)
	default:
		w.step = Send
	}
}

func (w *Write) finish(o Outcome) {
	w.outcome = o
	w.step = Stop
}
