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
		j := newSubmissions()
		b := j.add("leader")
		time.AfterFunc(9*time.Second, func() { j.deliverResults(&wire.StagesDone{ID: b.id, Handles: []string{"h"}}) })
		d, err := b.awaitResults(context.Background(), func() { j.deliverVerdict(&wire.StagesAdmission{ID: b.id, Accepted: true}) })
		if err != nil || len(d.Handles) != 1 {
			t.Fatalf("slow leader: %v, %v", d, err)
		}
	})
}

// TestSilentLeaderLosesWork guards against work that stays with a leader which does not answer: it
// counts as lost within a second.
func TestSilentLeaderLosesWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newSubmissions().add("leader")
		started := time.Now()
		_, err := b.awaitResults(context.Background(), func() {})
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
		j := newSubmissions()
		b := j.add("leader")
		_, err := b.awaitResults(context.Background(), func() { j.deliverVerdict(&wire.StagesAdmission{ID: b.id}) })
		if !errors.Is(err, errLeaderLost) {
			t.Fatalf("got %v, want errLeaderLost", err)
		}
	})
}

// TestSuspectedLeaderLosesAllWork guards against each job waiting for its own timeout at a leader
// that does not answer: one missed answer moves all work away. The suspicion lasts longer each time
// until the leader is heard from.
func TestSuspectedLeaderLosesAllWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		j := newSubmissions()
		waiting := j.add("leader")
		go func() {
			time.Sleep(50 * time.Millisecond)
			j.suspect(time.Now(), "leader")
		}()
		started := time.Now()
		if _, err := waiting.awaitResults(context.Background(), func() {}); !errors.Is(err, errLeaderLost) {
			t.Fatalf("got %v, want errLeaderLost", err)
		}
		if took := time.Since(started); took > 60*time.Millisecond {
			t.Errorf("work moved after %v, want at once", took)
		}
		time.Sleep(minSuspectPeriod + 50*time.Millisecond)
		if j.suspected(time.Now(), "leader") {
			t.Error("still suspected after the first suspicion ended")
		}
		j.suspect(time.Now(), "leader")
		time.Sleep(minSuspectPeriod + 50*time.Millisecond)
		if !j.suspected(time.Now(), "leader") {
			t.Error("the second suspicion in a row does not last longer than the first")
		}
		j.clearSuspicion("leader")
		if j.suspected(time.Now(), "leader") {
			t.Error("suspected after it was heard from")
		}
	})
}
