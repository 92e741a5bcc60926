package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"gradetiller.example/platform/platformtest"
)

const (
	// versionsSeed separates the draws of versionFaults from the others.
	versionsSeed = 31
	// One in versionOdds faults is accompanied by endpoints of a version that come or leave.
	versionOdds = 4
	// returnersCount is the number of clients that leave their streams and return.
	returnersCount = 6
	// returnerEvents is the length of their streams, returnerLeaves the number of events after which
	// they leave, and maxReturns how often they return.
	returnerEvents = 30
	returnerLeaves = 3
	maxReturns     = 3
	// maxAwayMS is the longest time for which a client is away.
	maxAwayMS = 400
	// returnerPrefix is the prefix of their IDs.
	returnerPrefix = probePrefix + "stream-"
	// minGoesOn is the share of the streams that must go on after their node was killed, as a share of the
	// new streams that begin: half of them. If several seeds are requested, as in manual runs, it is
	// strictGoesOn. Other runs must not depend on the speed of the machine.
	minGoesOn    = 0.5
	strictGoesOn = 0.9
)

// softwareVersions are the versions of the model workers that serve side by side.
var softwareVersions = []string{"v1", "v1.1", "v1.2"}

// addWorkers adds workers of a service. Model workers are of random versions if versions serve side by side.
func (r *run) addWorkers(service string, n int) []*platformtest.Worker {
	if service != "model" || r.faults < versionFaults {
		return r.site.AddWorkers(service, n)
	}
	return r.site.AddWorkersOfVersion(softwareVersions[r.versionRand.IntN(len(softwareVersions))], service, n)
}

// maybeChangeVersions adds two model workers of a version, or makes all of its workers leave.
func (r *run) maybeChangeVersions() {
	if r.versionRand.IntN(versionOdds) > 0 {
		return
	}
	version := softwareVersions[r.versionRand.IntN(len(softwareVersions))]
	if r.versionRand.IntN(2) == 0 {
		r.workers["model"] = append(r.workers["model"], r.site.AddWorkersOfVersion(version, "model", 2)...)
		return
	}
	var others []*platformtest.Worker
	var leaving []*platformtest.Worker
	for _, w := range r.workers["model"] {
		switch {
		case r.hasLeft(w):
		case w.Version() == version:
			leaving = append(leaving, w)
		default:
			others = append(others, w)
		}
	}
	if len(others) < 2 {
		return
	}
	for _, w := range leaving {
		w.Drain()
		r.retired = append(r.retired, retired{worker: w, at: time.Now()})
	}
}

// returningStream is what a client holds of a stream over its attempts.
type returningStream struct {
	id       string
	body     string
	attempts []string
	status   int
	returned bool
}

// versions returns the software versions that wrote the events.
func (s *returningStream) versions() []string {
	var list []string
	for line := range strings.Lines(s.body) {
		if words := strings.Fields(line); len(words) == 3 && words[0] == ":" && !slices.Contains(list, words[1]) {
			list = append(list, words[1])
		}
	}
	return list
}

func (s *returningStream) events() int { return strings.Count(s.body, "id: ") }

// withoutMarks returns the body of a stream without the lines that name the writers of its events.
func withoutMarks(body string) string {
	var b strings.Builder
	for line := range strings.Lines(body) {
		if !strings.HasPrefix(line, ": ") {
			b.WriteString(line)
		}
	}
	return b.String()
}

// returners are clients that leave their streams midway and return at other nodes.
type returners struct {
	run  *run
	mu   sync.Mutex
	list []*returningStream
	// requests are their attempts, without the responses.
	requests []sentRequest
}

// allRequests returns the requests of all clients. The responses of returning clients are not included.
func (r *run) allRequests() []sentRequest { return slices.Concat(r.record.list, r.returners.requests) }

// loop begins one stream after the other and returns for those that it did not get whole.
func (c *returners) loop(ctx context.Context, seed uint64, number int) {
	rng := rand.New(rand.NewPCG(seed, versionsSeed+uint64(number)+1))
	for k := 0; ctx.Err() == nil; k++ {
		s := &returningStream{id: fmt.Sprintf("%s%d-%d", returnerPrefix, number, k)}
		leaveAfter := 0
		if rng.IntN(2) == 0 {
			leaveAfter = returnerLeaves
		}
		c.attempt(s, c.run.nodes[rng.IntN(len(c.run.nodes))], rng, leaveAfter)
		for n := 0; n < maxReturns && s.events() > 0 && s.events() < returnerEvents; n++ {
			time.Sleep(time.Duration(rng.IntN(maxAwayMS)) * time.Millisecond)
			c.attempt(s, c.run.nodes[rng.IntN(len(c.run.nodes))], rng, 0)
		}
		c.mu.Lock()
		c.list = append(c.list, s)
		c.mu.Unlock()
	}
}

// attempt sends one attempt of a stream to a node, on a connection of its own.
func (c *returners) attempt(s *returningStream, p *process, rng *rand.Rand, leaveAfter int) {
	q := platformtest.Request{
		ID: s.id, Path: "/plain/x", Body: "body of " + s.id, Key: apiKey, Deadline: clientDeadline, Streaming: true,
		MaxTokens: returnerEvents * tokensPerEvent, Prefix: fmt.Sprintf("%x:10,%x:5", rng.IntN(50), rng.Uint32()), LeaveAfter: leaveAfter,
	}
	if rng.IntN(2) == 0 {
		q.Path, q.Pieces = "/staged/x", []int{1, 1}
	}
	if n := s.events(); n > 0 {
		q.ID, q.Resumes, q.LastEventID = fmt.Sprintf("%s-%d", s.id, len(s.attempts)), s.id, strconv.Itoa(n)
		s.returned = true
	}
	c.mu.Lock()
	c.requests = append(c.requests, sentRequest{id: q.ID, node: p.Front, at: time.Now()})
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), clientDeadline)
	defer cancel()
	a := platformtest.Do(ctx, c.run.proxies.addressOf(p.Front), q)
	s.status = a.Status
	s.attempts = append(s.attempts, fmt.Sprintf("%s at %s: %d", q.ID, p.name, a.Status))
	if a.Status != http.StatusOK {
		return
	}
	// The last event may have arrived in part.
	s.body += a.Body[:strings.LastIndex("\n\n"+a.Body, "\n\n")]
}

// check verifies that no client holds events of two versions, or an event twice or out of order.
func (c *returners) check() {
	returned, wentOn := 0, 0
	for _, s := range c.list {
		if v := s.versions(); len(v) > 1 {
			c.run.fail("%s holds events of versions %v: %v", s.id, v, s.attempts)
		}
		next := 1
		for line := range strings.Lines(s.body) {
			id, ok := strings.CutPrefix(strings.TrimSpace(line), "id: ")
			if !ok {
				continue
			}
			if id != strconv.Itoa(next) {
				c.run.fail("%s: event %s in place of %d: %v", s.id, id, next, s.attempts)
				break
			}
			next++
		}
		if s.returned {
			returned++
			if s.events() == returnerEvents {
				wentOn++
			}
		}
	}
	c.run.t.Logf("%d streams of returning clients, %d returned, %d of them went on to the end", len(c.list), returned, wentOn)
}

// runVersionPhase kills the node at which streams began while their clients are away. The streams go on at
// the other nodes, since endpoints of their versions serve.
func (r *run) runVersionPhase() {
	for _, version := range softwareVersions {
		r.workers["model"] = append(r.workers["model"], r.site.AddWorkersOfVersion(version, "model", 3)...)
	}
	time.Sleep(listingTime)
	first, others := r.nodes[0], r.nodes[1:]
	c := &returners{run: r}
	eachStream := func(attempt func(s *returningStream, rng *rand.Rand, k int)) {
		var sending sync.WaitGroup
		for k, s := range c.list {
			sending.Go(func() { attempt(s, rand.New(rand.NewPCG(versionsSeed, uint64(k))), k) })
		}
		sending.Wait()
	}
	for k := range 24 {
		c.list = append(c.list, &returningStream{id: fmt.Sprintf("%skilled-%d", returnerPrefix, k)})
	}
	eachStream(func(s *returningStream, rng *rand.Rand, _ int) { c.attempt(s, first, rng, returnerLeaves) })
	begun := 0
	for _, s := range c.list {
		if s.events() > 0 {
			begun++
		}
	}
	r.beginUnplanned()
	first.end(syscall.SIGKILL)
	eachStream(func(s *returningStream, rng *rand.Rand, k int) {
		if s.events() > 0 {
			c.attempt(s, others[k%len(others)], rng, 0)
		}
	})
	first.start()
	r.awaitReady(first)
	r.endUnplanned()
	wentOn := 0
	var refused []string
	for _, s := range c.list {
		switch {
		case s.events() == returnerEvents:
			wentOn++
		case s.returned:
			refused = append(refused, s.attempts[len(s.attempts)-1])
		}
	}
	share := minGoesOn
	if *seeds > 1 {
		share = strictGoesOn
	}
	if float64(wentOn) < share*float64(begun) {
		r.fail("%d of %d streams went on after their node was killed, the others: %v", wentOn, begun, refused)
	}
	c.check()
	r.returners.mu.Lock()
	defer r.returners.mu.Unlock()
	r.returners.requests = append(r.returners.requests, c.requests...)
}
