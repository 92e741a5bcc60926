package socket

import (
	"context"
	"net"
	"testing"
)

// TestProbe checks that only an address without a listener refuses: not one with a listener, and
// not one whose probe was canceled. Only the one with a listener accepts.
func TestProbe(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	if got := Probe(context.Background(), dial(address)); got != Accepted {
		t.Errorf("an address with a listener: answer %d", got)
	}
	_ = listener.Close()
	if got := Probe(context.Background(), dial(address)); got != Refused {
		t.Errorf("an address without a listener: answer %d", got)
	}
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	if got := Probe(canceled, dial(address)); got != NoAnswer {
		t.Errorf("a canceled probe counts as answer %d", got)
	}
}

func dial(address string) func(context.Context) (net.Conn, error) {
	return func(ctx context.Context) (net.Conn, error) { return (&net.Dialer{}).DialContext(ctx, "tcp", address) }
}
