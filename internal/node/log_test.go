package node

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"gradetiller.example/internal/bounded"
	"gradetiller.example/internal/core/attempt"
	"gradetiller.example/internal/core/catalog"
	"gradetiller.example/internal/core/membudget"
	"gradetiller.example/internal/logging"
	"gradetiller.example/platform"
)

// TestRequestLogLevel guards against warnings for requests that ended as expected, and against
// failures logged without one. Requests that may have run, or were cut, are logged as warnings;
// those that did not run, were refused for a fault of the client, or were delivered are not.
func TestRequestLogLevel(t *testing.T) {
	expired, cancel := context.WithDeadline(t.Context(), time.Now().Add(-time.Second))
	defer cancel()
	deliver := func(status int) func(*Node, http.ResponseWriter, *request) {
		return func(n *Node, w http.ResponseWriter, q *request) {
			n.deliver(t.Context(), w, q, emptyResponse(n, status))
		}
	}
	cases := map[string]struct {
		end  func(n *Node, w http.ResponseWriter, q *request)
		want zapcore.Level
	}{
		"no answer": {func(n *Node, w http.ResponseWriter, q *request) { n.answerUnknown(t.Context(), w, q, "no answer") }, zap.WarnLevel},
		"late":      {func(n *Node, w http.ResponseWriter, q *request) { n.answerUnknown(expired, w, q, "no answer") }, zap.WarnLevel},
		"may have run": {func(n *Node, w http.ResponseWriter, q *request) {
			q.mayHaveRun = true
			n.answerNotRun(w, q, "no endpoint")
		}, zap.WarnLevel},
		"broken off":       {abortStream, zap.WarnLevel},
		"not run":          {func(n *Node, w http.ResponseWriter, q *request) { n.answerNotRun(w, q, "no endpoint") }, zap.InfoLevel},
		"not allowed":      {func(n *Node, w http.ResponseWriter, q *request) { n.refuse(w, q, 401, "not allowed", 0) }, zap.InfoLevel},
		"worker's 200":     {deliver(200), zap.InfoLevel},
		"worker's 404":     {deliver(404), zap.InfoLevel},
		"worker's own 502": {deliver(502), zap.InfoLevel},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			core, lines := observer.New(zap.InfoLevel)
			n := New(platform.Settings{Node: "n"}, WithLog(zap.New(core)))
			source := httptest.NewRequest(http.MethodPost, "/", nil)
			c.end(n, httptest.NewRecorder(), &request{view: n.view.Load(), route: &catalog.Route{Name: "r"}, arrived: time.Now(), source: source})
			got := lines.FilterMessage(eventRequest).All()
			if len(got) != 1 || got[0].Level != c.want {
				t.Errorf("logged %+v, want one line at %v", got, c.want)
			}
		})
	}
}

// emptyResponse returns an attempt whose response has no body.
func emptyResponse(n *Node, status int) *plainAttempt {
	body := bounded.NewBuffer(n.memory.Reservation(membudget.Responses), maxHeldResponse)
	return &plainAttempt{node: n, response: &platform.Response{Status: status, Header: http.Header{}}, body: body}
}

// abortStream ends a stream after its header was sent.
func abortStream(n *Node, w http.ResponseWriter, q *request) {
	defer func() {
		if r := recover(); r != http.ErrAbortHandler {
			panic(r)
		}
	}()
	n.endStream(context.Background(), &stream{q: q, w: w, started: true}, attempt.AnswerUnknown, "stream failed")
}

// TestDroppedLogLinesMetric guards against dropped log lines that do not appear in the metrics by
// priority.
func TestDroppedLogLinesMetric(t *testing.T) {
	dropped := map[logging.Priority]uint64{logging.Ordinary: 7, logging.Urgent: 2}
	n := New(platform.Settings{Node: "n"}, WithDroppedLines(func(p logging.Priority) uint64 { return dropped[p] }))
	var page bytes.Buffer
	n.meters.set.WritePrometheus(&page)
	for _, want := range []string{
		`gradetiller_log_lines_dropped_total{kind="ordinary"} 7`,
		`gradetiller_log_lines_dropped_total{kind="urgent"} 2`,
	} {
		if !strings.Contains(page.String(), want+"\n") {
			t.Errorf("metrics lack %s", want)
		}
	}
}

// TestRequestLineForTable guards against request lines from which explain-logs cannot count requests by
// account and size, or tell which were late.
func TestRequestLineForTable(t *testing.T) {
	core, lines := observer.New(zap.InfoLevel)
	n := New(platform.Settings{Node: "n"}, WithLog(zap.New(core)))
	source := httptest.NewRequest(http.MethodPost, "/", nil)
	q := func(took time.Duration) *request {
		return &request{
			in:   platform.ClientRequest{RequestID: "r", PromptTokens: 300, MaxTokens: 50},
			view: n.view.Load(), route: &catalog.Route{Name: "r", Objective: time.Second}, account: "shop", arrived: time.Now().Add(-took), source: source,
		}
	}
	for _, took := range []time.Duration{0, 2 * time.Second} {
		n.deliver(t.Context(), httptest.NewRecorder(), q(took), emptyResponse(n, http.StatusOK))
	}
	n.refuse(httptest.NewRecorder(), q(2*time.Second), http.StatusServiceUnavailable, "stages would be late", time.Second)
	for i, late := range []any{nil, true, nil} {
		fields := lines.FilterMessage(eventRequest).All()[i].ContextMap()
		if fields["account"] != "shop" || fields["size"] != int64(350) || fields["late"] != late {
			t.Errorf("line %d: account %v, size %v, late %v, want shop, 350, %v", i, fields["account"], fields["size"], fields["late"], late)
		}
	}
}
