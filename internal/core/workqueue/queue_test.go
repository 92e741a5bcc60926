package workqueue

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "gradetiller.example/internal/fixedseed"

	"gradetiller.example/internal/naive"
)

// TestQueueMatchesNaive compares every policy with a linear-scan implementation
// under random pushes, pops and removals.
func TestQueueMatchesNaive(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, policy := range Names() {
		t.Run(policy, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				q, err := New[int](policy)
				if err != nil {
					t.Fatal(err)
				}
				ref := naive.Queue{Policy: policy}
				handles := make(map[int]*Handle[int])
				for id := range rapid.IntRange(1, 200).Draw(t, "steps") {
					switch rapid.IntRange(0, 3).Draw(t, "step") {
					case 0, 1:
						account := rapid.IntRange(0, 3).Draw(t, "account")
						w := naive.Item{
							ID:        id,
							Deadline:  start.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "deadline")) * time.Millisecond),
							Remaining: time.Duration(rapid.IntRange(0, 10).Draw(t, "remaining")) * time.Millisecond,
							Account:   account,
							Weight:    1 << account,
						}
						ref.Push(w)
						handles[id] = q.Push(id, Item{Deadline: w.Deadline, Remaining: w.Remaining, Account: account, Weight: w.Weight})
					case 2:
						got, ok := q.Pop()
						if !ok {
							got = -1
						}
						if want := ref.Pop(); got != want {
							t.Fatalf("Pop returned %d, the naive queue %d", got, want)
						}
					case 3:
						victim := rapid.IntRange(0, max(id, 1)).Draw(t, "victim")
						if got, want := q.Remove(handles[victim]), ref.Remove(victim); got != want {
							t.Fatalf("Remove of %d returned %v, the naive queue %v", victim, got, want)
						}
					}
				}
				for want := ref.Pop(); want != -1; want = ref.Pop() {
					if got, _ := q.Pop(); got != want {
						t.Fatalf("Pop while draining returned %d, the naive queue %d", got, want)
					}
				}
			})
		})
	}
}
