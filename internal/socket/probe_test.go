package socket

import (
	"context"
	"net"
	"testing"
)

// TestRefuses asks an address with a listener, and the same one after it closed.
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
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	if Refuses(ended, address) {
		t.Error("a question that was given up counts as a refusal")
	}
}
