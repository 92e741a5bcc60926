package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"gradetiller.example/platform/platformtest"
)

const (
	apiKey         = "key-1"
	account        = "barbers"
	streamEvents   = 4
	clientDeadline = 3 * time.Second
	lookupEvery    = time.Second
	betweenMin     = 5
	betweenMax     = 40 // milliseconds between a client's requests
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
	id       string
	kind     kind
	node     string
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
	for i := 1; i <= streamEvents; i++ {
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
// that it keeps until they end.
type client struct {
	run       *run
	number    int
	rand      *rand.Rand
	transport *http.Transport
	fronts    []string
	asked     time.Time
}

func (c *client) loop(ctx context.Context) {
	defer c.transport.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		c.lookUp()
		if len(c.fronts) > 0 {
			c.send(n)
		}
		time.Sleep(time.Duration(betweenMin+c.rand.IntN(betweenMax-betweenMin)) * time.Millisecond)
	}
}

// lookUp asks a node for fronts now and then; the old answer holds when none
// answers.
func (c *client) lookUp() {
	if time.Since(c.asked) < lookupEvery {
		return
	}
	c.asked = time.Now()
	p := c.run.nodes[c.rand.IntN(len(c.run.nodes))]
	if fronts, err := platformtest.Lookup(p.Directory); err == nil && len(fronts) > 0 {
		c.fronts = fronts
	}
}

func (c *client) send(n int) {
	k := requestKinds[c.rand.IntN(len(requestKinds))]
	front := c.fronts[c.rand.IntN(len(c.fronts))]
	s := sent{id: fmt.Sprintf("c%d-%d", c.number, n), kind: k, node: front, planned: c.run.onlyPlanned()}
	q := platformtest.Request{
		ID: s.id, Path: k.path + "x", Body: "body of " + s.id, Key: apiKey, Deadline: clientDeadline,
		Streaming: k.stream, Pieces: k.pieces, Prefix: fmt.Sprintf("a%d:10,b%d:20,%s:5", c.number, n%7, s.id),
	}
	ctx, cancel := context.WithTimeout(context.Background(), clientDeadline)
	defer cancel()
	s.response = platformtest.DoOn(ctx, c.transport, c.run.proxies.through(front), q)
	s.planned = s.planned && c.run.onlyPlanned()
	c.run.record.add(s)
}
