package ledger

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "gradetiller.example/internal/fixedseed"
	"gradetiller.example/internal/naive"
)

// table is a transactional table that may lose answers and apply writes late.
type table struct {
	rows    map[string]Row
	delayed []Write
	writes  int
}

func (tb *table) apply(w Write) []Row {
	var conflicts []Row
	for _, p := range w.Puts {
		if r := tb.rows[p.Key]; r.Version != p.IfVersion {
			r.Key = p.Key
			conflicts = append(conflicts, r)
		}
	}
	if len(conflicts) > 0 {
		return conflicts
	}
	tb.writes++
	for _, p := range w.Puts {
		tb.rows[p.Key] = Row{Key: p.Key, Version: p.IfVersion + 1, Record: p.Record}
	}
	return nil
}

// node is one Batcher with the actions that it waits for.
type node struct {
	batcher *Batcher
	waiting []Action
}

type world struct {
	t          *rapid.T
	table      *table
	nodes      []*node
	now        time.Time
	keys       map[uint64]string // by start id
	granted    naive.Ledger      // key to the start id that was granted
	unanswered map[uint64]bool   // ids of starts
}

func (w *world) take(n *node, actions []Action) {
	for _, a := range actions {
		answer, ok := a.(Answer)
		if !ok {
			n.waiting = append(n.waiting, a)
			continue
		}
		if !w.unanswered[answer.ID] {
			w.t.Fatalf("start %d answered twice", answer.ID)
		}
		delete(w.unanswered, answer.ID)
		if answer.Result == Stored && !w.granted.Start(w.keys[answer.ID], fmt.Sprint(answer.ID)) {
			w.t.Fatalf("key %s was granted to start %d and to %s", w.keys[answer.ID], answer.ID, w.granted[w.keys[answer.ID]])
		}
	}
}

// answer carries out a node's next action, with a random outcome.
func (w *world) answer(n *node, reliable bool) {
	if len(n.waiting) == 0 {
		return
	}
	a := n.waiting[0]
	n.waiting = n.waiting[1:]
	fate := 0
	if !reliable {
		fate = rapid.IntRange(0, 4).Draw(w.t, "fate")
	}
	switch a := a.(type) {
	case Write:
		w.take(n, n.batcher.WriteDone(w.now, w.write(a, fate)))
	case Read:
		rows := make([]Row, len(a.Keys))
		for i, k := range a.Keys {
			rows[i] = w.table.rows[k]
			rows[i].Key = k
		}
		w.take(n, n.batcher.ReadDone(w.now, rows, fate != 1))
	}
}

func (w *world) write(a Write, fate int) WriteResult {
	switch fate {
	case 1:
		return WriteResult{Kind: WriteRefused}
	case 2:
		return WriteResult{Kind: WriteUnknown}
	case 3:
		w.table.apply(a)
		return WriteResult{Kind: WriteUnknown}
	case 4:
		w.table.delayed = append(w.table.delayed, a)
		return WriteResult{Kind: WriteUnknown}
	}
	if rows := w.table.apply(a); rows != nil {
		return WriteResult{Kind: WriteConflict, Rows: rows}
	}
	return WriteResult{Kind: WriteOK}
}

// TestOneRunForEachKey starts the same few request ids on several nodes against
// a table that refuses writes, loses answers and applies writes late. A key is
// granted at most once (no grant is abandoned in this test, so a second grant is
// a fault), every start is answered once, and a key whose starts were all
// answered as Unavailable becomes free again.
func TestOneRunForEachKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{
			t: t, now: time.Unix(1000, 0), table: &table{rows: make(map[string]Row)},
			keys: make(map[uint64]string), granted: make(naive.Ledger), unanswered: make(map[uint64]bool),
		}
		for range 3 {
			w.nodes = append(w.nodes, &node{batcher: New()})
		}
		for id := range uint64(rapid.IntRange(1, 120).Draw(t, "steps")) {
			n := w.nodes[rapid.IntRange(0, 2).Draw(t, "node")]
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				w.keys[id] = fmt.Sprint("k", rapid.IntRange(0, 3).Draw(t, "key"))
				w.unanswered[id] = true
				start := n.batcher.Start
				if rapid.Bool().Draw(t, "forwarded") {
					start = n.batcher.StartForwarded
				}
				w.take(n, start(w.now, id, w.keys[id], fmt.Sprint("t", id)))
			case 2:
				w.answer(n, false)
			case 3:
				w.take(n, n.batcher.Tick(w.now))
			case 4:
				if len(w.table.delayed) > 0 {
					w.table.apply(w.table.delayed[0])
					w.table.delayed = w.table.delayed[1:]
				}
			}
		}
		w.settle()
	})
}

func (w *world) settle() {
	for _, late := range w.table.delayed {
		w.table.apply(late)
	}
	for range 2000 {
		w.now = w.now.Add(repairInterval)
		for _, n := range w.nodes {
			w.take(n, n.batcher.Tick(w.now))
			w.answer(n, true)
		}
	}
	if len(w.unanswered) > 0 {
		w.t.Fatalf("%d starts were never answered", len(w.unanswered))
	}
	for key, row := range w.table.rows {
		_, granted := w.granted[key]
		if !granted && !row.Record.Abandoned {
			w.t.Fatalf("key %s is held by %s, which was answered as not run", key, row.Record.Token)
		}
	}
	for _, n := range w.nodes {
		if len(n.batcher.PendingRepairs()) > 0 || n.batcher.PendingStarts() > 0 {
			w.t.Fatalf("%d repairs and %d starts are still pending", len(n.batcher.PendingRepairs()), n.batcher.PendingStarts())
		}
	}
}

// TestAbandonedKeyRunsAgain checks that a request answered as "not run" can be
// retried, and then runs at most once.
func TestAbandonedKeyRunsAgain(t *testing.T) {
	w := &world{now: time.Unix(1000, 0), table: &table{rows: make(map[string]Row)}, keys: make(map[uint64]string), granted: make(naive.Ledger), unanswered: make(map[uint64]bool)}
	n := &node{batcher: New()}
	run := func(id uint64) Result {
		n.waiting = n.batcher.Start(w.now, id, "k", fmt.Sprint("t", id))
		for range 10 {
			for len(n.waiting) > 0 {
				if a, ok := n.waiting[0].(Answer); ok {
					n.waiting = n.waiting[1:]
					return a.Result
				}
				w.answerPlain(n)
			}
		}
		t.Fatal("no answer")
		return Unavailable
	}
	if got := run(1); got != Stored {
		t.Fatalf("first start: %v", got)
	}
	if got := run(2); got != Duplicate {
		t.Fatalf("second start: %v", got)
	}
	n.waiting = n.batcher.Abandon(w.now, "k", "t1")
	for range 4 {
		w.now = w.now.Add(repairInterval)
		n.waiting = append(n.waiting, n.batcher.Tick(w.now)...)
		for len(n.waiting) > 0 {
			w.answerPlain(n)
		}
	}
	if got := run(3); got != Stored {
		t.Fatalf("start after abandon: %v", got)
	}
	if got := run(4); got != Duplicate {
		t.Fatalf("start after the second grant: %v", got)
	}
}

func (w *world) answerPlain(n *node) {
	a := n.waiting[0]
	n.waiting = n.waiting[1:]
	switch a := a.(type) {
	case Write:
		n.waiting = append(n.waiting, n.batcher.WriteDone(w.now, w.write(a, 0))...)
	case Read:
		rows := make([]Row, len(a.Keys))
		for i, k := range a.Keys {
			rows[i] = w.table.rows[k]
			rows[i].Key = k
		}
		n.waiting = append(n.waiting, n.batcher.ReadDone(w.now, rows, true)...)
	}
}

// TestGroupCommit checks that starts which arrive while a write is in flight
// share the next transaction.
func TestGroupCommit(t *testing.T) {
	b := New()
	now := time.Unix(1000, 0)
	if got := len(b.Start(now, 0, "k0", "t0")); got != 1 {
		t.Fatalf("first start gave %d actions", got)
	}
	for id := uint64(1); id <= 40; id++ {
		if got := b.Start(now, id, fmt.Sprint("k", id), "t"); len(got) != 0 {
			t.Fatalf("start %d was written while a write was in flight", id)
		}
	}
	actions := b.WriteDone(now, WriteResult{Kind: WriteOK})
	if len(actions) != 2 || len(actions[1].(Write).Puts) != 40 {
		t.Fatalf("actions after the first write: %v", actions)
	}
}
