package poison

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.UnixMilli(1_700_000_000_000)

func idOf(n int) ID { return Identify(Content{Body: fmt.Append(nil, n)}) }

// TestRefusalLife follows one request: refused, let in again, refused for twice as long
// after one more end, and forgotten when nothing happens for as long again.
func TestRefusalLife(t *testing.T) {
	l := NewLedger()
	now := start
	end := func() bool {
		now = now.Add(time.Second)
		return l.AddCrash(now, idOf(1), Crash{Endpoint: now.String(), Among: 18}, true)
	}
	for n := 1; n <= fewestEnds; n++ {
		if refused := end(); refused != (n == fewestEnds) {
			t.Fatalf("refused by end %d: %v", n, refused)
		}
	}
	for _, lasts := range []time.Duration{firstRefusal, 2 * firstRefusal, 4 * firstRefusal} {
		if left, refused := l.Refused(now, idOf(1)); !refused || left != lasts {
			t.Fatalf("refused: %v, for %v, want %v", refused, left, lasts)
		}
		now = now.Add(lasts)
		if _, refused := l.Refused(now, idOf(1)); refused {
			t.Fatalf("the request is refused after %v", lasts)
		}
		if !end() {
			t.Fatal("on probation, one more end does not refuse the request")
		}
	}
	left, _ := l.Refused(now, idOf(1))
	now = now.Add(2 * left)
	if end() {
		t.Error("a request of which nothing is known any more is refused by one end")
	}
	if sum := l.Refusals().Checksum(now); sum != 0 {
		t.Errorf("the sum of nothing is %d", sum)
	}
}

// TestServedIsPardoned refuses a request that is served well after all.
func TestServedIsPardoned(t *testing.T) {
	g := NewGuard(0)
	for i := range fewestEnds {
		var out Outcome
		g.end(start, idOf(1), Crash{Endpoint: fmt.Sprint(i), Among: 18}, true, &out)
	}
	if _, refused := g.Refused(start, idOf(1)); !refused {
		t.Fatal("the request is not refused")
	}
	out := g.RecordSuccess(start, idOf(1))
	if _, refused := g.Refused(start, idOf(1)); refused || len(out.Pardoned) != 1 || len(out.Reports) != 1 || !out.Reports[0].Served {
		t.Errorf("refused: %v, outcome %+v", refused, out)
	}
	if out := g.RecordSuccess(start, idOf(2)); len(out.Reports) > 0 {
		t.Error("owners are told of a request that nobody suspects")
	}
}

// TestRefusalsAreBounded refuses more requests than are remembered: those that end first
// make room.
func TestRefusalsAreBounded(t *testing.T) {
	r := NewRefusals()
	for i := range 2 * mostRefusals {
		r.Refuse(start.Add(time.Duration(i)*time.Millisecond), idOf(i), start)
	}
	if r.Len() != mostRefusals {
		t.Errorf("%d are remembered, want %d", r.Len(), mostRefusals)
	}
	if _, refused := r.Remaining(start.Add(time.Minute), idOf(2*mostRefusals-1)); !refused {
		t.Error("the last one is not remembered")
	}
	told := 0
	for news := r.NextUpdates(start, "n", 100); len(news) > 0; news = r.NextUpdates(start, "n", 100) {
		told += len(news)
	}
	if told != mostRefusals {
		t.Errorf("a node was told %d", told)
	}
}

// TestRefusalsConverge has nodes refuse and pardon requests, tell each other, lose messages
// and begin anew: when all have told all, they know the same and have the same sum. Nothing
// outlives its time, however often it is told.
func TestRefusalsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const size = 4
		nodes := make([]*Refusals, size)
		for i := range nodes {
			nodes[i] = NewRefusals()
		}
		now := start
		tell := func(from, to int, lost bool) {
			sum, news := nodes[from].Checksum(now), nodes[from].NextUpdates(now, fmt.Sprint(to), 2)
			if lost {
				return
			}
			nodes[to].Merge(now.Add(10*time.Millisecond), news)
			nodes[to].NeedsUpdate(now, fmt.Sprint(from), sum)
		}
		node := rapid.IntRange(0, size-1)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond)
			n := node.Draw(t, "node")
			id := idOf(rapid.IntRange(0, 5).Draw(t, "request"))
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0, 1:
				nodes[n].Refuse(now, id, now)
			case 2:
				nodes[n].Pardon(now, id)
			case 3:
				nodes[n] = NewRefusals()
			default:
				tell(n, node.Draw(t, "to"), rapid.Bool().Draw(t, "lost"))
			}
		}
		last := now
		for range 20 {
			now = now.Add(3 * time.Second)
			for from := range nodes {
				for to := range nodes {
					if from != to {
						tell(from, to, false)
					}
				}
			}
		}
		for i, n := range nodes {
			if n.Checksum(now) != nodes[0].Checksum(now) {
				t.Fatalf("node %d has the sum %x, node 0 %x", i, n.Checksum(now), nodes[0].Checksum(now))
			}
			for r := range 6 {
				_, here := n.Remaining(now, idOf(r))
				_, there := nodes[0].Remaining(now, idOf(r))
				if here != there {
					t.Fatalf("request %d is refused at node %d: %v, at node 0: %v", r, i, here, there)
				}
			}
		}
		for now = last; now.Sub(last) < 3*longestRefusal; now = now.Add(10 * time.Minute) {
			for from := range nodes {
				tell(from, (from+1)%size, false)
			}
		}
		for i, n := range nodes {
			if n.Checksum(now) != 0 {
				t.Fatalf("node %d remembers something after %v", i, now.Sub(last))
			}
		}
	})
}

// TestTakeBack takes ends of a refused request back. A node that knows only one of them
// pardons nothing; the one that refused it does when too few are left.
func TestTakeBack(t *testing.T) {
	owner, other := NewLedger(), NewLedger()
	for i := range mostEnds {
		owner.AddCrash(start, idOf(1), Crash{Endpoint: fmt.Sprint(i), Among: 18}, true)
	}
	other.Refusals().Merge(start, owner.Refusals().NextUpdates(start, "other", mostRefusals))
	other.AddCrash(start, idOf(1), Crash{Endpoint: "0", Among: 18}, false)
	if other.RetractCrash(start, idOf(1), "0") {
		t.Error("a node that knows one end pardons the request")
	}
	for i := range mostEnds - fewestEnds + 1 {
		last := i == mostEnds-fewestEnds
		if pardoned := owner.RetractCrash(start, idOf(1), fmt.Sprint(i)); pardoned != last {
			t.Errorf("after %d ends less, pardoned: %v", i+1, pardoned)
		}
	}
}
