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
	// signalGap is how long a signal has to take effect before it is sent again.
	signalGap = 2 * time.Second
	// longAnswer is more than the buffers of a connection take, of which the
	// reader's has smallBuffer bytes.
	longAnswer  = 7 << 20
	smallBuffer = 4 << 10
)

// stopped is an entry process that is to be stopped with requests in flight:
// one whose call does not end, one whose stream does not end, and one that
// waits for the slot of the first.
type stopped struct {
	t      *testing.T
	node   *entry.Node
	server *http.Server
	served chan error
	url    string
	log    *zap.Logger
	lines  *observer.ObservedLogs
}

func newStopped(t *testing.T) *stopped {
	desk, engine := httptest.NewServer(http.HandlerFunc(endless)), httptest.NewServer(http.HandlerFunc(endless))
	archive := httptest.NewServer(http.HandlerFunc(long))
	t.Cleanup(archive.Close)
	t.Cleanup(desk.Close)
	t.Cleanup(engine.Close)
	core, lines := observer.New(zapcore.InfoLevel)
	s := &stopped{t: t, log: zap.New(core), lines: lines, served: make(chan error, 1)}
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

// endless answers a call of a stream with its first token, any other with
// nothing, and ends neither before its caller goes.
func endless(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	if strings.Contains(string(body), `"stage":"generation"`) {
		_, _ = io.WriteString(w, `{"i":0,"t":"first "}`+"\n")
		_ = http.NewResponseController(w).Flush()
	}
	<-r.Context().Done()
}

// long answers a call with a text of longAnswer bytes.
func long(w http.ResponseWriter, r *http.Request) {
	var call struct {
		RequestID string `json:"request_id"`
	}
	_ = json.NewDecoder(r.Body).Decode(&call)
	_ = json.NewEncoder(w).Encode(map[string]string{"request_id": call.RequestID, "output": strings.Repeat("x", longAnswer)})
}

// answer is all that a caller sees of a request.
type answer struct {
	id     string
	begun  chan struct{} // closed when the answer has begun to come
	done   chan struct{} // closed when it is whole, or the connection has ended
	status int
	text   string
	err    error
}

// ask sends a request.
func (s *stopped) ask(pipeline, id string, streamed bool) *answer {
	a := &answer{id: id, begun: make(chan struct{}), done: make(chan struct{})}
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

func (a *answer) receive(req *http.Request) {
	defer close(a.done)
	resp, err := http.DefaultClient.Do(req)
	close(a.begun)
	if err != nil {
		a.err = err
		return
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	a.status, a.text, a.err = resp.StatusCode, string(text), err
}

func (s *stopped) inFlight(want int) {
	s.t.Helper()
	for end := time.Now().Add(20 * time.Second); s.node.InFlight() != want; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			s.t.Fatalf("%d requests are in flight, want %d", s.node.InFlight(), want)
		}
	}
}

// stop has the process stop: it gets signals until enough says so, and then
// ends as the program does, with every connection.
func (s *stopped) stop(limit time.Duration, enough func() bool) {
	kept := make(chan os.Signal, 1) // the test itself outlives the signals
	signal.Notify(kept, syscall.SIGTERM)
	defer signal.Stop(kept)
	ended := make(chan error, 1)
	go func() { ended <- (&cli{DrainTimeout: limit}).waitAndDrain(s.node, s.server, s.served, s.log) }()
	gap := time.NewTicker(signalGap)
	defer gap.Stop()
	for {
		if !enough() {
			_ = syscall.Kill(os.Getpid(), syscall.SIGTERM)
		}
		select {
		case err := <-ended:
			if err != nil {
				s.t.Errorf("the stop ended with %v", err)
			}
			_ = s.server.Close()
			return
		case <-gap.C:
		}
	}
}

// check waits for an answer and looks at it and at the log.
func (s *stopped) check(a *answer, status int, parts ...string) {
	s.t.Helper()
	<-a.done
	if a.err != nil || a.status != status {
		s.t.Errorf("%s: status %d, text %q, error %v; want status %d and a whole answer", a.id, a.status, a.text, a.err, status)
		return
	}
	for _, part := range parts {
		if !strings.Contains(a.text, part) {
			s.t.Errorf("%s: the answer %q lacks %q", a.id, a.text, part)
		}
	}
	s.warned(a.id)
}

// TestStopAnswersWhatItEnds ends a stop while requests are in flight, by its
// longest time and by a second signal.
//
// What a caller sees: a closed connection without an answer, or a stream
// without its last line, and nothing tells whether its request ran.
// How it comes about: a request in flight needs more time than the stop has.
// The cause: the process gives up waiting and ends, with its runs as they are.
// What proves it: each caller gets a whole answer, which promises nothing for
// a request whose call was sent and says "not run" for one that was waiting;
// and the log names each.
func TestStopAnswersWhatItEnds(t *testing.T) {
	t.Run("longest time", func(t *testing.T) {
		s := newStopped(t)
		s.testStop(2*time.Second, s.node.Leaving)
	})
	t.Run("second signal", func(t *testing.T) {
		s := newStopped(t)
		s.testStop(time.Hour, func() bool { return false })
	})
}

func (s *stopped) testStop(limit time.Duration, enough func() bool) {
	called := s.ask("look", "called", false)
	s.inFlight(1)
	waiting := s.ask("look", "waiting", false)
	s.inFlight(2)
	streaming := s.ask("write", "streaming", true)
	<-streaming.begun
	s.stop(limit, enough)
	s.check(called, http.StatusBadGateway, `"code":"stage_unknown"`, `"ran":"unknown"`)
	s.check(waiting, http.StatusServiceUnavailable, `"code":"draining"`, `"ran":"no"`)
	s.check(streaming, http.StatusOK, `"text":"first "`, `"code":"stage_unknown"`, `"ran":"unknown"`)
}

// TestStopNamesWhatItCuts ends a stop while one caller has not sent its request
// whole and another does not read its answer.
//
// What a caller sees: its connection is closed. No answer can reach it.
// How it comes about: the caller, or its way to the node, is slow.
// The cause: the node counts runs, and neither of these has one; the log says
// that answers were not out and not whose.
// What proves it: the log names both requests.
func TestStopNamesWhatItCuts(t *testing.T) {
	s := newStopped(t)
	s.send("half", 100, `{"input"`)
	body := `{"input":"x"}`
	s.send("unread", len(body), body)
	s.await(`gradetiller_answers_total{result="ok"} 1`)
	s.stop(time.Hour, func() bool { return false })
	s.warned("half")
	s.warned("unread")
}

// send sends a request, whose length is told, to the pipeline of the long
// answer and reads nothing.
func (s *stopped) send(id string, length int, body string) {
	s.t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(s.url, "http://"))
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = conn.Close() })
	if err := conn.(*net.TCPConn).SetReadBuffer(smallBuffer); err != nil {
		s.t.Fatal(err)
	}
	if _, err := fmt.Fprintf(conn, "POST /v1/pipelines/long/run HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer %s\r\nX-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s",
		testKey, id, length, body); err != nil {
		s.t.Fatal(err)
	}
}

// await waits until the node's metrics hold a line.
func (s *stopped) await(line string) {
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
	s.t.Fatalf("the metrics lack %q", line)
}

// warned checks that a warning in the log names a request.
func (s *stopped) warned(id string) {
	s.t.Helper()
	for _, line := range s.lines.FilterField(zap.String("request", id)).All() {
		if line.Level == zapcore.WarnLevel {
			return
		}
	}
	s.t.Errorf("%s: no warning in the log names the request", id)
}
