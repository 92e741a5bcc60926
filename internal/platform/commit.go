package platform

import (
	"context"
	"errors"
	"time"

	"gradetiller.example/internal/core/condwrite"
)

const (
	firstPause   = 20 * time.Millisecond
	longestPause = time.Second
	// stepTimeout bounds one exchange, so that a hanging store costs one step
	// and not the whole commit.
	stepTimeout = 2 * time.Second
)

// Commit writes puts and settles the outcome until ctx ends. The first put
// decides: mine tells whether its row holds this write's id. It returns the
// deciding row as last seen.
func Commit(ctx context.Context, table Table, puts []Put, mine func(value []byte) bool) (condwrite.Outcome, Row) {
	w := condwrite.New(puts[0].IfVersion)
	var seen Row
	pause := firstPause
	for w.Next() != condwrite.Stop {
		if commitStep(ctx, table, puts, mine, w, &seen) {
			continue
		}
		select {
		case <-ctx.Done():
			return w.Outcome(), seen
		case <-time.After(pause):
			pause = min(2*pause, longestPause)
		}
	}
	return w.Outcome(), seen
}

// commitStep takes one step and reports whether the next may follow at once.
func commitStep(ctx context.Context, table Table, puts []Put, mine func([]byte) bool, w *condwrite.Write, seen *Row) bool {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	if w.Next() == condwrite.ReadBack {
		rows, err := table.Read(ctx, puts[0].Key)
		if err != nil {
			return false
		}
		*seen = rows[0]
		w.ReadDone(rows[0].Version, mine(rows[0].Value))
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
