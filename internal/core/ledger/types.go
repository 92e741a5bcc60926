package ledger

import "time"

// RecordTTL is how long a record keeps a request id from running again. It is far
// longer than any caller asks again.
const RecordTTL = 24 * time.Hour

// Record is the value of a row.
type Record struct {
	Token     string    `json:"token"`
	Abandoned bool      `json:"abandoned,omitempty"`
	Expires   time.Time `json:"expires"`
}

// Row is a row as the table tells it; version 0 means absent.
type Row struct {
	Key     string
	Version int64
	Record  Record
}

// Put is one conditional write.
type Put struct {
	Key       string
	IfVersion int64
	Record    Record
}

// Result is the answer to a Start.
type Result int

// The results.
const (
	Stored Result = iota
	Duplicate
	// Unavailable means that the store could not tell in time. A record that took
	// effect all the same is abandoned later.
	Unavailable
)

// Action is something for the shell to do. At most one Write or Read is under
// way at a time.
type Action interface{ action() }

// Write asks for one transaction: all puts or none.
type Write struct{ Puts []Put }

// Read asks for rows, in the order of the keys.
type Read struct{ Keys []string }

// Answer answers the Start with this id.
type Answer struct {
	ID     uint64
	Result Result
}

func (Write) action()  {}
func (Read) action()   {}
func (Answer) action() {}

// WriteKind is what came back of a Write.
type WriteKind int

// The kinds.
const (
	WriteOK WriteKind = iota
	// WriteConflict: nothing was written; the rows that differ are told.
	WriteConflict
	// WriteRefused: nothing was written.
	WriteRefused
	// WriteUnknown: the write may have taken effect, or may still.
	WriteUnknown
)

// WriteResult is the end of a Write.
type WriteResult struct {
	Kind WriteKind
	Rows []Row
}
