package entry

import (
	"context"
	"fmt"
	"sync"
	"time"

	"gradetiller.example/internal/core/ledger"
	"gradetiller.example/internal/core/run"
)

// Store is where started records are kept.
type Store interface {
	Write(ctx context.Context, puts []ledger.Put) ledger.WriteResult
	Read(ctx context.Context, keys []string) ([]ledger.Row, error)
}

const (
	// storeTimeout bounds one exchange with the store: a caller whose store
	// hangs is told so while it still has time to ask again.
	storeTimeout   = 400 * time.Millisecond
	repairInterval = time.Second
)

// records carries out the ledger's actions.
type records struct {
	id     Identity
	store  Store
	answer func(run.ID, run.RecordResult)

	mu     sync.Mutex
	book   *ledger.Book
	tokens map[run.ID]string
}

func newRecords(id Identity, answer func(run.ID, run.RecordResult)) *records {
	return &records{id: id, answer: answer, book: ledger.New(), tokens: make(map[run.ID]string)}
}

func recordKey(account, requestID string) string { return "started/" + account + "/" + requestID }

func (r *records) token(id run.ID) string {
	return fmt.Sprintf("%s-%d-%d", r.id.Node, r.id.Incarnation, id)
}

// start stores a record. It must not block, since the node's lock is held.
func (r *records) start(a run.Record) {
	if r.store == nil {
		go r.answer(a.Run, run.RecordAway)
		return
	}
	go r.step(func(now time.Time) []ledger.Action {
		return r.book.Start(now, uint64(a.Run), recordKey(a.Account, a.RequestID), r.token(a.Run))
	})
}

func (r *records) abandon(a run.Abandon) {
	if r.store == nil {
		return
	}
	go r.step(func(now time.Time) []ledger.Action {
		return r.book.Abandon(now, recordKey(a.Account, a.RequestID), r.token(a.Run))
	})
}

// repair tries abandoned marks again until ctx ends.
func (r *records) repair(ctx context.Context) {
	t := time.NewTicker(repairInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			r.step(func(time.Time) []ledger.Action { return r.book.Tick() })
		}
	}
}

func (r *records) step(event func(now time.Time) []ledger.Action) {
	r.mu.Lock()
	actions := event(time.Now())
	r.mu.Unlock()
	for _, a := range actions {
		r.carryOut(a)
	}
}

func (r *records) carryOut(a ledger.Action) {
	switch a := a.(type) {
	case ledger.Answer:
		r.answer(run.ID(a.ID), recordResult(a.Result))
	case ledger.Write:
		go r.write(a)
	case ledger.Read:
		go r.read(a)
	}
}

func (r *records) write(w ledger.Write) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	result := r.store.Write(ctx, w.Puts)
	r.step(func(now time.Time) []ledger.Action { return r.book.Wrote(now, result) })
}

func (r *records) read(q ledger.Read) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	rows, err := r.store.Read(ctx, q.Keys)
	r.step(func(now time.Time) []ledger.Action { return r.book.ReadBack(now, rows, err == nil) })
}

func recordResult(r ledger.Result) run.RecordResult {
	switch r {
	case ledger.Stored:
		return run.RecordStored
	case ledger.Taken:
		return run.RecordTaken
	}
	return run.RecordAway
}
