package stagepool

import (
	"testing"
	"time"
)

// TestRecoveredWorkerIsUsedAtOnce has an endpoint that was five times slower than
// the others make one call at its usual speed: it takes its share again, also
// before the next trial is due.
func TestRecoveredWorkerIsUsedAtOnce(t *testing.T) {
	const expected = 300 * time.Millisecond
	now := time.Unix(1000, 0)
	w := &endpoint{speed: 5, measured: now}
	if w.usable(now.Add(time.Second), 1) {
		t.Fatal("an endpoint of a fifth of the others' speed is used")
	}
	now = now.Add(slowProbe + expected)
	w.took(now, expected, expected)
	if !w.usable(now, 1) {
		t.Errorf("after a call in its expected time the endpoint counts as %.1f times slower", w.speed)
	}
}
