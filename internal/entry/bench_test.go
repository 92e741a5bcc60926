package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"slices"
	"testing"
	"time"

	"gradetiller.example/config"
	"gradetiller.example/internal/core/attempt"
	"gradetiller.example/internal/core/run"
	"gradetiller.example/internal/endpoints"
	"gradetiller.example/internal/wire"
)

// post sends one request over a keep-alive connection and discards the answer.
func post(b *testing.B, c *http.Client, url, id string, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		b.Fatal(err)
	}
	req, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		b.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	req.Header.Set("X-Request-Id", id)
	resp, err := c.Do(req)
	if err != nil {
		b.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		b.Fatalf("status %d", resp.StatusCode)
	}
}

// BenchmarkAddedTime alternates between a one-stage request through a node and
// a call sent directly to the same stand-in, and reports both median latencies
// and their difference.
func BenchmarkAddedTime(b *testing.B) {
	s := newSystem(b, 1)
	desk := s.cfg.Pools()[1].Endpoints()[0]
	direct, through := http.DefaultClient, &http.Client{}
	var d, n []time.Duration
	for i := 0; b.Loop(); i++ {
		id := fmt.Sprint("b", i)
		start := time.Now()
		post(b, direct, "http://"+desk.Address()+"/v1/call", id, map[string]any{"request_id": id, "stage": "desk", "input": "req=x;", "repeatable": true})
		middle := time.Now()
		post(b, through, "http://"+s.urls[0]+"/v1/pipelines/look/run", id, map[string]any{"input": "req=x;"})
		d, n = append(d, middle.Sub(start)), append(n, time.Since(middle))
	}
	slices.Sort(d)
	slices.Sort(n)
	median := func(list []time.Duration) float64 { return float64(list[len(list)/2].Microseconds()) }
	b.ReportMetric(median(d), "direct-µs")
	b.ReportMetric(median(n), "through-µs")
	b.ReportMetric(median(n)-median(d), "added-µs")
}

// tokenCaller simulates an engine without a network: it returns its tokens
// immediately.
type tokenCaller struct{ tokens int }

func (c tokenCaller) Call(_ context.Context, call run.Call, sink endpoints.Sink) run.CallResult {
	if call.Streams {
		for i := range c.tokens {
			sink.Token(i, "token ")
		}
	}
	return run.CallResult{Event: attempt.Complete, Output: sink.Output(), Tokens: c.tokens}
}

// BenchmarkToken measures the time that run.Engine and the stream add to each
// token, without the network on either side.
func BenchmarkToken(b *testing.B) {
	s := newSystem(b, 1)
	const tokens = 1000
	n := NewNode(Identity{Node: "b"}, WithCaller(tokenCaller{tokens}))
	if err := n.Apply(wire.Snapshot{Config: wire.ConfigFile{Version: 1, Data: s.cfg.Data()}, Settled: true}); err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		w := n.Submit(run.Request{Account: "a", Pipeline: "plan", RequestID: "r", Repeatable: true})
		for end := (*run.Finish)(nil); end == nil; _, end = w.take() {
			<-w.wake
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/tokens, "ns/token")
}

// bigConfig returns a configuration with the given numbers of accounts and
// endpoints, and 18 pipelines of four stages.
func bigConfig(b *testing.B, accounts, endpoints int) *config.Config {
	var text bytes.Buffer
	text.WriteString("format: 1\nname: big\naccounts:\n")
	for i := range accounts {
		fmt.Fprintf(&text, "  - {name: account-%d, key_sha256: \"%064x\", rate: 10}\n", i, i)
	}
	text.WriteString("pools:\n  - name: lm\n    kind: engine\n    endpoints:\n")
	for i := range endpoints {
		fmt.Fprintf(&text, "      - {name: e%d, address: \"10.0.%d.%d:80\", failure_domain: d%d}\n", i, i/250, i%250, i%6)
	}
	text.WriteString("pipelines:\n")
	for i := range 18 {
		fmt.Fprintf(&text, "  - {name: p%d, deadline: 2s, stages: [{name: a, pool: lm}, {name: b, pool: lm}, {name: c, pool: lm}, {name: d, pool: lm, max_tokens: 100}]}\n", i)
	}
	cfg, err := config.Parse("big.yaml", text.Bytes())
	if err != nil {
		b.Fatal(err)
	}
	return cfg
}

// BenchmarkNodeMemory reports the heap of a node after one request of each
// account, for three sizes.
func BenchmarkNodeMemory(b *testing.B) {
	for _, size := range []struct{ accounts, endpoints, nodes int }{{5, 45, 7}, {400, 60, 40}, {3900, 600, 380}} {
		b.Run(fmt.Sprintf("%d-accounts", size.accounts), func(b *testing.B) {
			for b.Loop() {
				cfg := bigConfig(b, size.accounts, size.endpoints)
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				n := NewNode(Identity{Node: "n0"}, WithCaller(tokenCaller{1}))
				var entries []wire.Entry
				for i := range size.nodes {
					entries = append(entries, wire.Entry{Node: fmt.Sprint("n", i), Address: fmt.Sprint("10.1.0.", i), Domain: fmt.Sprint("d", i%6), Region: fmt.Sprint("r", i%2)})
				}
				if err := n.Apply(wire.Snapshot{Config: wire.ConfigFile{Version: 1, Data: cfg.Data()}, Entries: entries, Settled: true}); err != nil {
					b.Fatal(err)
				}
				for i := range size.accounts {
					w := n.Submit(run.Request{Account: fmt.Sprint("account-", i), Pipeline: "p0", RequestID: fmt.Sprint("r", i), Repeatable: true, Class: "interactive"})
					for end := (*run.Finish)(nil); end == nil; _, end = w.take() {
						<-w.wake
					}
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "MB")
				runtime.KeepAlive(n)
			}
		})
	}
}
