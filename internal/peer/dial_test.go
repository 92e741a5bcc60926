package peer

import (
	"context"
	"net"
	"os"
	"testing"
	"time"
)

// TestSilentPeerIsDialledAgain checks that attempts that time out are repeated. Otherwise an
// instance that is still without power at the first attempt would count as unreachable.
func TestSilentPeerIsDialledAgain(t *testing.T) {
	attempts := 0
	dial := func(_ context.Context, _ string, timeout time.Duration) (net.Conn, error) {
		attempts++
		if attempts < 3 {
			time.Sleep(timeout)
			return nil, os.ErrDeadlineExceeded
		}
		conn, other := net.Pipe()
		_ = other.Close()
		return conn, nil
	}
	conn, err := dialWithRetries(t.Context(), "peer", dial)
	if err != nil {
		t.Fatalf("after %d attempts: %v", attempts, err)
	}
	_ = conn.Close()
	if attempts != 3 {
		t.Errorf("%d attempts, want 3", attempts)
	}
}

// TestDialEndsWhenNoTimeIsLeft guards against a busy loop: attempts fail at once because the
// deadline has passed, while the timer of the context has not fired yet.
func TestDialEndsWhenNoTimeIsLeft(t *testing.T) {
	attempts := 0
	dial := func(context.Context, string, time.Duration) (net.Conn, error) {
		attempts++
		if attempts > 100 {
			panic("dialing does not end")
		}
		return nil, os.ErrDeadlineExceeded
	}
	if _, err := dialWithRetries(t.Context(), "peer", dial); err == nil || attempts != 1 {
		t.Errorf("%d attempts, error %v; want one attempt and its error", attempts, err)
	}
}
