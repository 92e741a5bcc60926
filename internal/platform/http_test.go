package platform

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gradetiller.example/internal/bounded"
)

// TestResponsesAreBounded guards against an object that is cut at its bound and returned as if it were whole.
func TestResponsesAreBounded(t *testing.T) {
	size := maxBodyBytes
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", size))
	}))
	defer server.Close()
	h, err := NewHTTP(server.URL)
	if err != nil {
		t.Fatal(err)
	}
	if data, err := h.Get(t.Context(), "largest"); err != nil || len(data) != size {
		t.Errorf("the largest object: %d bytes, %v", len(data), err)
	}
	size++
	if data, err := h.Get(t.Context(), "larger"); !errors.Is(err, bounded.ErrLimit) || data != nil {
		t.Errorf("a larger object: %d bytes, %v; want an error that names the limit", len(data), err)
	}
}
