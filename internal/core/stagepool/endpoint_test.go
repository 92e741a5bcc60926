package stagepool

import (
	"testing"
	"time"

	"gradetiller.example/internal/core/catalog"
)

// TestRecoveredWorkerIsUsedAtOnce has an endpoint that was five times slower than
// the others make one call at its usual speed: it takes its share again, also
// before the next trial is due.
func TestRecoveredWorkerIsUsedAtOnce(t *testing.T) {
	const expected = 300 * time.Millisecond
	now := time.Unix(1000, 0)
	w := &endpoint{speed: 5, measured: now}
	if w.fastEnough(now.Add(time.Second), 1) {
		t.Fatal("an endpoint of a fifth of the others' speed is used")
	}
	now = now.Add(slowProbeInterval + expected)
	w.recordLatency(now, expected, expected)
	if !w.fastEnough(now, 1) {
		t.Errorf("after a call in its expected time the endpoint counts as %.1f times slower", w.speed)
	}
}

// roomyEndpoint has room for 12 results of 1.5 MB that live for 4 s.
func roomyEndpoint() *endpoint {
	s := &service{conf: catalog.Batching{Room: 18_600_000, ResultLife: 4 * time.Second, Batch: 8}}
	return &endpoint{service: s, speed: 1, results: make(map[*result]struct{})}
}

// TestForeignRoomIsBelievedForAResultsLife has a result find no room at an
// endpoint where this leader holds nothing, as after all nodes were killed: room
// comes back evenly within the life of a result, and smaller results still go.
func TestForeignRoomIsBelievedForAResultsLife(t *testing.T) {
	const big = 1_500_000
	now := time.Unix(1000, 0)
	w := roomyEndpoint()
	w.observeFull(now, big)
	if room := w.freeRoom(now); room != big-1 {
		t.Errorf("room for %d bytes, want less than one result and all that is smaller", room)
	}
	last := int64(0)
	for at := 500 * time.Millisecond; at < 4*time.Second; at += 500 * time.Millisecond {
		room := w.freeRoom(now.Add(at))
		if room <= last || room >= w.usableRoom() {
			t.Errorf("after %v room for %d bytes, %d before, %d in all", at, room, last, w.usableRoom())
		}
		last = room
	}
	if room := w.freeRoom(now.Add(4 * time.Second)); room != w.usableRoom() {
		t.Errorf("after the life of a result room for %d bytes, want all %d", room, w.usableRoom())
	}
	// A second time without room within that life does not make it longer.
	w.observeFull(now.Add(3*time.Second), big)
	if room := w.freeRoom(now.Add(4 * time.Second)); room != w.usableRoom() {
		t.Errorf("room for %d bytes when the first results have ended, want all %d", room, w.usableRoom())
	}
}

// TestFoundRoomShrinksTheBelief has calls find room for all their results: the
// other leader gives its results up earlier than at the end of their life.
func TestFoundRoomShrinksTheBelief(t *testing.T) {
	now := time.Unix(1000, 0)
	w := roomyEndpoint()
	w.observeFull(now, 1_500_000)
	for range 7 {
		now = now.Add(100 * time.Millisecond)
		w.observeRoom(now)
	}
	if room := w.freeRoom(now); room != w.usableRoom() {
		t.Errorf("room for %d bytes after seven calls that found room, want all %d", room, w.usableRoom())
	}
}
