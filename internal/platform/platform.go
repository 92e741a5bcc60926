package platform

import (
	"context"
	"errors"
	"fmt"
)

// Row is one row of the table. Version 0 means that the row does not exist.
type Row struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
	Value   []byte `json:"value"`
}

// Put writes a row if its version is IfVersion.
type Put struct {
	Key       string `json:"key"`
	IfVersion int64  `json:"if_version"`
	Value     []byte `json:"value"`
}

// Table is the transactional table.
type Table interface {
	// Read returns one row per key, in the order of the keys.
	Read(ctx context.Context, keys ...string) ([]Row, error)
	// Write applies all puts or none. It returns a *ConflictError if a version
	// differs, an error that wraps ErrRefused if nothing was written, and any other
	// error if the write may have taken effect.
	Write(ctx context.Context, puts []Put) error
}

// Objects is the object store.
type Objects interface {
	Get(ctx context.Context, name string) ([]byte, error)
	Put(ctx context.Context, name string, data []byte) error
}

// Instance is an entry of the instance list, which lags behind reality.
type Instance struct {
	Node    string `json:"node"`
	Address string `json:"address"`
	Domain  string `json:"failure_domain"`
	Leaving bool   `json:"leaving"`
}

// Instances is the platform's list of the system's own instances.
type Instances interface {
	List(ctx context.Context) ([]Instance, error)
}

// ErrRefused means that the platform refused a request or could not be reached, and the
// request had no effect.
var ErrRefused = errors.New("refused by the platform")

// ErrNotFound means that the object does not exist.
var ErrNotFound = errors.New("object not found")

// ConflictError holds the rows whose versions differ from those that were expected.
type ConflictError struct{ Rows []Row }

// Error implements the error interface.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%d rows have another version", len(e.Rows))
}
