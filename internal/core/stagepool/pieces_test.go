package stagepool

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// TestPiecesOutOfRange guards against a number of pieces that a client states and that ends the process of the leader: times that
// overflow look short, so that the task is admitted and its pieces are allocated.
func TestPiecesOutOfRange(t *testing.T) {
	w := newWorld(t, 1, 2)
	reject := func(pieces ...int) {
		t.Helper()
		task := Task{RequestID: "r", Key: "k", SoftDeadline: w.now.Add(3 * time.Second), Deadline: w.now.Add(15 * time.Second)}
		for _, n := range pieces {
			task.Stages = append(task.Stages, Stage{Service: "tag", Pieces: n})
		}
		if v, _ := w.pool.Submit(w.now, task); v.Accepted || w.pool.Tasks() != 0 {
			t.Fatalf("%d pieces are accepted", pieces)
		}
	}
	reject(-1)
	reject(MaxPieces, 1)
	for _, pieces := range []int{MaxPieces + 1, math.MaxInt32, math.MaxInt64, math.MaxInt64 - 8} {
		reject(pieces)
		reject(1, pieces)
	}
	r := rand.New(rand.NewPCG(1, 1))
	for range 2000 {
		reject(int(r.Int64() | 1<<40))
	}
}
