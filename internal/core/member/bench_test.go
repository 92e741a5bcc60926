package member

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkMembers runs a membership for one second of simulated time and reports the bytes
// of real frames, without TCP and TLS, that one node sends, and its processor time.
func BenchmarkMembers(b *testing.B) {
	for _, n := range []int{7, 40, 120, 380} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			w := newNetwork(b, n)
			w.runUntil(60*time.Second, "all members see each other", func() bool { return w.allSee(n) })
			w.run(10 * time.Second)
			clear(w.bytes)
			w.frames = 0
			for b.Loop() {
				w.run(time.Second)
			}
			total := 0
			for _, sent := range w.bytes {
				total += sent
			}
			b.ReportMetric(float64(total)/float64(b.N*n), "B/s/node")
			b.ReportMetric(float64(w.frames)/float64(b.N*n), "frames/s/node")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*n)/1000, "cpu-µs/s/node")
		})
	}
}

// BenchmarkStorm reports the largest number of bytes that a node sends in one second after
// all nodes start at once, after a partitioned region recovers, and after a failure domain
// is lost.
func BenchmarkStorm(b *testing.B) {
	for _, n := range []int{7, 40, 380} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				w := newNetwork(b, n)
				took := w.runUntil(60*time.Second, "all members see each other", func() bool { return w.allSee(n) })
				w.run(2 * time.Second)
				b.ReportMetric(took.Seconds(), "start-s")
				b.ReportMetric(float64(w.maxSentPerSecond), "start-B/s")
				region := func(name string) string { return w.nodes[name].Self().Region }
				w.cut = func(x, y string) bool { return region(x) != region(y) }
				w.runUntil(60*time.Second, "the regions part", func() bool {
					return w.allSee((n+1)/2) || w.allSee(n/2) || n%2 == 1 && w.now.Sub(time.Unix(1000, 0)) > 60*time.Second
				})
				w.run(10 * time.Second)
				w.maxSentPerSecond = 0
				w.cut = func(string, string) bool { return false }
				took = w.runUntil(120*time.Second, "the regions see each other", func() bool { return w.allSee(n) })
				w.run(2 * time.Second)
				b.ReportMetric(took.Seconds(), "heal-s")
				b.ReportMetric(float64(w.maxSentPerSecond), "heal-B/s")
				w.maxSentPerSecond = 0
				lost := w.killDomain("domain-0")
				took = w.runUntil(60*time.Second, "the lost domain is known", func() bool { return w.allSee(n - lost) })
				w.run(2 * time.Second)
				b.ReportMetric(took.Seconds(), "lost-s")
				b.ReportMetric(float64(w.maxSentPerSecond), "lost-B/s")
			}
		})
	}
}
