package entry

import (
	"context"
	"fmt"
	"testing"

	"gradetiller.example/client"
	"gradetiller.example/failure"
	"gradetiller.example/internal/core/ledger"
)

// TestRecordsAreForwarded checks that a request id runs only once with more
// nodes than shards, where records are forwarded to the writer of their shard,
// and also if no writer is reachable, where each node writes its own records.
func TestRecordsAreForwarded(t *testing.T) {
	s := newSystem(t, ledger.Shards+4)
	forwarded := 0
	for i := range 24 {
		id := fmt.Sprint("f", i)
		if ledger.Writer(recordKey("a", id), "n0", s.nodes[0].records.nodes) != "n0" {
			forwarded++
		}
		s.submitTwice(id)
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
		s.submitTwice(fmt.Sprint("g", i))
	}
}

// submitTwice sends the same at-most-once request to two nodes, and checks that
// the second refuses it.
func (s *system) submitTwice(id string) {
	s.t.Helper()
	if _, err := s.client(0, client.WithRetries(0)).Run(context.Background(), request("sell", id)); err != nil {
		s.t.Fatalf("first time: %v", err)
	}
	_, err := s.client(1, client.WithRetries(0)).Run(context.Background(), request("sell", id))
	if failure.KindOf(err) != failure.AlreadyStarted || s.runs("desk", id) != 1 {
		s.t.Fatalf("second time: %v, ran %d times", err, s.runs("desk", id))
	}
}
