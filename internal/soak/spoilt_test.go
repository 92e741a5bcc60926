package soak

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"gradetiller.example/platform/platformtest"
)

const (
	// spoiltSeed separates the draws of responses that are none from those of other faults.
	spoiltSeed = 31
	// spoiltPrefix is the prefix of the IDs of requests that workers answer so.
	spoiltPrefix = probePrefix + "spoilt-"
	// spoiltDeadline is the deadline of such a request, and spoiltPause the time between two. Workers that answer so are ejected, so
	// that few are sent.
	spoiltDeadline = 2 * time.Second
	spoiltPause    = 500 * time.Millisecond
	// maxUpload bounds the length of their bodies: what is written while the response comes is larger than most buffers.
	maxUpload = 1_000_000
)

// spoiltHeads are the first lines of responses. All but the last two, which a sound worker may send too, are none.
var spoiltHeads = []string{
	"HTTP/1.1 000 None\r\n", "HTTP/1.1 099 Odd\r\n", "HTTP/1.1 600 Odd\r\n", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: odd\r\n", "HTTP/2.0 200 OK\r\n",
	"HTTP/1.1 200 OK\r\nX Odd: 1\r\n", "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n", "HTTP/1.1 200 OK\r\nTransfer Encoding: chunked\r\n", "HTTP/1.1 200 O\x01K\r\n",
	"HTTP/1.1 200 OK\r\nContent-Length: 9223372036854775807\r\n", "HTTP/1.1 500 Odd\r\nContent-Length: 9223372036854775807\r\n",
	"HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\n",
}

// spoiltKinds are the requests that workers answer with them.
var spoiltKinds = []platformtest.Request{{Path: "/read/x"}, {Path: "/book/x"}, {Path: "/plain/x", Streaming: true}, {Path: "/once/x", Streaming: true}}

// spoilt sends requests that workers answer with responses that are none, or whose connection is reset while the request is
// written.
type spoilt struct {
	soak    *run
	rand    *rand.Rand
	workers []*platformtest.Worker
	sent    int
	seen    map[string]int
}

func newSpoilt(r *run, seed uint64) *spoilt {
	return &spoilt{soak: r, rand: rand.New(rand.NewPCG(seed, spoiltSeed)), workers: slices.Concat(r.workers["desk"], r.workers["model"]), seen: make(map[string]int)}
}

// draw returns a response.
func (s *spoilt) draw() platformtest.RawResponse {
	head := spoiltHeads[s.rand.IntN(len(spoiltHeads))]
	r := platformtest.RawResponse{
		IDPrefix: spoiltPrefix, ReadBody: 1 + s.rand.Int64N(maxUpload/2), End: platformtest.EndReset,
		Text: head + "X-Request-Id: {id}\r\nX-Server-Stamp: spoilt.{worker}.{id}\r\nConnection: close\r\n\r\nid: 1\ndata: one\n\n",
	}
	if !strings.HasSuffix(head, "200 OK\r\n") && s.rand.IntN(2) == 0 {
		r.ReadBody, r.End = -1, platformtest.EndClose
	}
	return r
}

// run sends requests until ctx ends.
func (s *spoilt) run(ctx context.Context) {
	for ; ctx.Err() == nil; sleep(ctx, spoiltPause) {
		raw := s.draw()
		for _, w := range s.workers {
			w.RespondRaw(raw, 1)
		}
		s.send(ctx)
	}
	responses := 0
	for _, w := range s.workers {
		responses += w.RawResponses()
	}
	s.soak.t.Logf("%d requests with spoilt responses, %d of which were sent: %v", s.sent, responses, slices.Sorted(maps.Keys(s.seen)))
	if responses == 0 {
		s.soak.failAsync("no spoilt response was sent")
	}
}

// send sends a request and checks that its response is not what the worker sent.
func (s *spoilt) send(ctx context.Context) {
	fronts := s.soak.frontAddresses()
	q := spoiltKinds[s.rand.IntN(len(spoiltKinds))]
	s.sent++
	q.Key, q.Deadline, q.ID = apiKey, spoiltDeadline, fmt.Sprint(spoiltPrefix, s.sent)
	q.Body = strings.Repeat("u", 1+s.rand.IntN(maxUpload))
	ctx, cancel := context.WithTimeout(ctx, 2*spoiltDeadline)
	defer cancel()
	a := platformtest.Do(ctx, fronts[s.rand.IntN(len(fronts))], q)
	s.seen[fmt.Sprintf("%d %t", a.Status, a.Err == nil)]++
	switch {
	case a.Status != 0 && (a.Status < http.StatusOK || a.Status > 599):
		s.soak.failAsync(fmt.Sprintf("%s%s: a client got status %d", q.Path, q.ID, a.Status))
	// A stream that goes on at another worker keeps the stamp of the first one, and ends with the other's last event.
	case a.Err == nil && a.Status == http.StatusOK && strings.HasPrefix(a.Stamp, "spoilt.") && !strings.HasSuffix(a.Body, " of "+q.ID+"\n\n"):
		s.soak.failAsync(fmt.Sprintf("%s%s: a client got a spoilt response as whole: %.100q", q.Path, q.ID, a.Body))
	}
}
