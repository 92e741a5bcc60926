package lease

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "gradetiller.example/internal/fixedseed"
)

// world is the lease's row, two claimants, and delayed writes.
type world struct {
	t       *rapid.T
	now     time.Time
	version int64
	row     Row
	delayed []func()
	nodes   []*Lease
	paused  []time.Time // when the pause of a node ends
	highest uint64
	ids     int
}

func (w *world) apply(s Step) bool {
	if w.version != s.IfVersion {
		return false
	}
	w.version++
	w.row = s.Row
	return true
}

func (w *world) step(i int) {
	w.ids++
	s := w.nodes[i].Next(w.now, fmt.Sprint("id", w.ids))
	switch s.Kind {
	case Read:
		if rapid.IntRange(0, 3).Draw(w.t, "readable") > 0 {
			w.nodes[i].ReadDone(w.now, w.version, w.row)
		}
	case Write:
		switch rapid.IntRange(0, 6).Draw(w.t, "fate") {
		case 0:
			w.nodes[i].WriteDone(w.now, Refused)
		case 1:
			w.nodes[i].WriteDone(w.now, ResponseLost)
		case 2:
			w.apply(s)
			w.nodes[i].WriteDone(w.now, ResponseLost)
		case 3:
			w.delayed = append(w.delayed, func() { w.apply(s) })
			w.nodes[i].WriteDone(w.now, ResponseLost)
		default:
			if w.apply(s) {
				w.nodes[i].WriteDone(w.now, Accepted)
			} else {
				w.nodes[i].WriteDone(w.now, Conflict)
			}
		}
	}
}

// act lets every node that holds the lease act, and checks that epochs never
// decrease and that no two nodes hold the lease at once.
func (w *world) act() {
	holders := 0
	for i, n := range w.nodes {
		epoch, ok := n.Holds(w.now)
		if !ok {
			continue
		}
		holders++
		if epoch < w.highest {
			w.t.Fatalf("node %d acts with epoch %d after epoch %d", i, epoch, w.highest)
		}
		w.highest = epoch
	}
	if holders > 1 {
		w.t.Fatalf("%d nodes hold the lease", holders)
	}
}

// TestOneHolder drives two claimants through pauses, outages, lost responses and
// delayed writes: two nodes never hold the lease at once, and epochs never
// decrease. A node that resumes after a pause must find its lease expired.
func TestOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, now: time.Unix(1000, 0), paused: make([]time.Time, 2)}
		w.nodes = []*Lease{New("a", DefaultTerm), New("b", DefaultTerm)}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			w.now = w.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "gap")) * time.Millisecond)
			i := rapid.IntRange(0, 1).Draw(t, "node")
			if rapid.IntRange(0, 20).Draw(t, "pause") == 0 {
				w.paused[i] = w.now.Add(time.Duration(rapid.IntRange(1, 30).Draw(t, "length")) * time.Second)
			}
			if len(w.delayed) > 0 && rapid.Bool().Draw(t, "deliver") {
				w.delayed[0]()
				w.delayed = w.delayed[1:]
			}
			if !w.now.Before(w.paused[i]) {
				w.step(i)
			}
			w.act()
		}
	})
}

// TestSuccession checks that the lease of a dead holder is taken over within two
// terms, with a higher epoch. A successor needs the term, the margin and two reads.
func TestSuccession(t *testing.T) {
	now := time.Unix(1000, 0)
	a, b := New("a", DefaultTerm), New("b", DefaultTerm)
	version, row := int64(0), Row{}
	step := func(l *Lease, id string) {
		switch s := l.Next(now, id); s.Kind {
		case Read:
			l.ReadDone(now, version, row)
		case Write:
			if version != s.IfVersion {
				l.WriteDone(now, Conflict)
				return
			}
			version, row = s.IfVersion+1, s.Row
			l.WriteDone(now, Accepted)
		}
	}
	for i := range 40 {
		step(a, fmt.Sprint("a", i))
		step(b, fmt.Sprint("b", i))
		now = now.Add(500 * time.Millisecond)
	}
	epoch, ok := a.Holds(now)
	if !ok {
		t.Fatal("a does not hold the lease")
	}
	died := now
	for i := 0; ; i++ {
		step(b, fmt.Sprint("c", i))
		if e, ok := b.Holds(now); ok {
			if e <= epoch {
				t.Fatalf("epoch %d after %d", e, epoch)
			}
			break
		}
		if now.Sub(died) > 2*DefaultTerm {
			t.Fatal("the lease was not taken over")
		}
		now = now.Add(500 * time.Millisecond)
	}
	t.Logf("taken over after %v", now.Sub(died))
}
