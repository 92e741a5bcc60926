package soak

import (
	"net/http"
	"testing"
	"time"
)

// TestHistoryChecks holds the check of bounds itself against answers of which it is
// known whether they are within: a check that could not fail would prove nothing.
func TestHistoryChecks(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	newHistory := func() *history {
		return &history{
			bounds: bounds{apply: 3 * time.Second, rollback: 250 * time.Millisecond, contact: 4 * time.Second, skew: 6 * time.Second},
			versions: []published{
				{version: 1, service: "desk", timeout: time.Second, sent: at(0), acknowledged: at(0)},
				{version: 3, service: "second-desk", hasManyRoutes: true, timeout: time.Second / 2, sent: at(10), acknowledged: at(10)},
			},
			disturbed: map[int][]span{},
		}
	}
	older := observation{kind: probeMoved, status: http.StatusOK, service: "desk"}
	newer := observation{kind: probeMark, version: 3, status: http.StatusOK}
	for _, c := range []struct {
		name   string
		answer observation
		sent   float64
		wrong  func(*history)
		late   bool
	}{
		{name: "older within the bound", answer: older, sent: 12.9},
		{name: "older beyond it", answer: older, sent: 13.1, late: true},
		{name: "newer beyond it", answer: newer, sent: 13.1},
		{name: "newer before it was sent", answer: newer, sent: 9, late: true},
		{name: "a route that was added", answer: observation{kind: probeMany, status: http.StatusNotFound}, sent: 13.1, late: true},
		{name: "a key that was dropped", answer: observation{kind: probeKey, version: 1, status: http.StatusOK}, sent: 13.1, late: true},
		{name: "a key that was added", answer: observation{kind: probeKey, version: 3, status: http.StatusUnauthorized}, sent: 13.1, late: true},
		{name: "a refusal for want of a worker", answer: observation{kind: probeMoved, status: http.StatusServiceUnavailable}, sent: 13.1},
		{name: "a 401 where none can be", answer: observation{kind: probeMoved, status: http.StatusUnauthorized}, sent: 5, late: true},
		{name: "the node was disturbed", answer: older, sent: 13.1, wrong: func(h *history) { h.disturbed[0] = []span{{from: at(8), to: at(9.5)}} }},
		{name: "another node was", answer: older, sent: 13.1, wrong: func(h *history) { h.disturbed[1] = []span{{from: at(8), to: at(9.5)}} }, late: true},
		{name: "the node was long before", answer: older, sent: 13.1, wrong: func(h *history) { h.disturbed[0] = []span{{from: at(8), to: at(9)}} }, late: true},
		{name: "the store is away", answer: older, sent: 13.1, wrong: func(h *history) { h.storeOutages = []span{{from: at(12)}} }},
		{name: "the store serves some", answer: older, sent: 13.1, wrong: func(h *history) { h.partialOutages = []span{{from: at(12)}} }},
		{name: "and for long", answer: older, sent: 19.1, wrong: func(h *history) { h.partialOutages = []span{{from: at(12)}} }, late: true},
	} {
		h := newHistory()
		if c.wrong != nil {
			c.wrong(h)
		}
		o := c.answer
		o.sent, o.got = at(c.sent), at(c.sent+0.01)
		if why := h.checkStale(o); (why != "") != c.late {
			t.Errorf("%s: judged %q, late should be %v", c.name, why, c.late)
		}
	}
	h := newHistory()
	seen := func(o observation, s float64) observation { o.sent, o.got = at(s), at(s+0.01); return o }
	if found := h.findRollbacks([]observation{seen(newer, 11), seen(older, 11.2)}); len(found) > 0 {
		t.Errorf("an older answer 190 ms after a newer one: %v", found)
	}
	if found := h.findRollbacks([]observation{seen(older, 11.4), seen(newer, 11)}); len(found) != 1 {
		t.Errorf("an older answer 390 ms after a newer one: %v", found)
	}
	slow := observation{kind: probeMute, status: http.StatusGatewayTimeout, sent: at(20), got: at(21.2)}
	if held := h.overdue(slow); held != 700*time.Millisecond {
		t.Errorf("an answer after 1.2 s on a route of 0.5 s is held for %v", held)
	}
}
