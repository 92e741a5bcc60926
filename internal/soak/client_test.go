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
	lookupHeld     = time.Second
	// Some clients hold a look-up answer longHeld times as long as the others.
	longHeld    = 3
	lookupTries = 3
	betweenMin  = 5
	betweenMax  = 40 // milliseconds between a client's requests
)

// The events of streams. Those that were taken before SIGTERM end within the
// grace period, the longest that are taken late in a stop do not.
const (
	eventTokens  = 10
	eventPause   = 25 * time.Millisecond
	shortEvents  = 4
	longEvents   = int(grace*7/10/eventPause) + 1
	mostLong     = 3  // long streams that a client has under way
	longShare    = 16 // one stream in so many is long
	longShareOld = 4  // the same of clients that hold look-up answers long
)

// kind is a kind of request that clients send.
type kind struct {
	path string
	// once requests may run at most once.
	once   bool
	stream bool
	pieces []int
}

var requestKinds = []kind{
	{path: "/read/"},
	{path: "/book/", once: true},
	{path: "/plain/", stream: true},
	{path: "/once/", once: true, stream: true},
	{path: "/staged/", stream: true, pieces: []int{2, 3}},
}

// sent is one request and what its client saw.
type sent struct {
	id     string
	kind   kind
	node   string
	prefix string
	// events is how many events the whole stream has, or 0.
	events   int
	at       time.Time
	took     time.Duration
	response platformtest.Response
	// planned tells that only planned work was under way.
	planned bool
}

// expected is the whole answer of a worker.
func (s *sent) expected() string {
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
	list []sent
}

func (r *record) add(s sent) {
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
	// held is how long a look-up answer is used.
	held   time.Duration
	fronts []string
	asked  time.Time
	// long has room for the long streams under way.
	long    chan struct{}
	sending sync.WaitGroup

	mu   sync.Mutex
	open map[string]bool // fronts with a connection that may be open
}

func newClient(r *run, seed uint64, number int) *client {
	c := &client{
		run: r, number: number, rand: rand.New(rand.NewPCG(seed, uint64(number)+1)),
		transport: &http.Transport{DisableCompression: true},
		held:      lookupHeld, long: make(chan struct{}, mostLong), open: make(map[string]bool),
	}
	if c.holdsLong() {
		c.held *= longHeld
	}
	return c
}

// holdsLong reports whether the client is one of those that hold a look-up
// answer longer than the others.
func (c *client) holdsLong() bool { return c.number%longHeld == longHeld-1 }

func (c *client) loop(ctx context.Context) {
	defer c.transport.CloseIdleConnections()
	defer c.sending.Wait()
	for n := 0; ctx.Err() == nil; n++ {
		c.lookUp()
		if len(c.fronts) > 0 {
			c.start(c.draw(n))
		}
		time.Sleep(time.Duration(betweenMin+c.rand.IntN(betweenMax-betweenMin)) * time.Millisecond)
	}
}

// lookUp asks nodes for fronts when the answer has been held its time; the old
// one holds on when none answers.
func (c *client) lookUp() {
	if time.Since(c.asked) < c.held {
		return
	}
	c.asked = time.Now()
	for range lookupTries {
		p := c.run.nodes[c.rand.IntN(len(c.run.nodes))]
		if fronts, err := platformtest.Lookup(p.Directory); err == nil && len(fronts) > 0 {
			c.fronts = fronts
			return
		}
	}
}

// draw chooses a request by chance.
func (c *client) draw(n int) sent {
	s := sent{
		id: fmt.Sprintf("c%d-%d", c.number, n), kind: requestKinds[c.rand.IntN(len(requestKinds))],
		node: c.front(), prefix: fmt.Sprintf("a%d:10,b%d:20,c%d-%d:5", c.number, n%7, c.number, n),
	}
	if s.kind.stream {
		s.events = c.drawEvents()
	}
	return s
}

// drawEvents chooses how many events a stream has. Clients that hold look-up
// answers long send more long streams, and of these the longer ones.
func (c *client) drawEvents() int {
	share, least := longShare, shortEvents+1
	if c.holdsLong() {
		share, least = longShareOld, longEvents/2
	}
	if c.rand.IntN(share) > 0 {
		return shortEvents
	}
	return least + c.rand.IntN(longEvents+1-least)
}

// front chooses one of the look-up answer's fronts and of those to which a
// connection may be open. Clients that hold answers long choose, half of the
// time, one that is being stopped: requests reach it late in its stop in every
// seed.
func (c *client) front() string {
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
	if c.rand.IntN(2) == 0 && c.holdsLong() && len(stopping) > 0 {
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
func (c *client) start(s sent) {
	if s.events <= shortEvents {
		c.send(s)
		return
	}
	c.long <- struct{}{}
	c.sending.Go(func() {
		c.send(s)
		<-c.long
	})
}

func (c *client) send(s sent) {
	q := platformtest.Request{
		ID: s.id, Path: s.kind.path + "x", Body: "body of " + s.id, Key: apiKey, Deadline: clientDeadline,
		Streaming: s.kind.stream, MaxTokens: s.events * eventTokens, Pieces: s.kind.pieces, Prefix: s.prefix,
	}
	ctx, cancel := context.WithTimeout(context.Background(), clientDeadline)
	defer cancel()
	begun := c.run.begun.Load()
	calm := c.run.onlyPlanned()
	s.at = time.Now()
	s.response = platformtest.DoOn(ctx, c.transport, c.run.proxies.through(s.node), q)
	s.took = time.Since(s.at)
	s.planned = calm && c.run.begun.Load() == begun
	c.mu.Lock()
	c.open[s.node] = s.response.Err == nil && !s.response.ConnectionClose
	c.mu.Unlock()
	c.run.record.add(s)
}
