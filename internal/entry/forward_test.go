package entry

import (
	"context"
	"fmt"
	"testing"

	"gradetiller.example/client"
	"gradetiller.example/failure"
	"gradetiller.example/internal/core/ledger"
)

// TestRecordsAreForwarded runs more nodes than there are shards: requests that
// may run at most once are recorded by their shards' writers, and when every
// writer's peer port is gone each node writes for itself. A request id runs
// once in either case.
func TestRecordsAreForwarded(t *testing.T) {
	s := newSystem(t, ledger.Shards+4)
	forwarded := 0
	for i := range 24 {
		id := fmt.Sprint("f", i)
		if ledger.Writer(recordKey("a", id), "n0", s.nodes[0].records.nodes) != "n0" {
			forwarded++
		}
		s.sellTwice(id)
	}
	if forwarded == 0 {
		t.Fatal("no request of the test was forwarded")
	}
	for _, n := range s.nodes {
		n.records.mu.Lock()
		for name := range n.records.peers {
			n.records.peers[name] = "127.0.0.1:1"
		}
		n.records.mu.Unlock()
	}
	for i := range 6 {
		s.sellTwice(fmt.Sprint("g", i))
	}
}

// sellTwice asks for a request on one node and again on another.
func (s *system) sellTwice(id string) {
	s.t.Helper()
	if _, err := s.client(0, client.WithRetries(0)).Run(context.Background(), request("sell", id)); err != nil {
		s.t.Fatalf("first time: %v", err)
	}
	_, err := s.client(1, client.WithRetries(0)).Run(context.Background(), request("sell", id))
	if failure.KindOf(err) != failure.AlreadyStarted || s.runs("desk", id) != 1 {
		s.t.Fatalf("second time: %v, ran %d times", err, s.runs("desk", id))
	}
}
