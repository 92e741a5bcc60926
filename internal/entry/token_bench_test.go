package entry

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"gradetiller.example/internal/wire"
)

// pacedEngine streams tokens and flushes after each, as an engine does.
func pacedEngine(tokens int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var body struct {
			RequestID string `json:"request_id"`
		}
		_ = json.NewDecoder(r.Body).Decode(&body)
		flush := http.NewResponseController(w)
		for i := range tokens {
			fmt.Fprintf(w, "{\"i\":%d,\"t\":\"token \"}\n", i)
			_ = flush.Flush()
			if i%8 == 7 {
				// Pause, so that tokens are read singly and not in one block.
				time.Sleep(50 * time.Microsecond)
			}
		}
		fmt.Fprintf(w, "{\"done\":true,\"n\":%d,\"request_id\":%q}\n", tokens, body.RequestID)
	})
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// drainStream reads a stream to its end and returns the CPU time that the
// process used meanwhile.
func drainStream(b *testing.B, url string, body any) time.Duration {
	data, err := json.Marshal(body)
	if err != nil {
		b.Fatal(err)
	}
	before := cpuTime()
	req, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		b.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	req.Header.Set("X-Request-Id", "r")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		b.Fatal(err)
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		continue
	}
	return cpuTime() - before
}

// BenchmarkStreamedToken measures the CPU time of a streamed token over loopback
// HTTP, read directly from an engine and through a node. The difference is the
// node's own cost, including both of its connections.
func BenchmarkStreamedToken(b *testing.B) {
	const tokens = 4000
	engine := httptest.NewServer(pacedEngine(tokens))
	defer engine.Close()
	s := newSystem(b, 1)
	old := s.cfg.Pools()[2].Endpoints()[0].Address()
	data := bytes.Replace(s.cfg.Data(), []byte(old), []byte(engine.Listener.Addr().String()), 1)
	data = bytes.Replace(data, []byte(`, {name: g2, address: "`+s.cfg.Pools()[2].Endpoints()[1].Address()+`", failure_domain: d2}`), nil, 1)
	data = bytes.Replace(data, []byte(fmt.Sprint("max_tokens: ", tokenCount)), []byte(fmt.Sprint("max_tokens: ", tokens)), 1)
	if err := s.nodes[0].Apply(wire.Snapshot{Config: wire.ConfigFile{Version: 2, Data: data}, Settled: true}); err != nil {
		b.Fatal(err)
	}
	var direct, through time.Duration
	for b.Loop() {
		direct += drainStream(b, engine.URL+"/v1/call", map[string]any{"request_id": "r"})
		through += drainStream(b, "http://"+s.urls[0]+"/v1/pipelines/plan/run", map[string]any{"input": "req=x;", "stream": true})
	}
	each := func(d time.Duration) float64 { return float64(d.Nanoseconds()) / float64(b.N) / tokens / 1000 }
	b.ReportMetric(each(direct), "direct-µs/token")
	b.ReportMetric(each(through), "through-µs/token")
	b.ReportMetric(each(through-direct), "added-µs/token")
}
