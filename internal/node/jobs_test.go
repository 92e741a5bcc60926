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
		j := newSubmissions()
		b := j.add("leader")
		time.AfterFunc(9*time.Second, func() { j.deliverResults(&wire.StagesDone{ID: b.id, Handles: []string{"h"}}) })
		d, err := b.awaitResults(context.Background(), func() { j.deliverVerdict(&wire.StagesVerdict{ID: b.id, Accepted: true}) })
		if err != nil || len(d.Handles) != 1 {
			t.Fatalf("slow leader: %v, %v", d, err)
		}
	})
}

func TestSilentLeaderIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newSubmissions().add("leader")
		started := time.Now()
		_, err := b.awaitResults(context.Background(), func() {})
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
		j := newSubmissions()
		b := j.add("leader")
		_, err := b.awaitResults(context.Background(), func() { j.deliverVerdict(&wire.StagesVerdict{ID: b.id}) })
		if !errors.Is(err, errLeaderLost) {
			t.Fatalf("got %v, want a lost leader", err)
		}
	})
}

// TestFrozenLeaderIsLeftByAll checks that one missed answer moves all work
// away from a leader, that the suspicion grows while nothing is heard of it,
// and that a sign of life ends it.
func TestFrozenLeaderIsLeftByAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		j := newSubmissions()
		waiting := j.add("leader")
		go func() {
			time.Sleep(50 * time.Millisecond)
			j.suspect(time.Now(), "leader")
		}()
		started := time.Now()
		if _, err := waiting.awaitResults(context.Background(), func() {}); !errors.Is(err, errLeaderLost) {
			t.Fatalf("got %v", err)
		}
		if took := time.Since(started); took > 60*time.Millisecond {
			t.Errorf("moved after %v, want at once", took)
		}
		time.Sleep(minSuspectPeriod + 50*time.Millisecond)
		if j.suspected(time.Now(), "leader") {
			t.Error("still suspected after the first time")
		}
		j.suspect(time.Now(), "leader")
		time.Sleep(minSuspectPeriod + 50*time.Millisecond)
		if !j.suspected(time.Now(), "leader") {
			t.Error("the second suspicion in a row is no longer than the first")
		}
		j.clearSuspicion("leader")
		if j.suspected(time.Now(), "leader") {
			t.Error("suspected although it was heard of")
		}
	})
}
