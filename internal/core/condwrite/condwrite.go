// Package condwrite finds out what became of a conditional write whose answer
// may be lost.
//
// Every write carries a fresh write id that is stored in the row. After a
// lost answer the row tells: the id there means done; a higher version
// without it means that another writer won; the old version means that the
// write may still be under way, and only sending the same conditional write
// again settles it, because at most one of the two can take effect.
//
// # Usage
//
//	w := condwrite.New(base)
//	for step := w.Next(); step != condwrite.Stop; step = w.Next() {
//		// send or read as step says, and tell the result:
//		w.Written(condwrite.AnswerLost) // or w.Read(version, mine)
//	}
//	w.Outcome()
package condwrite

// Step is what the caller does next.
type Step int

// The steps.
const (
	// Send the conditional write.
	Send Step = iota
	// ReadBack the row.
	ReadBack
	// Stop: Outcome is final.
	Stop
)

// WriteResult is what came back of a write.
type WriteResult int

// The answers.
const (
	// Accepted means that the write took effect.
	Accepted WriteResult = iota
	// Conflict means that the row had another version.
	Conflict
	// Refused means that the store did nothing, as when it throttles.
	Refused
	// ResponseLost means that the write may have taken effect, or may still.
	ResponseLost
)

// Outcome is what became of the write.
type Outcome int

// The outcomes.
const (
	// Unknown means that it is not settled yet; after a caller gave up, the
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

// Write is the state of one write. A write that was only ever refused is
// NotDone when the caller gives up; one whose answer was lost stays Open.
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

// Outcome returns what is known now.
func (w *Write) Outcome() Outcome { return w.outcome }

// WriteDone tells what came back of a Send.
func (w *Write) WriteDone(a WriteResult) {
	switch a {
	case Accepted:
		w.end(Applied)
	case Refused:
		// The same step again, when the caller likes.
	case Conflict:
		if !w.inDoubt {
			w.end(Superseded)
			return
		}
		// The row changed: by this write's earlier sending or by another.
		w.step = ReadBack
	case ResponseLost:
		w.inDoubt = true
		w.outcome = Unknown
		w.step = ReadBack
	}
}

// ReadDone tells the row's version and whether it holds this write's id.
func (w *Write) ReadDone(version int64, mine bool) {
	switch {
	case mine:
		w.end(Applied)
	case version > w.base:
		w.end(Superseded)
	default:
		w.step = Send
	}
}

func (w *Write) end(o Outcome) {
	w.outcome = o
	w.step = Stop
}
