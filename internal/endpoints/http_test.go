package endpoints

import (
	"context"
	"fmt"
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
