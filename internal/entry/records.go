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

// Store holds started records.
type Store interface {
	Write(ctx context.Context, puts []ledger.Put) ledger.WriteResult
	Read(ctx context.Context, keys []string) ([]ledger.Row, error)
}

const (
	// storeTimeout bounds one operation of the store. If the store hangs, the
	// client gets an error early enough to retry within its deadline.
	storeTimeout = 400 * time.Millisecond
)

// records executes the actions of a ledger.Batcher.
type records struct {
	id       Identity
	store    Store
	onResult func(run.ID, run.RecordResult)

	mu        sync.Mutex
	batcher   *ledger.Batcher
	nodes     []string
	peers     map[string]string // peer address by node
	replies   map[uint64]func(ledger.Result)
	lastID    uint64
	timer     *time.Timer
	forwarder forwarder

	// pending counts this node's unanswered starts and the abandons that are not
	// yet passed to the batcher. It is decremented only after the engine has
	// processed the result of a start, because that may add an abandon.
	pending atomic.Int64
}

// forwardedBit marks the batcher ids of other nodes' records. Ids without it
// are run ids of this node.
const forwardedBit = 1 << 63

func newRecords(id Identity, onResult func(run.ID, run.RecordResult)) *records {
	r := &records{
		id: id, onResult: onResult, batcher: ledger.New(),
		peers: make(map[string]string), replies: make(map[uint64]func(ledger.Result)),
	}
	r.timer = time.AfterFunc(time.Hour, r.tick)
	return r
}

// setNodes sets the current entries. They determine each key's writer, and the
// write interval that keeps all writers within the store's write budget.
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
	r.batcher.SetWriteInterval(ledger.WriteInterval(len(r.nodes)))
}

func recordKey(account, requestID string) string { return "started/" + account + "/" + requestID }

func (r *records) token(id run.ID) string {
	return fmt.Sprintf("%s-%d-%d", r.id.Node, r.id.Incarnation, id)
}

// start stores a record. It must not block, because the node's lock is held.
func (r *records) start(a run.Record) {
	r.pending.Add(1)
	if r.store == nil {
		go r.reportResult(a.Run, run.RecordUnavailable)
		return
	}
	go r.storeOrForward(a.Run, recordKey(a.Account, a.RequestID), r.token(a.Run))
}

// reportResult passes the result of one of this node's starts to the engine.
func (r *records) reportResult(id run.ID, result run.RecordResult) {
	defer r.pending.Add(-1)
	r.onResult(id, result)
}

// flushed reports whether every start is answered and every abandoned mark is
// in the store. Once no run is in flight, it stays true.
func (r *records) flushed() bool { return r.pending.Load() == 0 && len(r.pendingRepairs()) == 0 }

// storeOrForward asks the key's writer to store the record. If the writer is
// unreachable or does not answer in time, this node writes the record itself;
// the token in the row shows which run owns it, so both may write it.
func (r *records) storeOrForward(id run.ID, key, token string) {
	r.mu.Lock()
	writer := ledger.Writer(key, r.id.Node, r.nodes)
	address := r.peers[writer]
	r.mu.Unlock()
	if writer != r.id.Node && address != "" {
		if result, ok := r.forwarder.store(address, key, token); ok {
			r.reportResult(id, recordResult(result))
			return
		}
	}
	r.step(func(now time.Time) []ledger.Action { return r.batcher.Start(now, uint64(id), key, token) })
}

// startForwarded stores a record of another node and passes the result to
// reply.
func (r *records) startForwarded(key, token string, reply func(ledger.Result)) {
	if r.store == nil {
		reply(ledger.Unavailable)
		return
	}
	r.step(func(now time.Time) []ledger.Action {
		r.lastID++
		id := r.lastID | forwardedBit
		r.replies[id] = reply
		return r.batcher.StartForwarded(now, id, key, token)
	})
}

func (r *records) tick() { r.step(r.batcher.Tick) }

func (r *records) abandon(a run.Abandon) {
	if r.store == nil {
		return
	}
	r.pending.Add(1)
	go func() {
		defer r.pending.Add(-1)
		r.step(func(now time.Time) []ledger.Action {
			return r.batcher.Abandon(now, recordKey(a.Account, a.RequestID), r.token(a.Run))
		})
	}()
}

func (r *records) step(event func(now time.Time) []ledger.Action) {
	r.mu.Lock()
	now := time.Now()
	actions := event(now)
	if at, ok := r.batcher.NextTick(); ok {
		r.timer.Reset(max(at.Sub(now), time.Millisecond))
	}
	r.mu.Unlock()
	for _, a := range actions {
		r.execute(a)
	}
}

func (r *records) execute(a ledger.Action) {
	switch a := a.(type) {
	case ledger.Answer:
		r.deliver(a)
	case ledger.Write:
		go r.write(a)
	case ledger.Read:
		go r.read(a)
	}
}

func (r *records) deliver(a ledger.Answer) {
	if a.ID&forwardedBit == 0 {
		r.reportResult(run.ID(a.ID), recordResult(a.Result))
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
	r.step(func(now time.Time) []ledger.Action { return r.batcher.WriteDone(now, result) })
}

func (r *records) read(q ledger.Read) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	rows, err := r.store.Read(ctx, q.Keys)
	r.step(func(now time.Time) []ledger.Action { return r.batcher.ReadDone(now, rows, err == nil) })
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
