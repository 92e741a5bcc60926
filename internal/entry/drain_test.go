package entry

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"gradetiller.example/client"
	"gradetiller.example/failure"
	"gradetiller.example/internal/core/ledger"
	"gradetiller.example/internal/core/run"
)

// longDrain is a drain timeout that no test reaches.
const longDrain = time.Minute

// TestDrainingNodeAdmitsOnlyWhatItCanFinish guards against a draining node that
// admits a request whose deadline is after the end of the process: the client's
// connection is then closed without an answer. The node must refuse such a
// request as draining, run no stage of it, and still admit a request that ends
// in time.
func TestDrainingNodeAdmitsOnlyWhatItCanFinish(t *testing.T) {
	for _, c := range []struct {
		name   string
		stop   time.Duration
		refuse bool
	}{
		// Requests have 2 s.
		{"ends before the deadline", time.Second, true},
		{"ends after the deadline", longDrain, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSystem(t, 1)
			caller := s.client(0, client.WithRetries(0))
			if _, err := caller.Run(context.Background(), request("plan", "before")); err != nil {
				t.Fatal(err)
			}
			s.startDrain(c.stop)
			_, err := caller.Run(context.Background(), request("plan", "late"))
			if !c.refuse {
				if err != nil {
					t.Fatalf("request that ends in time: %v", err)
				}
				return
			}
			var f *failure.Error
			if !errors.As(err, &f) || f.Kind() != failure.Draining || f.RetryAfter() <= 0 {
				t.Fatalf("answer %v, want %v and a retry delay", err, failure.Draining)
			}
			if n := s.runs("prep", "late"); n != 0 {
				t.Fatalf("ran %d times although it was refused", n)
			}
		})
	}
}

// startDrain starts draining the first node with a timeout of d, and cancels
// the drain when the test ends.
func (s *system) startDrain(d time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.nodes[0].Drain(ctx)
	}()
	s.t.Cleanup(func() {
		cancel()
		<-done
	})
	for !s.nodes[0].Leaving() {
		time.Sleep(time.Millisecond)
	}
}

// lossyStore loses the answer of every write, and fails its first reads.
type lossyStore struct {
	Store
	failingReads atomic.Int64 // remaining reads that fail
}

func (s *lossyStore) Write(ctx context.Context, puts []ledger.Put) ledger.WriteResult {
	s.Store.Write(ctx, puts)
	return ledger.WriteResult{Kind: ledger.WriteUnknown}
}

func (s *lossyStore) Read(ctx context.Context, keys []string) ([]ledger.Row, error) {
	if s.failingReads.Add(-1) >= 0 {
		return nil, errors.New("the store does not answer")
	}
	return s.Store.Read(ctx, keys)
}

// TestDrainAwaitsAbandonedMarks guards against a drain that ends before the
// store has the abandoned mark of an at-most-once request answered as "not
// run". The started record is in the store, the answer of its write was lost,
// and the mark waits for the store. If the process exits then, the client's
// retry on another node is refused as already started, and the request never
// runs. After the drain, another node must run it.
func TestDrainAwaitsAbandonedMarks(t *testing.T) {
	s := newSystem(t, 2)
	store := &lossyStore{Store: s.nodes[0].records.store}
	// The request makes one read, and the mark is retried every second, so the
	// store answers only after the node is closed.
	store.failingReads.Store(6)
	s.nodes[0].records.store = store
	_, err := s.submitAt(0, "x")
	if failure.KindOf(err) != failure.StoreAway {
		t.Fatalf("answer %v, want %v", err, failure.StoreAway)
	}
	ctx, cancel := context.WithTimeout(context.Background(), longDrain)
	defer cancel()
	s.nodes[0].Drain(ctx)
	// The process has exited: the node writes nothing from here on.
	store.failingReads.Store(1 << 30)
	if output, err := s.submitAt(1, "x"); err != nil {
		t.Fatalf("retry on another node: %q, %v", output, err)
	}
	if n := s.runs("desk", "x"); n != 1 {
		t.Fatalf("ran %d times", n)
	}
}

// slowStore delays the answers of writes until released is closed.
type slowStore struct {
	Store
	asked    chan struct{}
	released chan struct{}
}

func (s *slowStore) Write(ctx context.Context, puts []ledger.Put) ledger.WriteResult {
	result := s.Store.Write(ctx, puts)
	select {
	case s.asked <- struct{}{}:
	default:
	}
	<-s.released
	return result
}

// TestAwaitRecordsAbandonsRecords checks that a drain that times out while a
// started record is being written answers "not run" immediately, and that
// another node can run the request after AwaitRecords returns.
func TestAwaitRecordsAbandonsRecords(t *testing.T) {
	s := newSystem(t, 2)
	store := &slowStore{Store: s.nodes[0].records.store, asked: make(chan struct{}, 1), released: make(chan struct{})}
	s.nodes[0].records.store = store
	result := make(chan error, 1)
	go func() {
		_, err := s.submitAt(0, "x")
		result <- err
	}()
	<-store.asked
	expired, cancel := context.WithCancel(context.Background())
	cancel()
	s.nodes[0].Drain(expired)
	if err := <-result; failure.KindOf(err) != failure.Draining {
		t.Fatalf("answer %v, want %v", err, failure.Draining)
	}
	close(store.released)
	ctx, cancel := context.WithTimeout(context.Background(), longDrain)
	defer cancel()
	s.nodes[0].AwaitRecords(ctx)
	if output, err := s.submitAt(1, "x"); err != nil {
		t.Fatalf("retry on another node: %q, %v", output, err)
	}
}

// submitAt submits an at-most-once request to one node and waits for the result.
func (s *system) submitAt(node int, id string) (string, error) {
	submitted := s.nodes[node].Submit(run.Request{Account: "a", Pipeline: "sell", RequestID: id, Input: []byte("req=" + id + ";text")})
	for range submitted.wake {
		if _, end := submitted.take(); end != nil {
			if end.Err != nil {
				return "", end.Err
			}
			return string(end.Output), nil
		}
	}
	return "", errors.New("the run never ended")
}
