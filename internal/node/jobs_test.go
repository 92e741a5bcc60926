package node

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gradetiller.example/internal/wire"
)

// TestSlowLeaderKeepsItsWork checks that a leader that answers pings is
// waited for, however long its results take, and that a silent one is given
// up soon. A leader that was given up because it was slow used to leave two
// leaders at the same endpoints.
func TestSlowLeaderKeepsItsWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		j := newJobs()
		b := j.add("leader")
		time.AfterFunc(9*time.Second, func() { j.done(&wire.StagesDone{ID: b.id, Handles: []string{"h"}}) })
		d, err := b.awaitDone(context.Background(), func() { j.verdict(&wire.StagesVerdict{ID: b.id, Accepted: true}) })
		if err != nil || len(d.Handles) != 1 {
			t.Fatalf("slow leader: %v, %v", d, err)
		}
	})
}

func TestSilentLeaderIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newJobs().add("leader")
		started := time.Now()
		_, err := b.awaitDone(context.Background(), func() {})
		if !errors.Is(err, errLeaderLost) {
			t.Fatalf("got %v, want a lost leader", err)
		}
		if took := time.Since(started); took > time.Second {
			t.Errorf("given up after %v, want within a second", took)
		}
	})
}

// TestLeaderThatForgot checks that a leader that was started anew, and does
// not know the work, is given up at once.
func TestLeaderThatForgot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		j := newJobs()
		b := j.add("leader")
		_, err := b.awaitDone(context.Background(), func() { j.verdict(&wire.StagesVerdict{ID: b.id}) })
		if !errors.Is(err, errLeaderLost) {
			t.Fatalf("got %v, want a lost leader", err)
		}
	})
}
