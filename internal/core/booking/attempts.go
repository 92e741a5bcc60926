package booking

import (
	"time"

	"gradetiller.example/internal/core/poison"
)

// maxAttempts bounds the rejected requests that are remembered: 2,000 rejections per second whose
// clients wait 8 s.
const maxAttempts = 16_384

// attempts remembers which requests were rejected and which of them returned, until their clients have
// no patience left. A client returns once, so that a request that returned needs no booking.
type attempts struct {
	byContent map[poison.ID]attempt
	sweptAt   time.Time
}

type attempt struct {
	until    time.Time
	returned bool
}

func newAttempts() attempts { return attempts{byContent: make(map[poison.ID]attempt)} }

// arrive records that a request arrives.
func (a *attempts) arrive(now time.Time, content poison.ID) {
	if known, ok := a.byContent[content]; ok && !now.After(known.until) {
		known.returned = true
		a.byContent[content] = known
	}
}

// reject records that a request is rejected.
func (a *attempts) reject(now time.Time, content poison.ID, patience time.Duration) {
	known, ok := a.byContent[content]
	if content == (poison.ID{}) || !ok && len(a.byContent) >= maxAttempts {
		return
	}
	if now.After(known.until) {
		known.returned = false
	}
	known.until = now.Add(patience + grace)
	a.byContent[content] = known
}

// returned reports whether a request returned after a rejection.
func (a *attempts) returned(now time.Time, content poison.ID) bool {
	known, ok := a.byContent[content]
	return ok && known.returned && !now.After(known.until)
}

func (a *attempts) expire(now time.Time) {
	if now.Sub(a.sweptAt) < time.Second {
		return
	}
	a.sweptAt = now
	for content, known := range a.byContent {
		if now.After(known.until) {
			delete(a.byContent, content)
		}
	}
}
