package socket

import (
	"context"
	"net"
	"testing"
)

// TestRefuses checks that only an address without a listener refuses: not one with a listener, and
// not one whose probe was canceled.
func TestRefuses(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	if Refuses(context.Background(), address) {
		t.Error("an address with a listener refuses")
	}
	_ = listener.Close()
	if !Refuses(context.Background(), address) {
		t.Error("an address without a listener does not refuse")
	}
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	if Refuses(canceled, address) {
		t.Error("a canceled probe counts as a refusal")
	}
}
