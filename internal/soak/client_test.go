package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"gradetiller.example/platform/platformtest"
)

const (
	apiKey         = "key-1"
	account        = "barbers"
	clientDeadline = 5 * time.Second
	lookupTTL      = time.Second
	// Some clients use a lookup response longTTLFactor times as long as the others.
	longTTLFactor = 3
	lookupTries   = 3
	minPauseMS    = 5
	maxPauseMS    = 40 // pause between the requests of a client
)

// Streams that begin before SIGTERM end within the grace period. The longest streams that begin
// late during a stop do not.
const (
	tokensPerEvent    = 10
	eventInterval     = 25 * time.Millisecond
	shortEvents       = 4
	longEvents        = int(gracePeriod*7/10/eventInterval) + 1
	maxLongStreams    = 3  // active long streams per client
	longStreamOdds    = 16 // one in so many streams is long
	longTTLStreamOdds = 4  // the same for clients with a long lookup TTL
)

// kind is a kind of request.
type kind struct {
	path string
	// atMostOnce requests must not run more than once.
	atMostOnce bool
	stream     bool
	pieces     []int
}

var requestKinds = []kind{
	{path: "/read/"},
	{path: "/book/", atMostOnce: true},
	{path: "/plain/", stream: true},
	{path: "/once/", atMostOnce: true, stream: true},
	{path: "/staged/", stream: true, pieces: []int{2, 3}},
}

// sentRequest is a request and what its client observed.
type sentRequest struct {
	id     string
	kind   kind
	node   string
	prefix string
	// events is the number of events of the complete stream, or 0.
	events   int
	at       time.Time
	took     time.Duration
	response platformtest.Response
	// plannedOnly reports whether only planned operations were active.
	plannedOnly bool
}

// expectedBody returns the complete body of a worker's response.
func (s *sentRequest) expectedBody() string {
	if !s.kind.stream {
		return fmt.Sprintf("POST %sx body of %s", s.kind.path, s.id)
	}
	var b strings.Builder
	for i := 1; i <= s.events; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: token %d of %s\n\n", i, i, s.id)
	}
	return b.String()
}

// record collects all requests of a run.
type record struct {
	mu   sync.Mutex
	list []sentRequest
}

func (r *record) add(s sentRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, s)
}

// client looks up front addresses in a directory and sends requests to them one after the
// other, with long streams in parallel. It reuses connections until they are closed.
type client struct {
	run       *run
	number    int
	rand      *rand.Rand
	transport *http.Transport
	// lookupTTL is how long a lookup response is used.
	lookupTTL time.Duration
	fronts    []string
	lookedUp  time.Time
	// longSlots is a semaphore for active long streams.
	longSlots chan struct{}
	sending   sync.WaitGroup

	mu   sync.Mutex
	open map[string]bool // fronts with a possibly open connection
}

func newClient(r *run, seed uint64, number int) *client {
	c := &client{
		run: r, number: number, rand: rand.New(rand.NewPCG(seed, uint64(number)+1)),
		transport: &http.Transport{DisableCompression: true},
		lookupTTL: lookupTTL, longSlots: make(chan struct{}, maxLongStreams), open: make(map[string]bool),
	}
	if c.hasLongTTL() {
		c.lookupTTL *= longTTLFactor
	}
	return c
}

// hasLongTTL reports whether the client uses lookup responses longer than the others.
func (c *client) hasLongTTL() bool { return c.number%longTTLFactor == longTTLFactor-1 }

func (c *client) loop(ctx context.Context) {
	defer c.transport.CloseIdleConnections()
	defer c.sending.Wait()
	for n := 0; ctx.Err() == nil; n++ {
		c.lookUp()
		if len(c.fronts) > 0 {
			c.start(c.randomRequest(n))
		}
		time.Sleep(time.Duration(minPauseMS+c.rand.IntN(maxPauseMS-minPauseMS)) * time.Millisecond)
	}
}

// lookUp queries nodes for front addresses when the TTL of the last response has expired. It
// keeps the previous addresses if no node responds.
func (c *client) lookUp() {
	if time.Since(c.lookedUp) < c.lookupTTL {
		return
	}
	c.lookedUp = time.Now()
	for range lookupTries {
		p := c.run.nodes[c.rand.IntN(len(c.run.nodes))]
		if fronts, err := platformtest.Lookup(p.Directory); err == nil && len(fronts) > 0 {
			c.fronts = fronts
			return
		}
	}
}

// randomRequest returns a random request.
func (c *client) randomRequest(n int) sentRequest {
	s := sentRequest{
		id: fmt.Sprintf("c%d-%d", c.number, n), kind: requestKinds[c.rand.IntN(len(requestKinds))],
		node: c.pickFront(), prefix: fmt.Sprintf("a%d:10,b%d:20,c%d-%d:5", c.number, n%7, c.number, n),
	}
	if s.kind.stream {
		s.events = c.randomEventCount()
	}
	return s
}

// randomEventCount returns a random number of events for a stream. Clients with a long lookup
// TTL send more long streams, and longer ones.
func (c *client) randomEventCount() int {
	odds, minEvents := longStreamOdds, shortEvents+1
	if c.hasLongTTL() {
		odds, minEvents = longTTLStreamOdds, longEvents/2
	}
	if c.rand.IntN(odds) > 0 {
		return shortEvents
	}
	return minEvents + c.rand.IntN(longEvents+1-minEvents)
}

// pickFront returns a random front out of the last lookup response and those with a possibly
// open connection. Half of the time, clients with a long lookup TTL pick one whose node is
// stopping, so that every seed has requests that arrive late during a stop.
func (c *client) pickFront() string {
	var list, stopping []string
	for _, p := range c.run.nodes {
		if !slices.Contains(c.fronts, p.Front) && !c.isOpen(p.Front) {
			continue
		}
		list = append(list, p.Front)
		if p.stopping() {
			stopping = append(stopping, p.Front)
		}
	}
	if c.rand.IntN(2) == 0 && c.hasLongTTL() && len(stopping) > 0 {
		list = stopping
	}
	return list[c.rand.IntN(len(list))]
}

func (c *client) isOpen(front string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open[front]
}

// start sends a request. It waits for the response unless the request is a long stream.
func (c *client) start(s sentRequest) {
	if s.events <= shortEvents {
		c.send(s)
		return
	}
	c.longSlots <- struct{}{}
	c.sending.Go(func() {
		c.send(s)
		<-c.longSlots
	})
}

func (c *client) send(s sentRequest) {
	q := platformtest.Request{
		ID: s.id, Path: s.kind.path + "x", Body: "body of " + s.id, Key: apiKey, Deadline: clientDeadline,
		Streaming: s.kind.stream, MaxTokens: s.events * tokensPerEvent, Pieces: s.kind.pieces, Prefix: s.prefix,
	}
	ctx, cancel := context.WithTimeout(context.Background(), clientDeadline)
	defer cancel()
	begun := c.run.unplannedCount.Load()
	stable := c.run.isStable()
	s.at = time.Now()
	s.response = platformtest.DoOn(ctx, c.transport, c.run.proxies.addressOf(s.node), q)
	s.took = time.Since(s.at)
	s.plannedOnly = stable && c.run.unplannedCount.Load() == begun
	c.mu.Lock()
	c.open[s.node] = s.response.Err == nil && !s.response.ConnectionClose
	c.mu.Unlock()
	c.run.record.add(s)
}
