package lease

import "time"

const (
	// DefaultTerm is how long a lease lasts without renewal.
	DefaultTerm = 9 * time.Second
	// A lease is renewed renewalsPerTerm times in a term. The margin is the
	// term divided by marginDivisor.
	renewalsPerTerm = 3
	marginDivisor   = 6
)

// Row is the value of a lease's row.
type Row struct {
	Holder  string `json:"holder"`
	Epoch   uint64 `json:"epoch"`
	WriteID string `json:"write_id"`
}

// Kind is the kind of a step.
type Kind int

// The kinds.
const (
	Wait Kind = iota
	Read
	Write
)

// Step is the next operation of the caller; IfVersion and Row are set for a Write.
type Step struct {
	Kind      Kind
	IfVersion int64
	Row       Row
}

// WriteResult is the table's response to a Write.
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
	self           string
	term           time.Duration
	margin         time.Duration
	version        int64
	row            Row
	unchangedSince time.Time // when the row was first seen with its present version
	lastRead       time.Time // when the row was last read
	known          bool
	writeSentAt    time.Time // when the write in flight was sent
	writeID        string    // id of the write in flight
	writeBase      int64     // version that the write in flight is based on
	writeRow       Row
	trustedUntil   time.Time // when the holder stops trusting the lease
	lastRenewal    time.Time // when the last accepted write was sent
}

// New returns the view of the process named self, a name that must be unique to
// one incarnation of a process.
func New(self string, term time.Duration) *Lease {
	return &Lease{self: self, term: term, margin: term / marginDivisor}
}

// Holds returns the epoch if the lease is held. It must be called right before
// every action that the lease protects.
func (l *Lease) Holds(now time.Time) (uint64, bool) {
	if l.row.Holder != l.self || !now.Before(l.trustedUntil) {
		return 0, false
	}
	return l.row.Epoch, true
}

// Holder returns the holder and epoch as last read.
func (l *Lease) Holder() (string, uint64) { return l.row.Holder, l.row.Epoch }

// Next returns the next step; id must be unique to this call.
func (l *Lease) Next(now time.Time, id string) Step {
	switch {
	case !l.known:
		return Step{Kind: Read}
	case l.row.Holder == l.self:
		if now.Sub(l.lastRenewal) < l.term/renewalsPerTerm {
			return Step{}
		}
		return l.write(now, Row{Holder: l.self, Epoch: l.row.Epoch, WriteID: id})
	case l.version == 0 || now.Sub(l.unchangedSince) > l.term+l.margin:
		if now.Sub(l.lastRead) > l.margin {
			// The row may have been renewed since it was read.
			return Step{Kind: Read}
		}
		return l.write(now, Row{Holder: l.self, Epoch: l.row.Epoch + 1, WriteID: id})
	case now.Sub(l.lastRead) > l.term/renewalsPerTerm:
		return Step{Kind: Read}
	}
	return Step{}
}

func (l *Lease) write(now time.Time, row Row) Step {
	l.writeSentAt, l.writeID, l.writeBase, l.writeRow = now, row.WriteID, l.version, row
	return Step{Kind: Write, IfVersion: l.version, Row: row}
}

// WriteDone passes in the result of a Write.
func (l *Lease) WriteDone(now time.Time, r WriteResult) {
	switch r {
	case Accepted:
		l.observe(now, l.writeBase+1, l.writeRow)
	case Refused:
		// Nothing was written; the write is retried at the next step.
	case Conflict, ResponseLost:
		l.known = false
	}
}

// ReadDone passes in the row that was read; it is not called if the table did not
// answer.
func (l *Lease) ReadDone(now time.Time, version int64, row Row) {
	l.known = true
	l.lastRead = now
	l.observe(now, version, row)
}

func (l *Lease) observe(now time.Time, version int64, row Row) {
	if version != l.version || l.unchangedSince.IsZero() {
		l.unchangedSince = now
	}
	l.version, l.row = version, row
	if row.Holder == l.self && row.WriteID == l.writeID {
		// The term counts from the time of sending, since the row may have been
		// written then.
		l.trustedUntil = l.writeSentAt.Add(l.term - l.margin)
		l.lastRenewal = l.writeSentAt
	}
}
