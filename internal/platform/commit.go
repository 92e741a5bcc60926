package platform

import (
	"context"
	"errors"
	"time"

	"gradetiller.example/internal/core/condwrite"
)

const (
	minBackoff = 20 * time.Millisecond
	maxBackoff = time.Second
	// stepTimeout bounds one read or write, so that a store that hangs costs one step
	// and not the whole commit.
	stepTimeout = 2 * time.Second
)

// Commit writes puts, and retries and reads back until the outcome is known or ctx
// ends. The row of the first put decides the outcome: isOwn reports whether its value
// contains the ID of this write. Commit returns that row as last seen.
func Commit(ctx context.Context, table Table, puts []Put, isOwn func(value []byte) bool) (condwrite.Outcome, Row) {
	w := condwrite.New(puts[0].IfVersion)
	var seen Row
	backoff := minBackoff
	for w.Next() != condwrite.Stop {
		if commitStep(ctx, table, puts, isOwn, w, &seen) {
			continue
		}
		select {
		case <-ctx.Done():
			return w.Outcome(), seen
		case <-time.After(backoff):
			backoff = min(2*backoff, maxBackoff)
		}
	}
	return w.Outcome(), seen
}

// commitStep performs one step and reports whether the next may follow without a pause.
func commitStep(ctx context.Context, table Table, puts []Put, isOwn func([]byte) bool, w *condwrite.Write, seen *Row) bool {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	if w.Next() == condwrite.ReadBack {
		rows, err := table.Read(ctx, puts[0].Key)
		if err != nil {
			return false
		}
		*seen = rows[0]
		w.ReadDone(rows[0].Version, isOwn(rows[0].Value))
		return true
	}
	err := table.Write(ctx, puts)
	var conflict *ConflictError
	switch {
	case err == nil:
		w.WriteDone(condwrite.Accepted)
	case errors.As(err, &conflict):
		*seen = conflict.Rows[0]
		w.WriteDone(condwrite.Conflict)
	case errors.Is(err, ErrRefused):
		w.WriteDone(condwrite.Refused)
		return false
	default:
		w.WriteDone(condwrite.ResponseLost)
	}
	return true
}
