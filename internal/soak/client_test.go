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
	// Some clients hold a look-up answer longHeld times as long as the others.
	longTTLFactor = 3
	lookupTries   = 3
	minPauseMS    = 5
	maxPauseMS    = 40 // milliseconds between a client's requests
)

// The events of streams. Those that were taken before SIGTERM end within the
// grace period, the longest that are taken late in a stop do not.
const (
	tokensPerEvent    = 10
	eventInterval     = 25 * time.Millisecond
	shortEvents       = 4
	longEvents        = int(gracePeriod*7/10/eventInterval) + 1
	maxLongStreams    = 3  // long streams that a client has under way
	longStreamOdds    = 16 // one stream in so many is long
	longTTLStreamOdds = 4  // the same of clients that hold look-up answers long
)

// kind is a kind of request that clients send.
type kind struct {
	path string
	// atMostOnce requests may run at most once.
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

// sentRequest is one request and what its client saw.
type sentRequest struct {
	id     string
	kind   kind
	node   string
	prefix string
	// events is how many events the whole stream has, or 0.
	events   int
	at       time.Time
	took     time.Duration
	response platformtest.Response
	// plannedOnly tells that only planned work was under way.
	plannedOnly bool
}

// expectedBody is the whole answer of a worker.
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

// record keeps all requests of a run.
type record struct {
	mu   sync.Mutex
	list []sentRequest
}

func (r *record) add(s sentRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, s)
}

// client asks a directory for fronts and sends requests to them on connections
// that it keeps until they end, one after the other, with long streams beside.
type client struct {
	run       *run
	number    int
	rand      *rand.Rand
	transport *http.Transport
	// lookupTTL is how long a look-up answer is used.
	lookupTTL time.Duration
	fronts    []string
	lookedUp  time.Time
	// longSlots has room for the long streams under way.
	longSlots chan struct{}
	sending   sync.WaitGroup

	mu   sync.Mutex
	open map[string]bool // fronts with a connection that may be open
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

// hasLongTTL reports whether the client is one of those that hold a look-up
// answer longer than the others.
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

// lookUp asks nodes for fronts when the answer has been held its time; the old
// one holds on when none answers.
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

// randomRequest chooses a request by chance.
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

// randomEventCount chooses how many events a stream has. Clients that hold look-up
// answers long send more long streams, and of these the longer ones.
func (c *client) randomEventCount() int {
	share, least := longStreamOdds, shortEvents+1
	if c.hasLongTTL() {
		share, least = longTTLStreamOdds, longEvents/2
	}
	if c.rand.IntN(share) > 0 {
		return shortEvents
	}
	return least + c.rand.IntN(longEvents+1-least)
}

// pickFront chooses one of the look-up answer's fronts and of those to which a
// connection may be open. Clients that hold answers long choose, half of the
// time, one that is being stopped: requests reach it late in its stop in every
// seed.
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

// start sends a request and waits for its answer, unless it is a long stream.
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
	calm := c.run.isCalm()
	s.at = time.Now()
	s.response = platformtest.DoOn(ctx, c.transport, c.run.proxies.addressOf(s.node), q)
	s.took = time.Since(s.at)
	s.plannedOnly = calm && c.run.unplannedCount.Load() == begun
	c.mu.Lock()
	c.open[s.node] = s.response.Err == nil && !s.response.ConnectionClose
	c.mu.Unlock()
	c.run.record.add(s)
}
