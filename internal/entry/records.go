package entry

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"gradetiller.example/internal/core/ledger"
	"gradetiller.example/internal/core/run"
	"gradetiller.example/internal/wire"
)

// Store is where started records are kept.
type Store interface {
	Write(ctx context.Context, puts []ledger.Put) ledger.WriteResult
	Read(ctx context.Context, keys []string) ([]ledger.Row, error)
}

const (
	// storeTimeout bounds one exchange with the store: a caller whose store
	// hangs is told so while it still has time to ask again.
	storeTimeout = 400 * time.Millisecond
)

// records carries out the ledger's actions.
type records struct {
	id     Identity
	store  Store
	answer func(run.ID, run.RecordResult)

	mu      sync.Mutex
	book    *ledger.Batcher
	nodes   []string
	peers   map[string]string // peer address by node
	replies map[uint64]func(ledger.Result)
	last    uint64
	timer   *time.Timer
	forward forwarder

	// underway counts the starts of this node that are not answered and the
	// abandons that are not in the book. It falls only behind what they lead
	// to: the engine's answer to a start may be an abandon.
	underway atomic.Int64
}

// forwardedBit marks ids of other nodes' records in the book; the others are
// this node's run ids.
const forwardedBit = 1 << 63

func newRecords(id Identity, answer func(run.ID, run.RecordResult)) *records {
	r := &records{
		id: id, answer: answer, book: ledger.New(),
		peers: make(map[string]string), replies: make(map[uint64]func(ledger.Result)),
	}
	r.timer = time.AfterFunc(time.Hour, r.tick)
	return r
}

// setNodes tells which entries there are now: they share the store's budget
// of writes, and a large fleet has few writers.
func (r *records) setNodes(entries []wire.Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nodes = r.nodes[:0]
	clear(r.peers)
	for _, e := range entries {
		if !e.Leaving {
			r.nodes = append(r.nodes, e.Node)
			r.peers[e.Node] = e.PeerAddress
		}
	}
	r.book.SetWriteInterval(ledger.WriteInterval(len(r.nodes)))
}

func recordKey(account, requestID string) string { return "started/" + account + "/" + requestID }

func (r *records) token(id run.ID) string {
	return fmt.Sprintf("%s-%d-%d", r.id.Node, r.id.Incarnation, id)
}

// start stores a record. It must not block, since the node's lock is held.
func (r *records) start(a run.Record) {
	r.underway.Add(1)
	if r.store == nil {
		go r.tell(a.Run, run.RecordUnavailable)
		return
	}
	go r.startAt(a.Run, recordKey(a.Account, a.RequestID), r.token(a.Run))
}

// tell answers a start of this node.
func (r *records) tell(id run.ID, result run.RecordResult) {
	defer r.underway.Add(-1)
	r.answer(id, result)
}

// settled reports whether every start is answered and every mark that takes a
// record back is in the store. It holds on once no run is in flight.
func (r *records) settled() bool { return r.underway.Load() == 0 && len(r.repairs()) == 0 }

// startAt has the key's writer store the record. When the writer can't be
// reached or does not answer in time, this node writes the same record itself:
// the row then tells whose it is by its token.
func (r *records) startAt(id run.ID, key, token string) {
	r.mu.Lock()
	writer := ledger.Writer(key, r.id.Node, r.nodes)
	address := r.peers[writer]
	r.mu.Unlock()
	if writer != r.id.Node && address != "" {
		if result, ok := r.forward.start(address, key, token); ok {
			r.tell(id, recordResult(result))
			return
		}
	}
	r.step(func(now time.Time) []ledger.Action { return r.book.Start(now, uint64(id), key, token) })
}

// startFor stores another node's record and passes the result to reply.
func (r *records) startFor(key, token string, reply func(ledger.Result)) {
	if r.store == nil {
		reply(ledger.Unavailable)
		return
	}
	r.step(func(now time.Time) []ledger.Action {
		r.last++
		id := r.last | forwardedBit
		r.replies[id] = reply
		return r.book.StartForwarded(now, id, key, token)
	})
}

func (r *records) tick() { r.step(r.book.Tick) }

func (r *records) abandon(a run.Abandon) {
	if r.store == nil {
		return
	}
	r.underway.Add(1)
	go func() {
		defer r.underway.Add(-1)
		r.step(func(now time.Time) []ledger.Action {
			return r.book.Abandon(now, recordKey(a.Account, a.RequestID), r.token(a.Run))
		})
	}()
}

func (r *records) step(event func(now time.Time) []ledger.Action) {
	r.mu.Lock()
	now := time.Now()
	actions := event(now)
	if at, ok := r.book.NextTick(); ok {
		r.timer.Reset(max(at.Sub(now), time.Millisecond))
	}
	r.mu.Unlock()
	for _, a := range actions {
		r.carryOut(a)
	}
}

func (r *records) carryOut(a ledger.Action) {
	switch a := a.(type) {
	case ledger.Answer:
		r.answered(a)
	case ledger.Write:
		go r.write(a)
	case ledger.Read:
		go r.read(a)
	}
}

func (r *records) answered(a ledger.Answer) {
	if a.ID&forwardedBit == 0 {
		r.tell(run.ID(a.ID), recordResult(a.Result))
		return
	}
	r.mu.Lock()
	reply := r.replies[a.ID]
	delete(r.replies, a.ID)
	r.mu.Unlock()
	if reply != nil {
		reply(a.Result)
	}
}

func (r *records) write(w ledger.Write) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	result := r.store.Write(ctx, w.Puts)
	r.step(func(now time.Time) []ledger.Action { return r.book.WriteDone(now, result) })
}

func (r *records) read(q ledger.Read) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	rows, err := r.store.Read(ctx, q.Keys)
	r.step(func(now time.Time) []ledger.Action { return r.book.ReadDone(now, rows, err == nil) })
}

func recordResult(r ledger.Result) run.RecordResult {
	switch r {
	case ledger.Stored:
		return run.RecordStored
	case ledger.Duplicate:
		return run.RecordDuplicate
	}
	return run.RecordUnavailable
}
