package soak

import (
	"net/http"
	"testing"
	"time"
)

// TestHistoryChecks runs the checks of TestConfigurationBounds on responses whose verdict is
// known, because a check that cannot fail would go unnoticed otherwise.
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
		name    string
		answer  observation
		sent    float64
		disturb func(*history)
		late    bool
	}{
		{name: "older within the bound", answer: older, sent: 12.9},
		{name: "older beyond the bound", answer: older, sent: 13.1, late: true},
		{name: "newer beyond the bound", answer: newer, sent: 13.1},
		{name: "newer before it was sent", answer: newer, sent: 9, late: true},
		{name: "added route not found", answer: observation{kind: probeMany, status: http.StatusNotFound}, sent: 13.1, late: true},
		{name: "removed key accepted", answer: observation{kind: probeKey, version: 1, status: http.StatusOK}, sent: 13.1, late: true},
		{name: "added key refused", answer: observation{kind: probeKey, version: 3, status: http.StatusUnauthorized}, sent: 13.1, late: true},
		{name: "refusal because no worker is available", answer: observation{kind: probeMoved, status: http.StatusServiceUnavailable}, sent: 13.1},
		{name: "401 that no version explains", answer: observation{kind: probeMoved, status: http.StatusUnauthorized}, sent: 5, late: true},
		{name: "node disturbed within the contact time", answer: older, sent: 13.1, disturb: func(h *history) { h.disturbed[0] = []span{{from: at(8), to: at(9.5)}} }},
		{name: "another node disturbed", answer: older, sent: 13.1, disturb: func(h *history) { h.disturbed[1] = []span{{from: at(8), to: at(9.5)}} }, late: true},
		{name: "node disturbed before the contact time", answer: older, sent: 13.1, disturb: func(h *history) { h.disturbed[0] = []span{{from: at(8), to: at(9)}} }, late: true},
		{name: "store unavailable", answer: older, sent: 13.1, disturb: func(h *history) { h.storeOutages = []span{{from: at(12)}} }},
		{name: "store unavailable to some nodes within the skew", answer: older, sent: 13.1, disturb: func(h *history) { h.partialOutages = []span{{from: at(12)}} }},
		{name: "store unavailable to some nodes beyond the skew", answer: older, sent: 19.1, disturb: func(h *history) { h.partialOutages = []span{{from: at(12)}} }, late: true},
	} {
		h := newHistory()
		if c.disturb != nil {
			c.disturb(h)
		}
		o := c.answer
		o.sent, o.got = at(c.sent), at(c.sent+0.01)
		if violation := h.checkStale(o); (violation != "") != c.late {
			t.Errorf("%s: got %q, want a violation: %v", c.name, violation, c.late)
		}
	}
	h := newHistory()
	observed := func(o observation, s float64) observation { o.sent, o.got = at(s), at(s+0.01); return o }
	if found := h.findRollbacks([]observation{observed(newer, 11), observed(older, 11.2)}); len(found) > 0 {
		t.Errorf("older response 190 ms after a newer one: %v", found)
	}
	if found := h.findRollbacks([]observation{observed(older, 11.4), observed(newer, 11)}); len(found) != 1 {
		t.Errorf("older response 390 ms after a newer one: %v", found)
	}
	slow := observation{kind: probeUnresponsive, status: http.StatusGatewayTimeout, sent: at(20), got: at(21.2)}
	if overdue := h.overdue(slow); overdue != 700*time.Millisecond {
		t.Errorf("response after 1.2 s on a route with a timeout of 0.5 s: overdue by %v, want 700ms", overdue)
	}
}
