package contain

import (
	"errors"
	"net/http"
	"strings"
	"testing"
)

// TestCall guards against a panic that ends the process, and against one that is passed on but should end its handler.
func TestCall(t *testing.T) {
	var size int
	err := Call(func() error { _ = make([]byte, size-1); return nil })
	var p *PanicError
	if !errors.As(err, &p) || !strings.Contains(p.Error(), "makeslice") || !strings.Contains(string(p.Stack()), "TestCall") {
		t.Errorf("a panic is returned as %v", err)
	}
	want := errors.New("usual")
	if err := Call(func() error { return want }); !errors.Is(err, want) {
		t.Errorf("an error is returned as %v", err)
	}
	defer func() {
		if got := recover(); got != http.ErrAbortHandler {
			t.Errorf("http.ErrAbortHandler is passed on as %v", got)
		}
	}()
	_ = Call(func() error { panic(http.ErrAbortHandler) })
}
