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

// longStop is a planned stop that no test waits out.
const longStop = time.Minute

// TestStopTakesWhatItCanEnd asks a node that has been told to stop.
//
// What a caller sees: its request is taken, and the connection is closed
// without an answer when the process ends.
// How it comes about: the stop has a last moment, and the request's deadline
// lies behind it.
// The cause: until the node closes it takes every request, although it knows
// when it ends.
// What proves it: of two requests alike, the node refuses as draining the one
// that it can't finish, runs no stage of it, and takes the other.
func TestStopTakesWhatItCanEnd(t *testing.T) {
	for _, c := range []struct {
		name   string
		stop   time.Duration
		refuse bool
	}{
		// Requests have 2 s.
		{"ends before the deadline", time.Second, true},
		{"ends after the deadline", longStop, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSystem(t, 1)
			caller := s.client(0, client.WithRetries(0))
			if _, err := caller.Run(context.Background(), request("plan", "before")); err != nil {
				t.Fatal(err)
			}
			s.startStop(c.stop)
			_, err := caller.Run(context.Background(), request("plan", "late"))
			if !c.refuse {
				if err != nil {
					t.Fatalf("a request that ends in time: %v", err)
				}
				return
			}
			var f *failure.Error
			if !errors.As(err, &f) || f.Kind() != failure.Draining || f.RetryAfter() <= 0 {
				t.Fatalf("answer %v, want %v and a time to come back", err, failure.Draining)
			}
			if n := s.runs("prep", "late"); n != 0 {
				t.Fatalf("ran %d times although it was refused", n)
			}
		})
	}
}

// startStop has the first node begin a planned stop that lasts at most d, and
// ends it with the test.
func (s *system) startStop(d time.Duration) {
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

// doubtfulStore loses the answer of every write, and fails its first reads.
type doubtfulStore struct {
	Store
	fails atomic.Int64 // reads that fail yet
}

func (d *doubtfulStore) Write(ctx context.Context, puts []ledger.Put) ledger.WriteResult {
	d.Store.Write(ctx, puts)
	return ledger.WriteResult{Kind: ledger.WriteUnknown}
}

func (d *doubtfulStore) Read(ctx context.Context, keys []string) ([]ledger.Row, error) {
	if d.fails.Add(-1) >= 0 {
		return nil, errors.New("the store does not answer")
	}
	return d.Store.Read(ctx, keys)
}

// TestStopKeepsNotRun stops a node that has told "not run" of a request that
// must run at most once.
//
// What a caller sees: it asks another node for the request again, as it may,
// and is told that it was started before. It never runs.
// How it comes about: the started record got into the store, its answer did
// not come, and the mark that takes it back waits for the store.
// The cause: the stop waits for requests in flight, and ends the process while
// marks wait.
// What proves it: when the stop has ended, another node runs the request.
func TestStopKeepsNotRun(t *testing.T) {
	s := newSystem(t, 2)
	store := &doubtfulStore{Store: s.nodes[0].records.store}
	// One read belongs to the request, and a mark is tried again each second:
	// the store answers only after the node is closed.
	store.fails.Store(6)
	s.nodes[0].records.store = store
	_, err := s.runAt(0, "x")
	if failure.KindOf(err) != failure.StoreAway {
		t.Fatalf("answer %v, want %v", err, failure.StoreAway)
	}
	ctx, cancel := context.WithTimeout(context.Background(), longStop)
	defer cancel()
	s.nodes[0].Drain(ctx)
	// The process is gone from here on.
	store.fails.Store(1 << 30)
	if output, err := s.runAt(1, "x"); err != nil {
		t.Fatalf("asking another node again: %q, %v", output, err)
	}
	if n := s.runs("desk", "x"); n != 1 {
		t.Fatalf("ran %d times", n)
	}
}

// slowStore holds its answers back until it is released.
type slowStore struct {
	Store
	asked    chan struct{}
	released chan struct{}
}

func (d *slowStore) Write(ctx context.Context, puts []ledger.Put) ledger.WriteResult {
	result := d.Store.Write(ctx, puts)
	select {
	case d.asked <- struct{}{}:
	default:
	}
	<-d.released
	return result
}

// TestSettleTakesRecordsBack ends a stop while the started record of a request
// is being stored. The caller is told "not run" at once; when Settle returns,
// another node runs the request.
func TestSettleTakesRecordsBack(t *testing.T) {
	s := newSystem(t, 2)
	store := &slowStore{Store: s.nodes[0].records.store, asked: make(chan struct{}, 1), released: make(chan struct{})}
	s.nodes[0].records.store = store
	result := make(chan error, 1)
	go func() {
		_, err := s.runAt(0, "x")
		result <- err
	}()
	<-store.asked
	over, cancel := context.WithCancel(context.Background())
	cancel()
	s.nodes[0].Drain(over)
	if err := <-result; failure.KindOf(err) != failure.Draining {
		t.Fatalf("answer %v, want %v", err, failure.Draining)
	}
	close(store.released)
	ctx, cancel := context.WithTimeout(context.Background(), longStop)
	defer cancel()
	s.nodes[0].AwaitRecords(ctx)
	if output, err := s.runAt(1, "x"); err != nil {
		t.Fatalf("asking another node again: %q, %v", output, err)
	}
}

// runAt asks one node for a request that must run at most once.
func (s *system) runAt(node int, id string) (string, error) {
	w := s.nodes[node].Submit(run.Request{Account: "a", Pipeline: "sell", RequestID: id, Input: []byte("req=" + id + ";text")})
	for range w.wake {
		if _, end := w.take(); end != nil {
			if end.Err != nil {
				return "", end.Err
			}
			return string(end.Output), nil
		}
	}
	return "", errors.New("the run never ended")
}
