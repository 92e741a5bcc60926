package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gradetiller.example/client"
	"gradetiller.example/config"
	"gradetiller.example/internal/peer"
	"gradetiller.example/internal/platform"
	"gradetiller.example/internal/standin"
	"gradetiller.example/internal/wire"
)

const (
	testKey    = "key-a"
	tokenCount = 12
)

// system is a set of nodes and stand-ins in one process, connected by HTTP over
// the loopback interface.
type system struct {
	t     testing.TB
	world *standin.World
	nodes []*Node
	urls  []string
	cfg   *config.Config
}

// freeAddress returns a listener on a free loopback port, and its address.
func freeAddress(t testing.TB) (net.Listener, string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l, l.Addr().String()
}

// newSystem starts nodes, and stand-ins for a pool of two services, a pool of
// two engines and a pool of one service, whose calls are not repeatable in the
// pipeline "sell".
func newSystem(t testing.TB, nodes int) *system {
	var listeners []net.Listener
	listen := func() string {
		l, address := freeAddress(t)
		listeners = append(listeners, l)
		return address
	}
	sum := sha256.Sum256([]byte(testKey))
	text := fmt.Sprintf(`
format: 1
name: test
locate: {keep: 200ms}
accounts: [{name: a, key_sha256: "%s"}]
pools:
  - {name: prep, kind: service, endpoints: [{name: s1, address: "%s", failure_domain: d1}, {name: s2, address: "%s", failure_domain: d2}]}
  - {name: desk, kind: service, endpoints: [{name: desk1, address: "%s", failure_domain: d1}]}
  - {name: lm, kind: engine, endpoints: [{name: g1, address: "%s", failure_domain: d1}, {name: g2, address: "%s", failure_domain: d2}]}
pipelines:
  - {name: plan, deadline: 2s, stages: [{name: prep, pool: prep}, {name: generation, pool: lm, max_tokens: %d}]}
  - {name: sell, deadline: 2s, stages: [{name: desk, pool: desk, repeatable: false}]}
  - {name: look, deadline: 2s, stages: [{name: desk, pool: desk}]}
`, hex.EncodeToString(sum[:]), listen(), listen(), listen(), listen(), listen(), tokenCount)
	cfg, err := config.Parse("test.yaml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	work := func(p *config.Pool, _ *config.Endpoint) standin.Latency {
		if p.Kind() == config.KindEngine {
			return standin.Latency{Base: 2 * time.Millisecond, Token: time.Millisecond, Cache: 8}
		}
		return standin.Latency{Base: 2 * time.Millisecond}
	}
	s := &system{t: t, cfg: cfg, world: standin.NewWorld(1, cfg, nil, work)}
	for _, l := range listeners {
		s.serve(l, s.world.Endpoints()[l.Addr().String()].Handler())
	}
	pl, platformAddress := freeAddress(t)
	s.serve(pl, s.world.Admin())
	for i := range nodes {
		s.addNode(i, platformAddress)
	}
	s.apply(1)
	return s
}

func (s *system) serve(l net.Listener, h http.Handler) {
	server := &httptest.Server{Listener: l, Config: &http.Server{Handler: h}}
	server.Start()
	s.t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
}

func (s *system) addNode(i int, platformAddress string) {
	store, err := platform.NewHTTP("http://" + platformAddress)
	if err != nil {
		s.t.Fatal(err)
	}
	l, address := freeAddress(s.t)
	n := NewNode(Identity{Node: fmt.Sprint("n", i), Incarnation: uint64(i + 1), Address: address, Domain: "d1", Region: "r"},
		WithStore(NewTableStore(store)))
	s.serve(l, n.Handler())
	ctx, cancel := context.WithCancel(context.Background())
	s.t.Cleanup(cancel)
	pl, peerAddress := freeAddress(s.t)
	n.id.PeerAddress = peerAddress
	go n.RunRecords(ctx, "test", pl, &peer.Security{})
	s.nodes = append(s.nodes, n)
	s.urls = append(s.urls, address)
}

// apply applies the configuration and the list of entries to every node.
func (s *system) apply(version uint64) {
	var entries []wire.Entry
	for _, n := range s.nodes {
		entries = append(entries, n.Self())
	}
	for _, n := range s.nodes {
		snapshot := wire.Snapshot{Config: wire.ConfigFile{Version: version, Data: s.cfg.Data()}, Entries: entries, Settled: true}
		if err := n.Apply(snapshot); err != nil {
			s.t.Fatal(err)
		}
	}
}

func (s *system) client(node int, opts ...client.Option) *client.Client {
	c, err := client.New(testKey, []string{s.urls[node]}, opts...)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(c.Close)
	return c
}

func (s *system) fault(target string, f standin.Fault, calls int) {
	if err := s.world.InjectFault(standin.FaultSpec{Target: target, Fault: f, Calls: calls, Factor: 10}); err != nil {
		s.t.Fatal(err)
	}
}

// runs returns the number of times that the stand-ins of a pool ran a request.
func (s *system) runs(pool, id string) int {
	for _, c := range s.world.Counts().All() {
		if c.Pool == pool && c.RequestID == id {
			return c.Runs
		}
	}
	return 0
}

func fullText(marker string) string {
	var b strings.Builder
	for i := range tokenCount {
		b.WriteString(standin.Token(marker, i))
	}
	return b.String()
}

func request(pipeline, id string) client.Request {
	return client.Request{Pipeline: pipeline, ID: id, Input: "req=" + id + ";text", Deadline: 2 * time.Second, Once: pipeline == "sell"}
}
