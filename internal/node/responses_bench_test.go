package node

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"gradetiller.example/platform"
	"gradetiller.example/platform/platformtest"
)

// BenchmarkResponses measures what a node, its endpoint and its client take for a response: small and large plain
// ones, and streams of small events, whose first event is timed as well.
func BenchmarkResponses(b *testing.B) {
	for _, c := range []struct {
		name, path string
		flood      platformtest.Flood
	}{
		{"plain-4kB", "/read/x", platformtest.Flood{Framing: platformtest.Length, Bytes: 4 << 10, Unpaced: true}},
		{"plain-20MB", "/read/x", platformtest.Flood{Framing: platformtest.Length, Bytes: 20_000_000, Unpaced: true}},
		{"stream-100-events", "/plain/x", platformtest.Flood{Event: 60, Bytes: 6000, Unpaced: true}},
	} {
		b.Run(c.name, func(b *testing.B) {
			site := platformtest.NewSite(b)
			site.Publish(platformtest.Config{Version: 1, Keys: map[string]string{key: "barbers"}, Models: []string{"model"}, Stages: []string{"encode", "rank"}, Routes: platformtest.SampleRoutes()})
			workers := append(site.AddWorkers("desk", 1), site.AddWorkers("model", 1)...)
			for _, w := range workers {
				w.Flood(c.flood, 1)
			}
			n := startBenchNode(b, site)
			var first time.Duration
			for i := 0; b.Loop(); i++ {
				begun := time.Now()
				resp, err := platformtest.Begin(context.Background(), n, platformtest.Request{ID: fmt.Sprint(i), Path: c.path, Key: key, Deadline: time.Minute, Streaming: c.path == "/plain/x"})
				if err != nil || resp.StatusCode != http.StatusOK {
					b.Fatalf("%+v, %v", resp, err)
				}
				_, _ = io.ReadFull(resp.Body, make([]byte, 1))
				first += time.Since(begun)
				size, err := io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
				if err != nil || size != c.flood.Bytes-1 {
					b.Fatalf("%d bytes, %v", size, err)
				}
			}
			b.ReportMetric(float64(first.Microseconds())/float64(b.N), "µs-first-byte")
		})
	}
}

// startBenchNode starts a node and returns its front address.
func startBenchNode(b *testing.B, site *platformtest.Site) string {
	b.Helper()
	text, addresses := site.Settings()
	s, err := platform.ParseSettings(text)
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	n, done := New(s), make(chan struct{})
	go func() {
		defer close(done)
		_ = n.Run(ctx)
	}()
	b.Cleanup(func() {
		cancel()
		<-done
	})
	for platformtest.Ready(addresses.Ready) != http.StatusOK {
		time.Sleep(10 * time.Millisecond)
	}
	return addresses.Front
}
