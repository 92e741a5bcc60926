package lease

import "time"

const (
	// DefaultTerm is how long a lease lasts without renewal.
	DefaultTerm = 9 * time.Second
	// renewals in a term, and the part of the term that is the margin.
	renewals   = 3
	marginPart = 6
)

// Row is the value of a lease's row.
type Row struct {
	Holder  string `json:"holder"`
	Epoch   uint64 `json:"epoch"`
	WriteID string `json:"write_id"`
}

// Kind is what the shell does next.
type Kind int

// The kinds of steps.
const (
	Wait Kind = iota
	Read
	Write
)

// Step is what the shell does next; IfVersion and Row are those of a Write.
type Step struct {
	Kind      Kind
	IfVersion int64
	Row       Row
}

// WriteResult is what came back of a Write.
type WriteResult int

// The results.
const (
	Accepted WriteResult = iota
	Conflict
	Refused
	ResponseLost
)

// Lease is one node's view of a lease. It is not safe for concurrent use.
type Lease struct {
	self     string
	term     time.Duration
	margin   time.Duration
	version  int64
	row      Row
	seen     time.Time // when the row was first seen as it is
	read     time.Time // when it was last read
	known    bool
	sent     time.Time // when the write under way was sent
	pending  string    // its id
	base     int64     // its version
	wrote    Row
	until    time.Time // until when the lease is trusted
	lastSent time.Time // when the last accepted write was sent
}

// New returns a lease as seen by a holder whose name is unique to one life of
// one process.
func New(self string, term time.Duration) *Lease {
	return &Lease{self: self, term: term, margin: term / marginPart}
}

// Holds returns the epoch while the lease is held. It must be asked right
// before every act.
func (l *Lease) Holds(now time.Time) (uint64, bool) {
	if l.row.Holder != l.self || !now.Before(l.until) {
		return 0, false
	}
	return l.row.Epoch, true
}

// Holder returns the holder and epoch as last read.
func (l *Lease) Holder() (string, uint64) { return l.row.Holder, l.row.Epoch }

// Next returns the next step; id must be fresh.
func (l *Lease) Next(now time.Time, id string) Step {
	switch {
	case !l.known:
		return Step{Kind: Read}
	case l.row.Holder == l.self:
		if now.Sub(l.lastSent) < l.term/renewals {
			return Step{}
		}
		return l.write(now, Row{Holder: l.self, Epoch: l.row.Epoch, WriteID: id})
	case l.version == 0 || now.Sub(l.seen) > l.term+l.margin:
		if now.Sub(l.read) > l.margin {
			// The row may have been renewed since it was read.
			return Step{Kind: Read}
		}
		return l.write(now, Row{Holder: l.self, Epoch: l.row.Epoch + 1, WriteID: id})
	case now.Sub(l.read) > l.term/renewals:
		return Step{Kind: Read}
	}
	return Step{}
}

func (l *Lease) write(now time.Time, row Row) Step {
	l.sent, l.pending, l.base, l.wrote = now, row.WriteID, l.version, row
	return Step{Kind: Write, IfVersion: l.version, Row: row}
}

// WriteDone tells the end of a Write.
func (l *Lease) WriteDone(now time.Time, r WriteResult) {
	switch r {
	case Accepted:
		l.take(now, l.base+1, l.wrote)
	case Refused:
		// Nothing happened; a renewal is tried again at the next step.
	case Conflict, ResponseLost:
		l.known = false
	}
}

// ReadDone tells the row; it is not called when the table did not answer.
func (l *Lease) ReadDone(now time.Time, version int64, row Row) {
	l.known = true
	l.read = now
	l.take(now, version, row)
}

func (l *Lease) take(now time.Time, version int64, row Row) {
	if version != l.version || l.seen.IsZero() {
		l.seen = now
	}
	l.version, l.row = version, row
	if row.Holder == l.self && row.WriteID == l.pending {
		// Trusted from the time of sending: the row may be that old.
		l.until = l.sent.Add(l.term - l.margin)
		l.lastSent = l.sent
	}
}
