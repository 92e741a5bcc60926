package control

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"gradetiller.example/internal/core/member"
	"gradetiller.example/internal/packed"
	"gradetiller.example/internal/peer"
	"gradetiller.example/internal/wire"
)

const (
	// outBuffer bounds the messages that wait for one peer; further ones are
	// dropped, and listings heal the loss.
	outBuffer = 64
	// idleOut is how long an unused connection is kept.
	idleOut     = 10 * time.Second
	redialPause = 500 * time.Millisecond
	// silentPeer closes an incoming connection from which nothing comes.
	silentPeer = 15 * time.Second
)

// peers holds the connections to other control processes. Each process sends
// on connections that it opened; what comes back on them are answers.
type peers struct {
	c      *Control
	ctx    context.Context
	cancel context.CancelFunc
	mu     sync.Mutex
	out    map[string]*outgoing
	sent   atomic.Uint64
	wait   sync.WaitGroup
}

type outgoing struct {
	node    string
	address string
	queue   chan wire.Message
}

func newPeers(c *Control) *peers {
	ctx, cancel := context.WithCancel(context.Background())
	return &peers{c: c, ctx: ctx, cancel: cancel, out: make(map[string]*outgoing)}
}

func (p *peers) close() {
	p.cancel()
	p.wait.Wait()
}

func (p *peers) send(sends []member.Message) {
	for _, s := range sends {
		if s.Address == "" {
			// Links between control processes carry no answers but files; the
			// sender hears of this process when it has given up its earlier life.
			continue
		}
		p.message(s.Node, s.Address, s.Gossip)
	}
}

func (p *peers) message(node, address string, m wire.Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	o, ok := p.out[node]
	if !ok || o.address != address {
		o = &outgoing{node: node, address: address, queue: make(chan wire.Message, outBuffer)}
		p.out[node] = o
		p.wait.Go(func() { p.run(o) })
	}
	select {
	case o.queue <- m:
	default:
	}
}

func (p *peers) forget(o *outgoing) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.out[o.node] == o {
		delete(p.out, o.node)
	}
}

// run sends one peer's messages; it ends when the peer can't be reached or
// nothing is sent for a while.
func (p *peers) run(o *outgoing) {
	defer p.forget(o)
	conn, err := peer.Dial(p.ctx, o.address, p.c.hello(), p.c.security)
	if err != nil {
		p.c.log.Debug("peer unreachable", zap.String("node", o.node), zap.Error(err))
		p.pause(redialPause)
		return
	}
	defer conn.Close()
	p.wait.Go(func() { p.answers(conn) })
	idle := time.NewTimer(idleOut)
	defer idle.Stop()
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-idle.C:
			return
		case m := <-o.queue:
			before := conn.Sent()
			if err := conn.Send(m); err != nil {
				return
			}
			p.sent.Add(conn.Sent() - before)
			idle.Reset(idleOut)
		}
	}
}

func (p *peers) pause(d time.Duration) {
	select {
	case <-p.ctx.Done():
	case <-time.After(d):
	}
}

func (p *peers) answers(conn *peer.Conn) {
	for {
		m, err := conn.Receive()
		if err != nil {
			return
		}
		if f, ok := m.(*wire.ConfigFile); ok {
			p.c.takePacked(*f, "peer "+conn.Hello().Node)
		}
	}
}

// serveControl takes another control process's messages.
func (c *Control) serveControl(conn *peer.Conn) {
	for {
		conn.SetReceiveTimeout(silentPeer)
		m, err := conn.Receive()
		if err != nil {
			return
		}
		switch m := m.(type) {
		case *wire.Gossip:
			c.mu.Lock()
			sends := c.member.Receive(time.Now(), *m)
			c.mu.Unlock()
			c.peers.send(sends)
		case *wire.ConfigRequest:
			if err := c.answerConfig(conn, m.Above); err != nil {
				return
			}
		default:
			c.log.Warn("message not allowed for role", zap.String("node", conn.Hello().Node))
			return
		}
	}
}

func (c *Control) answerConfig(conn *peer.Conn, above uint64) error {
	c.mu.Lock()
	f := c.inForce
	c.mu.Unlock()
	if f.Version <= above {
		return nil
	}
	small, err := packed.Pack(f.Data)
	if err != nil {
		return err
	}
	f.Data = small
	return conn.Send(f)
}

// fetchFromPeer asks a peer for a configuration that is above this node's.
func (c *Control) fetchFromPeer() {
	c.mu.Lock()
	node, version := c.member.NewerConfig()
	own := c.inForce.Version
	address := ""
	for _, m := range c.member.Members() {
		if m.Node == node {
			address = m.Address
		}
	}
	ready := version > own && address != "" && time.Since(c.asked) > askGap
	if ready {
		c.asked = time.Now()
	}
	c.mu.Unlock()
	if ready {
		c.peers.message(node, address, wire.ConfigRequest{Above: own})
	}
}

// askGap bounds how often peers are asked for a configuration.
const askGap = 300 * time.Millisecond
