package ledger

import "time"

// RecordTTL is how long a record prevents a request id from running again. It is far
// longer than any client retries.
const RecordTTL = 24 * time.Hour

// Record is the value of a row.
type Record struct {
	Token     string    `json:"token"`
	Abandoned bool      `json:"abandoned,omitempty"`
	Expires   time.Time `json:"expires"`
}

// Row is a row as read from the table; version 0 means that it is absent.
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

// Result is the result of a Start.
type Result int

// The results.
const (
	Stored Result = iota
	Duplicate
	// Unavailable means that the store did not answer in time. If the record took
	// effect nevertheless, it is abandoned later.
	Unavailable
)

// Action is a side effect that the caller carries out. At most one Write or Read
// is in flight at a time.
type Action interface{ action() }

// Write requests one transaction that applies all puts or none.
type Write struct{ Puts []Put }

// Read requests rows, in the order of the keys.
type Read struct{ Keys []string }

// Answer reports the result of the Start with this id.
type Answer struct {
	ID     uint64
	Result Result
}

func (Write) action()  {}
func (Read) action()   {}
func (Answer) action() {}

// WriteKind classifies the result of a Write.
type WriteKind int

// The kinds.
const (
	WriteOK WriteKind = iota
	// WriteConflict means that nothing was written because some rows have
	// another version; those rows are in WriteResult.Rows.
	WriteConflict
	// WriteRefused means that nothing was written.
	WriteRefused
	// WriteUnknown means that the write may have taken effect or may still do so.
	WriteUnknown
)

// WriteResult is the result of a Write.
type WriteResult struct {
	Kind WriteKind
	Rows []Row
}
