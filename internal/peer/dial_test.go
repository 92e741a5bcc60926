package peer

import (
	"context"
	"net"
	"os"
	"testing"
	"time"
)

// TestSilentPeerIsDialledAgain has the first attempts meet silence, as at an
// instance that is still without power: a further one opens the connection.
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
	conn, err := attemptDials(t.Context(), "peer", dial)
	if err != nil {
		t.Fatalf("after %d attempts: %v", attempts, err)
	}
	_ = conn.Close()
	if attempts != 3 {
		t.Errorf("%d attempts, want 3", attempts)
	}
}

// TestDialEndsWhenNoTimeIsLeft has attempts fail at once with the error of an
// expired deadline while the context's timer has not fired. Dialling on kept a
// processor busy for good.
func TestDialEndsWhenNoTimeIsLeft(t *testing.T) {
	attempts := 0
	dial := func(context.Context, string, time.Duration) (net.Conn, error) {
		attempts++
		if attempts > 100 {
			panic("the dial goes on for ever")
		}
		return nil, os.ErrDeadlineExceeded
	}
	if _, err := attemptDials(t.Context(), "peer", dial); err == nil || attempts != 1 {
		t.Errorf("%d attempts, error %v; want one attempt and its error", attempts, err)
	}
}
