package node

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"gradetiller.example/platform"
	"gradetiller.example/platform/platformtest"
)

// TestLookupUnavailableUntilJoined guards against a starting node that answers lookups with its own
// address alone, which would send all clients to it. It answers 503 until it knows the other nodes,
// or that there are none.
func TestLookupUnavailableUntilJoined(t *testing.T) {
	n := newNode(t, platformtest.NewSite(t), "127.0.0.1:1")
	lookUp := func() int {
		w := httptest.NewRecorder()
		n.serveLookup(w, httptest.NewRequest(http.MethodGet, platform.LookupPath, nil))
		return w.Code
	}
	if status := lookUp(); status != http.StatusServiceUnavailable {
		t.Errorf("lookup got %d before the node joined, want 503", status)
	}
	n.hasJoined.Store(true)
	if status := lookUp(); status != http.StatusOK {
		t.Errorf("lookup got %d after the node joined, want 200", status)
	}
}
