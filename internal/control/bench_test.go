package control

import (
	"context"
	"crypto/sha256"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"gradetiller.example/config"
	"gradetiller.example/internal/endpoints"
	"gradetiller.example/internal/packed"
	"gradetiller.example/internal/wire"
)

// sizedConfig returns a configuration with the given numbers of accounts and
// endpoints.
func sizedConfig(b testing.TB, accounts, endpointCount int) *config.Config {
	text := "format: 1\nname: big\naccounts:\n"
	for i := range accounts {
		text += fmt.Sprintf("  - {name: account-%d, key_sha256: \"%x\", rate: 10}\n", i, sha256.Sum256([]byte{byte(i), byte(i >> 8)}))
	}
	text += "pools:\n  - name: lm\n    kind: engine\n    endpoints:\n"
	for i := range endpointCount {
		text += fmt.Sprintf("      - {name: e%d, address: \"10.0.%d.%d:80\", failure_domain: d%d}\n", i, i/250, i%250, i%6)
	}
	text += "pipelines:\n  - {name: p, deadline: 2s, stages: [{name: a, pool: lm}]}\n"
	cfg, err := config.Parse("big.yaml", []byte(text))
	if err != nil {
		b.Fatal(err)
	}
	return cfg
}

var sizes = []struct{ nodes, accounts, endpoints int }{{7, 5, 45}, {40, 400, 60}, {380, 3900, 600}}

// BenchmarkSnapshot measures the size of the snapshot that an entry receives
// after the list of entries has changed, and of the one sent each second if
// nothing has changed.
func BenchmarkSnapshot(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprint(size.nodes), func(b *testing.B) {
			s := wire.Snapshot{Settled: true}
			for i := range size.nodes {
				s.Entries = append(s.Entries, wire.Entry{Node: fmt.Sprintf("instance-%03d", i), Incarnation: 1764668411000, Address: "10.0.100.100:7100", PeerAddress: "10.0.100.100:7400", Domain: "domain-1", Region: "region-1"})
			}
			var changed, same []byte
			var err error
			for b.Loop() {
				if changed, err = wire.Append(nil, s); err != nil {
					b.Fatal(err)
				}
				if same, err = wire.Append(nil, wire.Snapshot{Unchanged: true, Settled: true}); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(changed)), "changed-B")
			b.ReportMetric(float64(len(same)), "same-B/s")
		})
	}
}

// BenchmarkConfigFile measures the size of a configuration and the time to parse
// it.
func BenchmarkConfigFile(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprint(size.accounts), func(b *testing.B) {
			cfg := sizedConfig(b, size.accounts, size.endpoints)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := config.Parse("big.yaml", cfg.Data()); err != nil {
					b.Fatal(err)
				}
			}
			compressed, err := packed.Pack(cfg.Data())
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(len(cfg.Data())), "file-B")
			b.ReportMetric(float64(len(compressed)), "packed-B")
		})
	}
}

// countingListener counts the bytes of its connections in both directions.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.bytes}, err
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkWatch measures the cost of polling one endpoint's state once.
func BenchmarkWatch(b *testing.B) {
	var bytes atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write([]byte(`{"busy":3,"leaving":false}`))
	}))
	server.Listener = countingListener{server.Listener, &bytes}
	server.Start()
	defer server.Close()
	h := endpoints.NewHTTP()
	address := server.Listener.Addr().String()
	for b.Loop() {
		if _, err := h.State(context.Background(), address); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(bytes.Load())/float64(b.N), "B/poll")
}

// BenchmarkShare measures the time to compute this node's share of the endpoints.
func BenchmarkShare(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprint(size.nodes), func(b *testing.B) {
			cfg := sizedConfig(b, 5, size.endpoints)
			nodes := make([]string, size.nodes)
			for i := range nodes {
				nodes[i] = fmt.Sprintf("instance-%03d", i)
			}
			for b.Loop() {
				shareOf(cfg, nodes, nodes[0])
			}
		})
	}
}
