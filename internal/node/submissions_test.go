package node

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gradetiller.example/internal/wire"
)

// TestSlowLeaderKeepsWork guards against work that is moved away from a leader that is slow but
// alive, which left two leaders at the same endpoints. As long as the leader answers pings, the
// node waits for its results.
func TestSlowLeaderKeepsWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSubmissions()
		sub := s.add("leader")
		time.AfterFunc(9*time.Second, func() { s.deliverResults(&wire.StagesDone{ID: sub.id, Handles: []string{"h"}}) })
		d, err := sub.awaitResults(context.Background(), func() { s.deliverVerdict(&wire.StagesAdmission{ID: sub.id, Accepted: true}) })
		if err != nil || len(d.Handles) != 1 {
			t.Fatalf("slow leader: %v, %v", d, err)
		}
	})
}

// TestUnresponsiveLeaderLosesWork guards against work that stays with a leader which does not
// answer: it counts as lost within a second.
func TestUnresponsiveLeaderLosesWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sub := newSubmissions().add("leader")
		started := time.Now()
		_, err := sub.awaitResults(context.Background(), func() {})
		if !errors.Is(err, errLeaderLost) {
			t.Fatalf("got %v, want errLeaderLost", err)
		}
		if took := time.Since(started); took > time.Second {
			t.Errorf("leader counted as lost after %v, want within 1s", took)
		}
	})
}

// TestRestartedLeaderLosesWork guards against waiting for a leader that restarted and no longer
// knows the work: it counts as lost at once.
func TestRestartedLeaderLosesWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSubmissions()
		sub := s.add("leader")
		_, err := sub.awaitResults(context.Background(), func() { s.deliverVerdict(&wire.StagesAdmission{ID: sub.id}) })
		if !errors.Is(err, errLeaderLost) {
			t.Fatalf("got %v, want errLeaderLost", err)
		}
	})
}

// TestSuspectedLeaderLosesAllWork guards against each submission waiting for its own timeout at a
// leader that does not answer: one missed answer moves all work away. The suspicion lasts longer
// each time until a message from the leader arrives.
func TestSuspectedLeaderLosesAllWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSubmissions()
		waiting := s.add("leader")
		go func() {
			time.Sleep(50 * time.Millisecond)
			s.suspect(time.Now(), "leader")
		}()
		started := time.Now()
		if _, err := waiting.awaitResults(context.Background(), func() {}); !errors.Is(err, errLeaderLost) {
			t.Fatalf("got %v, want errLeaderLost", err)
		}
		if took := time.Since(started); took > 60*time.Millisecond {
			t.Errorf("work moved after %v, want at once", took)
		}
		time.Sleep(minSuspectPeriod + 50*time.Millisecond)
		if s.suspected(time.Now(), "leader") {
			t.Error("still suspected after the first suspicion ended")
		}
		s.suspect(time.Now(), "leader")
		time.Sleep(minSuspectPeriod + 50*time.Millisecond)
		if !s.suspected(time.Now(), "leader") {
			t.Error("the second suspicion in a row does not last longer than the first")
		}
		s.clearSuspicion("leader")
		if s.suspected(time.Now(), "leader") {
			t.Error("suspected after a message from it arrived")
		}
	})
}
