package cmd

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"gradetiller.example/internal/entry"
	"gradetiller.example/internal/settings"
	"gradetiller.example/internal/wire"
)

const (
	testKey = "key-a"
	// signalInterval is the time between two signals.
	signalInterval = 2 * time.Second
	// largeResponse is the size of a response that exceeds the socket buffers of a
	// connection whose reader has a buffer of readBufferSize bytes.
	largeResponse  = 7 << 20
	readBufferSize = 4 << 10
)

// entryProcess is an entry process whose endpoints keep requests in flight: calls
// and streams never complete, and the service has one slot, so that a second
// request waits in its queue.
type entryProcess struct {
	t      *testing.T
	node   *entry.Node
	server *http.Server
	served chan error
	url    string
	log    *zap.Logger
	lines  *observer.ObservedLogs
}

func newEntryProcess(t *testing.T) *entryProcess {
	desk, engine := httptest.NewServer(http.HandlerFunc(handleUnfinished)), httptest.NewServer(http.HandlerFunc(handleUnfinished))
	archive := httptest.NewServer(http.HandlerFunc(handleLarge))
	t.Cleanup(archive.Close)
	t.Cleanup(desk.Close)
	t.Cleanup(engine.Close)
	core, lines := observer.New(zapcore.InfoLevel)
	s := &entryProcess{t: t, log: zap.New(core), lines: lines, served: make(chan error, 1)}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.url = "http://" + listener.Addr().String()
	s.node = entry.NewNode(entry.Identity{Node: "n", Incarnation: 1, Address: listener.Addr().String(), Domain: "d", Region: "r"}, entry.WithLog(s.log))
	sum := sha256.Sum256([]byte(testKey))
	file := fmt.Sprintf(`
format: 1
name: test
policies: {retry: plain}
locate: {keep: 200ms}
accounts: [{name: a, key_sha256: "%s"}]
pools:
  - {name: desk, kind: service, endpoints: [{name: desk1, address: "%s", failure_domain: d, slots: 1}]}
  - {name: lm, kind: engine, endpoints: [{name: g1, address: "%s", failure_domain: d}]}
  - {name: archive, kind: service, endpoints: [{name: a1, address: "%s", failure_domain: d}]}
pipelines:
  - {name: look, deadline: 60s, stages: [{name: desk, pool: desk}]}
  - {name: long, deadline: 60s, stages: [{name: fetch, pool: archive}]}
  - {name: write, deadline: 60s, stages: [{name: generation, pool: lm, max_tokens: 4}]}
`, hex.EncodeToString(sum[:]), desk.Listener.Addr(), engine.Listener.Addr(), archive.Listener.Addr())
	if err := s.node.Apply(wire.Snapshot{Config: wire.ConfigFile{Version: 1, Data: []byte(file)}, Entries: []wire.Entry{s.node.Self()}, Settled: true}); err != nil {
		t.Fatal(err)
	}
	s.server = settings.NewServer(s.node.Handler())
	go func() { s.served <- s.server.Serve(listener) }()
	t.Cleanup(func() { _ = s.server.Close() })
	return s
}

// handleUnfinished sends the first token of a streamed call and nothing for any other
// call, and returns only when the caller disconnects.
func handleUnfinished(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	if strings.Contains(string(body), `"stage":"generation"`) {
		_, _ = io.WriteString(w, `{"i":0,"t":"first "}`+"\n")
		_ = http.NewResponseController(w).Flush()
	}
	<-r.Context().Done()
}

// handleLarge answers a call with an output of largeResponse bytes.
func handleLarge(w http.ResponseWriter, r *http.Request) {
	var call struct {
		RequestID string `json:"request_id"`
	}
	_ = json.NewDecoder(r.Body).Decode(&call)
	_ = json.NewEncoder(w).Encode(map[string]string{"request_id": call.RequestID, "output": strings.Repeat("x", largeResponse)})
}

// response is what a client sees of a request.
type response struct {
	id      string
	started chan struct{} // closed when the response header has arrived or the request failed
	done    chan struct{} // closed when the body is complete or the connection has ended
	status  int
	body    string
	err     error
}

// startRequest sends a request and returns without waiting for its response.
func (s *entryProcess) startRequest(pipeline, id string, streamed bool) *response {
	a := &response{id: id, started: make(chan struct{}), done: make(chan struct{})}
	body := fmt.Sprintf(`{"input":"x","stream":%t}`, streamed)
	req, err := http.NewRequest(http.MethodPost, s.url+"/v1/pipelines/"+pipeline+"/run", strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	req.Header.Set("X-Request-Id", id)
	go a.receive(req)
	return a
}

func (a *response) receive(req *http.Request) {
	defer close(a.done)
	resp, err := http.DefaultClient.Do(req)
	close(a.started)
	if err != nil {
		a.err = err
		return
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	a.status, a.body, a.err = resp.StatusCode, string(text), err
}

func (s *entryProcess) waitInFlight(want int) {
	s.t.Helper()
	for end := time.Now().Add(20 * time.Second); s.node.InFlight() != want; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			s.t.Fatalf("%d requests are in flight, want %d", s.node.InFlight(), want)
		}
	}
}

// stop shuts the process down: it sends a signal each signalInterval until received
// reports true, waits for the shutdown, and closes all connections as the program does
// when it exits.
func (s *entryProcess) stop(limit time.Duration, received func() bool) {
	signals := make(chan os.Signal, 1) // keeps the signals from ending the test process
	signal.Notify(signals, syscall.SIGTERM)
	defer signal.Stop(signals)
	ended := make(chan error, 1)
	go func() { ended <- (&cli{DrainTimeout: limit}).waitAndDrain(s.node, s.server, s.served, s.log) }()
	ticker := time.NewTicker(signalInterval)
	defer ticker.Stop()
	for {
		if !received() {
			_ = syscall.Kill(os.Getpid(), syscall.SIGTERM)
		}
		select {
		case err := <-ended:
			if err != nil {
				s.t.Errorf("the shutdown ended with %v", err)
			}
			_ = s.server.Close()
			return
		case <-ticker.C:
		}
	}
}

// checkResponse waits for a response and checks its status, that it contains the
// parts, and that the log has a warning about the request.
func (s *entryProcess) checkResponse(a *response, status int, parts ...string) {
	s.t.Helper()
	<-a.done
	if a.err != nil || a.status != status {
		s.t.Errorf("%s: status %d, text %q, error %v; want status %d and a complete response", a.id, a.status, a.body, a.err, status)
		return
	}
	for _, part := range parts {
		if !strings.Contains(a.body, part) {
			s.t.Errorf("%s: response %q does not contain %q", a.id, a.body, part)
		}
	}
	s.checkWarned(a.id)
}

// TestStopAnswersRequestsInFlight guards against a process that exits with requests in
// flight when the drain timeout or a second signal cuts draining short, so that clients
// see a closed connection or a truncated stream and can't tell whether the request ran.
// Each client must get a complete response: "unknown" for a request whose call was sent,
// "not run" for one that was queued. The log must name each request.
func TestStopAnswersRequestsInFlight(t *testing.T) {
	t.Run("drain timeout", func(t *testing.T) {
		s := newEntryProcess(t)
		s.testInterruptedRequests(2*time.Second, s.node.Leaving)
	})
	t.Run("second signal", func(t *testing.T) {
		s := newEntryProcess(t)
		s.testInterruptedRequests(time.Hour, func() bool { return false })
	})
}

func (s *entryProcess) testInterruptedRequests(limit time.Duration, received func() bool) {
	called := s.startRequest("look", "called", false)
	s.waitInFlight(1)
	waiting := s.startRequest("look", "waiting", false)
	s.waitInFlight(2)
	streaming := s.startRequest("write", "streaming", true)
	<-streaming.started
	s.stop(limit, received)
	s.checkResponse(called, http.StatusBadGateway, `"code":"stage_unknown"`, `"ran":"unknown"`)
	s.checkResponse(waiting, http.StatusServiceUnavailable, `"code":"draining"`, `"ran":"no"`)
	s.checkResponse(streaming, http.StatusOK, `"text":"first "`, `"code":"stage_unknown"`, `"ran":"unknown"`)
}

// TestStopLogsUnansweredRequests guards against requests that are cut off at shutdown
// without a trace in the log. With a slow client or network, one request's body is not
// complete and another's response is not read, so that no response can reach them. Neither
// is counted as a run in flight; the log must still name both.
func TestStopLogsUnansweredRequests(t *testing.T) {
	s := newEntryProcess(t)
	s.sendUnread("half", 100, `{"input"`)
	body := `{"input":"x"}`
	s.sendUnread("unread", len(body), body)
	s.awaitMetric(`gradetiller_answers_total{result="ok"} 1`)
	s.stop(time.Hour, func() bool { return false })
	s.checkWarned("half")
	s.checkWarned("unread")
}

// sendUnread sends a request with the given Content-Length and body to the pipeline
// with the large response, and does not read the response.
func (s *entryProcess) sendUnread(id string, length int, body string) {
	s.t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(s.url, "http://"))
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = conn.Close() })
	if err := conn.(*net.TCPConn).SetReadBuffer(readBufferSize); err != nil {
		s.t.Fatal(err)
	}
	if _, err := fmt.Fprintf(conn, "POST /v1/pipelines/long/run HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer %s\r\nX-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s",
		testKey, id, length, body); err != nil {
		s.t.Fatal(err)
	}
}

// awaitMetric waits until the node's metrics contain line.
func (s *entryProcess) awaitMetric(line string) {
	s.t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		resp, err := http.Get(s.url + "/metrics")
		if err != nil {
			s.t.Fatal(err)
		}
		text, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if strings.Contains(string(text), line) {
			return
		}
	}
	s.t.Fatalf("the metrics do not contain %q", line)
}

// checkWarned checks that a warning in the log names the request.
func (s *entryProcess) checkWarned(id string) {
	s.t.Helper()
	for _, line := range s.lines.FilterField(zap.String("request", id)).All() {
		if line.Level == zapcore.WarnLevel {
			return
		}
	}
	s.t.Errorf("%s: no warning in the log names the request", id)
}
