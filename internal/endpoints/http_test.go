package endpoints

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gradetiller.example/internal/core/attempt"
	"gradetiller.example/internal/core/run"
)

// sink accepts tokens in order.
type sink struct{ text []string }

func (s *sink) Token(index int, text string) bool {
	if index != len(s.text) {
		return false
	}
	s.text = append(s.text, text)
	return true
}

func (s *sink) Count() int     { return len(s.text) }
func (s *sink) Output() []byte { return []byte(strings.Join(s.text, "")) }

// TestAnswersAreValidated checks that an answer counts as complete only if it
// is well-formed, of the right request, and has all tokens in order.
func TestAnswersAreValidated(t *testing.T) {
	const whole = `{"i":0,"t":"a"}` + "\n" + `{"i":1,"t":"b"}` + "\n"
	for _, c := range []struct {
		name    string
		streams bool
		status  int
		header  string
		body    string
		want    attempt.Event
	}{
		{"whole", false, 200, "", `{"request_id":"r","output":"x"}`, attempt.Complete},
		{"of another request", false, 200, "", `{"request_id":"other","output":"x"}`, attempt.NoResponse},
		{"not JSON", false, 200, "", `<html>`, attempt.NoResponse},
		{"failed", false, 500, "", ``, attempt.Fail},
		{"not run", false, 503, "X-Not-Run", ``, attempt.Rejected},
		{"redirect is not followed", false, 307, "Location", ``, attempt.Fail},
		{"stream", true, 200, "", whole + `{"done":true,"n":2,"request_id":"r"}` + "\n", attempt.Complete},
		{"stream of another request", true, 200, "", whole + `{"done":true,"n":2,"request_id":"o"}` + "\n", attempt.NoResponse},
		{"stream without end", true, 200, "", whole, attempt.NoResponse},
		{"stream with a token missing", true, 200, "", whole + `{"done":true,"n":3,"request_id":"r"}` + "\n", attempt.NoResponse},
		{"stream with a token doubled", true, 200, "", whole + whole + `{"done":true,"n":4,"request_id":"r"}` + "\n", attempt.NoResponse},
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if c.header != "" {
				w.Header().Set(c.header, "/elsewhere")
			}
			w.WriteHeader(c.status)
			fmt.Fprint(w, c.body)
		}))
		h := NewHTTP()
		got := h.Call(context.Background(), run.Call{
			RequestID: "r", Address: server.Listener.Addr().String(), Streams: c.streams, Repeatable: true, Deadline: time.Now().Add(time.Second),
		}, &sink{})
		h.Close()
		server.Close()
		if got.Event != c.want {
			t.Errorf("%s: event %d (%s), want %d", c.name, got.Event, got.Reason, c.want)
		}
	}
}

// TestConnectionRefusedIsNotSent checks that a call to an endpoint that does
// not listen is reported as not sent.
func TestConnectionRefusedIsNotSent(t *testing.T) {
	server := httptest.NewServer(nil)
	address := server.Listener.Addr().String()
	server.Close()
	got := NewHTTP().Call(context.Background(), run.Call{RequestID: "r", Address: address, Deadline: time.Now().Add(time.Second)}, &sink{})
	if got.Event != attempt.NotSent {
		t.Fatalf("event %d (%s), want %d", got.Event, got.Reason, attempt.NotSent)
	}
}

// TestAnswersAreBounded guards against answers that are cut at their bound and taken for the whole, or held beyond it:
// one that is not a stream, a stream of sound tokens without an end, a line without one, a header and a state.
func TestAnswersAreBounded(t *testing.T) {
	endless := func(w http.ResponseWriter, begin, block string) {
		for _, err := io.WriteString(w, begin); err == nil; _, err = io.WriteString(w, block) {
		}
	}
	spaces := strings.Repeat(" ", 64<<10)
	for _, c := range []struct {
		name    string
		streams bool
		answer  func(w http.ResponseWriter)
		want    string
	}{
		{"answer", false, func(w http.ResponseWriter) { endless(w, `{"request_id":"r","output":"x"}`, spaces) }, "too large"},
		{"stream", true, func(w http.ResponseWriter) {
			text := strings.Repeat("x", 32<<10)
			for i := 0; ; i++ {
				if _, err := fmt.Fprintf(w, `{"i":%d,"t":%q}`+"\n", i, text); err != nil {
					return
				}
			}
		}, "too large"},
		{"line", true, func(w http.ResponseWriter) { endless(w, `{"i":0,"t":"`, spaces) }, "too long"},
		{"header", false, func(w http.ResponseWriter) {
			for i := range 200 {
				w.Header().Set(fmt.Sprintf("X-Filler-%d", i), strings.Repeat("x", 1000))
			}
		}, "header"},
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { c.answer(w) }))
		h := NewHTTP()
		end := h.Call(context.Background(), run.Call{Address: server.Listener.Addr().String(), RequestID: "r", Streams: c.streams, Repeatable: true, Deadline: time.Now().Add(20 * time.Second)}, &sink{})
		if end.Event != attempt.NoResponse || !strings.Contains(end.Reason, c.want) {
			t.Errorf("%s: %v, %q; want no response since it is %q", c.name, end.Event, end.Reason, c.want)
		}
		if _, err := h.State(context.Background(), server.Listener.Addr().String()); err == nil {
			t.Errorf("%s: taken for a state", c.name)
		}
		h.Close()
		server.Close()
	}
}

// TestLoadsOfEndpoints guards against a load that is no number, or infinite: each later one that is averaged with it is none either.
func TestLoadsOfEndpoints(t *testing.T) {
	for text, want := range map[string]float64{"2.5": 2.5, "0": 0, "-1": 0, "NaN": 0, "Inf": 0, "+Inf": 0, "1e400": 0, "": 0, "x": 0} {
		load := parseLoad(&http.Response{Header: http.Header{headerLoad: {text}}})
		if load.Calls != want {
			t.Errorf("%q is parsed as a load of %v, want %v", text, load.Calls, want)
		}
	}
}
