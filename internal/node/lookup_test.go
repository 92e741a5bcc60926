package node

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"gradetiller.example/platform"
	"gradetiller.example/platform/platformtest"
)

// TestLookupWaitsForOthers asks a node that has just started, and knows nobody, which
// nodes to use: it tells none until it knows the others, or that there are none.
func TestLookupUnavailableUntilJoined(t *testing.T) {
	n := newNode(t, platformtest.NewSite(t), "127.0.0.1:1")
	ask := func() int {
		w := httptest.NewRecorder()
		n.serveLookup(w, httptest.NewRequest(http.MethodGet, platform.LookupPath, nil))
		return w.Code
	}
	if status := ask(); status != http.StatusServiceUnavailable {
		t.Errorf("it answers %d before it knows the others", status)
	}
	n.hasJoined.Store(true)
	if status := ask(); status != http.StatusOK {
		t.Errorf("it answers %d once it knows them", status)
	}
}
