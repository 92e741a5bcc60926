package ledger

import (
	"fmt"
	"testing"
	"time"
)

// fleet simulates the Batchers of many nodes against a table that takes 20 ms for
// a transaction.
type fleet struct {
	now      time.Time
	batchers map[string]*Batcher
	nodes    []string
	done     map[string]time.Time // when the transaction in flight ends
	started  map[uint64]time.Time
	writes   int
	waited   time.Duration
	stored   int
}

const transaction = 20 * time.Millisecond

func newFleet(n int) *fleet {
	f := &fleet{now: time.Unix(1000, 0), batchers: make(map[string]*Batcher), done: make(map[string]time.Time), started: make(map[uint64]time.Time)}
	for i := range n {
		f.nodes = append(f.nodes, fmt.Sprint("n", i))
	}
	for _, name := range f.nodes {
		b := New()
		b.SetWriteInterval(WriteInterval(n))
		f.batchers[name] = b
	}
	return f
}

func (f *fleet) take(node string, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Write:
			f.writes++
			f.done[node] = f.now.Add(transaction)
		case Answer:
			f.stored++
			f.waited += f.now.Sub(f.started[a.ID])
		}
	}
}

// run starts rate requests per second, spread evenly over the nodes, for d.
func (f *fleet) run(rate int, d time.Duration) {
	const tick = time.Millisecond
	due, id := 0.0, uint64(0)
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(tick) {
		for due += float64(rate) * tick.Seconds(); due >= 1; due-- {
			id++
			origin := f.nodes[int(id*7919)%len(f.nodes)]
			key := fmt.Sprint("k", id)
			f.started[id] = f.now
			writer := Writer(key, origin, f.nodes)
			f.take(writer, f.batchers[writer].StartForwarded(f.now, id, key, "t"))
		}
		for _, node := range f.nodes {
			if at, ok := f.done[node]; ok && !f.now.Before(at) {
				delete(f.done, node)
				f.take(node, f.batchers[node].WriteDone(f.now, WriteResult{Kind: WriteOK}))
			}
			if at, ok := f.batchers[node].NextTick(); ok && !f.now.Before(at) {
				f.take(node, f.batchers[node].Tick(f.now))
			}
		}
	}
}

// TestWriteBudget checks that all nodes together stay within the write budget for
// records, from the current size to the one expected in two years, and that at
// least nine of ten records are stored.
func TestWriteBudget(t *testing.T) {
	const seconds = 10
	for _, size := range []struct{ nodes, rate int }{{7, 10}, {7, 200}, {40, 40}, {380, 360}} {
		f := newFleet(size.nodes)
		f.run(size.rate, seconds*time.Second)
		perSecond := float64(f.writes) / seconds
		t.Logf("%d nodes, %d a second: %.1f writes/s, mean wait %v", size.nodes, size.rate, perSecond, f.waited/time.Duration(f.stored))
		if perSecond > writesPerSecond+1 {
			t.Errorf("%d nodes, %d a second: %.1f writes/s, the budget is %d", size.nodes, size.rate, perSecond, writesPerSecond)
		}
		if f.stored < size.rate*seconds*9/10 {
			t.Errorf("%d nodes: only %d of %d stored", size.nodes, f.stored, size.rate*seconds)
		}
	}
}

// BenchmarkGroupCommit reports the write rate and the added latency by number of
// nodes.
func BenchmarkGroupCommit(b *testing.B) {
	for _, size := range []struct{ nodes, rate int }{{7, 10}, {40, 40}, {380, 360}} {
		b.Run(fmt.Sprint(size.nodes), func(b *testing.B) {
			for b.Loop() {
				f := newFleet(size.nodes)
				f.run(size.rate, 10*time.Second)
				b.ReportMetric(float64(f.writes)/10, "writes/s")
				b.ReportMetric(float64(f.waited.Milliseconds())/float64(f.stored), "added-ms")
			}
		})
	}
}
