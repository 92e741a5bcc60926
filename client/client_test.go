package client

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gradetiller.example/failure"
)

// system is a server that answers locate requests with addresses and counts the
// run requests that it receives.
type system struct {
	t         *testing.T
	runs      atomic.Int32
	addresses []string
}

// newSystem starts a server whose locate answers contain the further addresses
// and its own.
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

func answerComplete(w http.ResponseWriter, r *http.Request) {
	fmt.Fprintf(w, `{"request_id":%q,"output":"out","on_time":true}`, r.Header.Get("X-Request-Id"))
}

func closeConnection(w http.ResponseWriter, _ *http.Request) {
	conn, _, _ := http.NewResponseController(w).Hijack()
	_ = conn.Close()
}

func refuse(code string, status int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		fmt.Fprintf(w, `{"error":{"code":%q,"retry_after_ms":1}}`, code)
	}
}

// TestRetriesOnlyIfSafe checks the number of times that a request is sent for
// each kind of failure, for at-most-once and for repeatable requests.
func TestRetriesOnlyIfSafe(t *testing.T) {
	const all = defaultRetries + 1
	for _, c := range []struct {
		name         string
		run          http.HandlerFunc
		once, repeat int32
	}{
		{"whole", answerComplete, 1, 1},
		{"not run", refuse("overloaded", 503), all, all},
		{"not run, but a retry can't help", refuse("bad_request", 400), 1, 1},
		{"failed", refuse("stage_failed", 502), 1, 1},
		{"unknown", refuse("stage_unknown", 502), 1, all},
		{"connection cut", closeConnection, 1, all},
		{"unreadable answer", refuse("", 500), 1, 1},
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

// TestUnreachableAddressIsSkipped checks that at-most-once requests succeed if
// one of the located addresses refuses connections.
func TestUnreachableAddressIsSkipped(t *testing.T) {
	s := newSystem(t, answerComplete, "127.0.0.1:1")
	c := s.client()
	for i := range 10 {
		if _, err := c.Run(context.Background(), Request{Pipeline: "p", Once: true, Deadline: 5 * time.Second}); err != nil {
			t.Fatalf("request %d: %v", i, err)
		}
	}
}

// TestStreamEnd checks that a stream is complete only with an end event whose
// length and digest match, and that a request is never retried once its text has
// begun to stream.
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
			t.Errorf("%s: reported as not run", c.name)
		}
		if n := s.runs.Load(); n != 1 {
			t.Errorf("%s: sent %d times", c.name, n)
		}
	}
}

// firstThen returns a handler that serves the first request with first, and every
// further one with later.
func firstThen(first, later http.HandlerFunc) http.HandlerFunc {
	var runs atomic.Int32
	return func(w http.ResponseWriter, r *http.Request) {
		if runs.Add(1) == 1 {
			first(w, r)
			return
		}
		later(w, r)
	}
}

func neverAnswer(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

// TestNotRunAppliesToAllTries guards against an error of kind "not run" for a
// request that may have run. The connection of a repeatable request breaks, and
// the retry is refused as not run. The error must not be that of the last try:
// it is "not run" only if every try was refused.
func TestNotRunAppliesToAllTries(t *testing.T) {
	for _, c := range []struct {
		name        string
		first, last http.HandlerFunc
		ran         failure.Ran
	}{
		{"cut, then refused for now", closeConnection, refuse("overloaded", 503), failure.RanUnknown},
		{"cut, then refused for good", closeConnection, refuse("unauthorized", 401), failure.RanUnknown},
		{"unknown, then refused", refuse("stage_unknown", 502), refuse("draining", 503), failure.RanUnknown},
		{"another's answer, then refused", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, `{}`) }, refuse("overloaded", 503), failure.RanUnknown},
		{"refused, then cut", refuse("overloaded", 503), closeConnection, failure.RanUnknown},
		{"cut, then failed", closeConnection, refuse("stage_failed", 502), failure.RanYes},
		{"refused, then refused", refuse("overloaded", 503), refuse("draining", 503), failure.RanNo},
	} {
		s := newSystem(t, firstThen(c.first, c.last))
		_, err := s.client().Run(context.Background(), Request{Pipeline: "p", Deadline: 5 * time.Second})
		if ran := failure.KindOf(err).Answer().Ran(); ran != c.ran {
			t.Errorf("%s: got ran %q, want %q: %v", c.name, ran, c.ran, err)
		}
	}
}

// TestErrorAfterTextIsUnknown guards against an error of kind "not run" for a
// stream that has delivered text. A faulty node, or one of another version, may
// send such an error event after text. The client must report "not run" only if
// no text came before the event.
func TestErrorAfterTextIsUnknown(t *testing.T) {
	for lines, ran := range map[string]failure.Ran{
		`{"text":"a"}` + "\n": failure.RanUnknown,
		"":                    failure.RanNo,
	} {
		s := newSystem(t, func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprintf(w, "%s{\"error\":{\"code\":\"overloaded\"}}\n", lines)
		})
		_, err := s.client().Stream(context.Background(), Request{Pipeline: "p", Deadline: 5 * time.Second}, func(string) {})
		if got := failure.KindOf(err).Answer().Ran(); got != ran {
			t.Errorf("after %q: got ran %q, want %q: %v", lines, got, ran, err)
		}
	}
}

// hangDial blocks until ctx is done, like a dial to an address that does not
// respond.
func hangDial(ctx context.Context, _, _ string) (net.Conn, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// TestUnsentIsNotRun guards against "stage_unknown" for a request that was never
// sent, because an at-most-once request is then not retried although it could
// be. A request is unsent if it is canceled or its deadline passes while the
// client waits for a connection, or if it cannot be written. Those cases must be
// reported as not run; the same cases with a connection as unknown.
func TestUnsentIsNotRun(t *testing.T) {
	const (
		enough = 5 * time.Second
		// Long enough to connect even on a busy machine.
		short = time.Second
	)
	canceled := func(c context.Context) (context.Context, context.CancelFunc) {
		ctx, cancel := context.WithCancel(c)
		time.AfterFunc(short, cancel)
		return ctx, cancel
	}
	for _, c := range []struct {
		name     string
		within   func(context.Context) (context.Context, context.CancelFunc)
		id       string
		deadline time.Duration
		unsent   bool
		kind     failure.Kind
	}{
		{"canceled while dialing", canceled, "r", enough, true, failure.CanceledNotRun},
		{"deadline while dialing", context.WithCancel, "r", short, true, failure.DeadlineNotRun},
		{"can't be written", context.WithCancel, "a\nb", enough, false, failure.NotReady},
		{"canceled while waiting", canceled, "r", enough, false, failure.StageUnknown},
		{"deadline while waiting", context.WithCancel, "r", short, false, failure.StageUnknown},
	} {
		s := newSystem(t, neverAnswer)
		client := s.client()
		if _, err := client.address(context.Background()); err != nil {
			t.Fatal(err)
		}
		client.transport.CloseIdleConnections()
		if c.unsent {
			client.transport.DialContext = hangDial
		}
		ctx, cancel := c.within(context.Background())
		_, err := client.Run(ctx, Request{Pipeline: "p", ID: c.id, Once: true, Deadline: c.deadline})
		cancel()
		if kind := failure.KindOf(err); kind != c.kind {
			t.Errorf("%s: got kind %v, want %v: %v", c.name, kind, c.kind, err)
		}
	}
}

// TestLargeAnswersAreErrors guards against an answer that is cut at its bound and taken for the whole or for one that
// is no JSON, and against a stream without an end that is held until the memory is used up.
func TestLargeAnswersAreErrors(t *testing.T) {
	s := newSystem(t, func(w http.ResponseWriter, r *http.Request) {
		if strings.Contains(r.Header.Get("X-Request-Id"), "stream") {
			text := strings.Repeat("x", 1<<20)
			for {
				if _, err := fmt.Fprintf(w, `{"text":%q}`+"\n", text); err != nil {
					return
				}
			}
		}
		answerComplete(w, r)
		for spaces := strings.Repeat(" ", 64<<10); ; {
			if _, err := io.WriteString(w, spaces); err != nil {
				return
			}
		}
	})
	c := s.client()
	_, err := c.Run(t.Context(), Request{Pipeline: "p", ID: "answer", Once: true, Deadline: 20 * time.Second})
	if failure.KindOf(err) != failure.StageUnknown || !strings.Contains(err.Error(), "too large") {
		t.Errorf("an answer without an end: %v, want an error that says it is too large", err)
	}
	size := 0
	_, err = c.Stream(t.Context(), Request{Pipeline: "p", ID: "stream", Once: true, Deadline: 20 * time.Second}, func(text string) { size += len(text) })
	if failure.KindOf(err) != failure.StageUnknown || !strings.Contains(err.Error(), "too large") || size > maxStreamBytes {
		t.Errorf("a stream without an end: %v after %d bytes, want an error that says it is too large", err, size)
	}
}
