package stagepool

import (
	"testing"
	"time"

	"gradetiller.example/internal/core/catalog"
)

// TestRecoveredEndpointIsUsedAtOnce guards against an endpoint that stays excluded as slow after it
// has recovered. It was five times slower than the others; after one call at normal speed it is
// used again, without waiting for the next probe.
func TestRecoveredEndpointIsUsedAtOnce(t *testing.T) {
	const expected = 300 * time.Millisecond
	now := time.Unix(1000, 0)
	w := &endpoint{speed: 5, measuredAt: now}
	if w.fastEnough(now.Add(time.Second), 1) {
		t.Fatal("an endpoint five times slower than the others is used")
	}
	now = now.Add(slowProbeInterval + expected)
	w.recordLatency(now, expected, expected)
	if !w.fastEnough(now, 1) {
		t.Errorf("after a call of the expected duration the endpoint has speed %.1f", w.speed)
	}
}

// newTestEndpoint returns an endpoint with room for 12 results of 1.5 MB that live for 4 s.
func newTestEndpoint() *endpoint {
	s := &service{conf: catalog.Batching{ResultCapacity: 18_600_000, ResultTTL: 4 * time.Second, Batch: 8}}
	return &endpoint{service: s, speed: 1, results: make(map[*result]struct{})}
}

// TestForeignRoomEstimateExpires guards against calls for which there is no room, and against room
// that stays unused, when another leader's results fill an endpoint, as after the loss of all
// nodes. Room is assumed to come back linearly within the lifetime of a result, and smaller results
// are still sent.
func TestForeignRoomEstimateExpires(t *testing.T) {
	const big = 1_500_000
	now := time.Unix(1000, 0)
	w := newTestEndpoint()
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
		t.Errorf("after the lifetime of a result room for %d bytes, want all %d", room, w.usableRoom())
	}
	// Finding no room again within that lifetime doesn't extend the estimate.
	w.observeFull(now.Add(3*time.Second), big)
	if room := w.freeRoom(now.Add(4 * time.Second)); room != w.usableRoom() {
		t.Errorf("room for %d bytes when the first results have ended, want all %d", room, w.usableRoom())
	}
}

// TestFoundRoomLowersTheEstimate guards against room that stays unused although calls find room for
// all their results, because the other leader frees its results before they expire.
func TestFoundRoomLowersTheEstimate(t *testing.T) {
	now := time.Unix(1000, 0)
	w := newTestEndpoint()
	w.observeFull(now, 1_500_000)
	for range 7 {
		now = now.Add(100 * time.Millisecond)
		w.observeRoom(now)
	}
	if room := w.freeRoom(now); room != w.usableRoom() {
		t.Errorf("room for %d bytes after seven calls that found room, want all %d", room, w.usableRoom())
	}
}
