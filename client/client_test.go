package client

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gradetiller.example/failure"
)

// system is a locate answer and a handler of runs at one or more addresses.
type system struct {
	t         *testing.T
	runs      atomic.Int32
	addresses []string
}

// newSystem starts a server that names the given further addresses and itself.
func newSystem(t *testing.T, run http.HandlerFunc, further ...string) *system {
	s := &system{t: t}
	mux := http.NewServeMux()
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	s.addresses = append(further, server.Listener.Addr().String())
	mux.HandleFunc("GET /v1/locate", func(w http.ResponseWriter, _ *http.Request) {
		list := ""
		for i, a := range s.addresses {
			if i > 0 {
				list += ","
			}
			list += fmt.Sprintf("%q", a)
		}
		fmt.Fprintf(w, `{"addresses":[%s],"keep_ms":60000}`, list)
	})
	mux.HandleFunc("POST /v1/pipelines/p/run", func(w http.ResponseWriter, r *http.Request) {
		s.runs.Add(1)
		run(w, r)
	})
	return s
}

func (s *system) client() *Client {
	c, err := New("key", s.addresses[len(s.addresses)-1:])
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(c.Close)
	return c
}

func whole(w http.ResponseWriter, r *http.Request) {
	fmt.Fprintf(w, `{"request_id":%q,"output":"out","on_time":true}`, r.Header.Get("X-Request-Id"))
}

func cut(w http.ResponseWriter, _ *http.Request) {
	conn, _, _ := http.NewResponseController(w).Hijack()
	_ = conn.Close()
}

func refused(code string, status int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		fmt.Fprintf(w, `{"error":{"code":%q,"retry_after_ms":1}}`, code)
	}
}

// TestAsksAgainOnlyIfSafe checks how often a request is sent for each kind of
// failure, by whether it may be repeated.
func TestAsksAgainOnlyIfSafe(t *testing.T) {
	const all = defaultRetries + 1
	for _, c := range []struct {
		name         string
		run          http.HandlerFunc
		once, repeat int32
	}{
		{"whole", whole, 1, 1},
		{"not run", refused("overloaded", 503), all, all},
		{"not run, but asking again can't help", refused("bad_request", 400), 1, 1},
		{"failed", refused("stage_failed", 502), 1, 1},
		{"unknown", refused("stage_unknown", 502), 1, all},
		{"connection cut", cut, 1, all},
		{"unreadable answer", refused("", 500), 1, 1},
		{"answer of another request", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, `{"request_id":"other"}`) }, 1, all},
	} {
		for _, once := range []bool{true, false} {
			s := newSystem(t, c.run)
			_, _ = s.client().Run(context.Background(), Request{Pipeline: "p", ID: "r", Once: once, Deadline: 10 * time.Second})
			want := c.repeat
			if once {
				want = c.once
			}
			if got := s.runs.Load(); got != want {
				t.Errorf("%s, once %v: sent %d times, want %d", c.name, once, got, want)
			}
		}
	}
}

// TestGoesToTheNextAddress names an address that nobody listens on: requests
// that may run at most once are served all the same.
func TestGoesToTheNextAddress(t *testing.T) {
	s := newSystem(t, whole, "127.0.0.1:1")
	c := s.client()
	for i := range 10 {
		if _, err := c.Run(context.Background(), Request{Pipeline: "p", Once: true, Deadline: 5 * time.Second}); err != nil {
			t.Fatalf("request %d: %v", i, err)
		}
	}
}

// TestStreamEnd checks that a stream is whole only with its end event, whose
// length and digest fit, and that a stream is never asked for again once its
// text has begun.
func TestStreamEnd(t *testing.T) {
	sum := sha256.Sum256([]byte("ab"))
	good := hex.EncodeToString(sum[:])
	for _, c := range []struct {
		name, end string
		whole     bool
	}{
		{"whole", `{"end":true,"length":2,"sha256":"` + good + `"}`, true},
		{"cut", ``, false},
		{"wrong length", `{"end":true,"length":3,"sha256":"` + good + `"}`, false},
		{"wrong digest", `{"end":true,"length":2,"sha256":"00"}`, false},
		{"error", `{"error":{"code":"stage_unknown"}}`, false},
	} {
		s := newSystem(t, func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprintf(w, "{\"text\":\"a\"}\n{\"text\":\"b\"}\n%s\n", c.end)
		})
		answer, err := s.client().Stream(context.Background(), Request{Pipeline: "p", Deadline: 5 * time.Second}, func(string) {})
		if (err == nil) != c.whole {
			t.Errorf("%s: %v", c.name, err)
		}
		if c.whole && answer.Output() != "ab" {
			t.Errorf("%s: output %q", c.name, answer.Output())
		}
		if !c.whole && failure.KindOf(err).Answer().Ran() == failure.RanNo {
			t.Errorf("%s: told not run", c.name)
		}
		if n := s.runs.Load(); n != 1 {
			t.Errorf("%s: sent %d times", c.name, n)
		}
	}
}
