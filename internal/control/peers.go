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
	// peerQueueSize bounds the messages queued for one peer. Further messages are
	// dropped; the membership's listings repair the loss.
	peerQueueSize = 64
	// peerIdleTimeout is how long an idle outgoing connection is kept open.
	peerIdleTimeout = 10 * time.Second
	redialDelay     = 500 * time.Millisecond
	// peerReceiveTimeout is how long an incoming connection may be silent before
	// it is closed.
	peerReceiveTimeout = 15 * time.Second
)

// peers holds the outgoing connections to other control processes. A process
// sends its messages on connections that it opened; it receives only answers on
// them.
type peers struct {
	c           *Control
	ctx         context.Context
	cancel      context.CancelFunc
	mu          sync.Mutex
	connections map[string]*outgoingConn
	sentBytes   atomic.Uint64
	wait        sync.WaitGroup
}

type outgoingConn struct {
	node    string
	address string
	queue   chan wire.Message
}

func newPeers(c *Control) *peers {
	ctx, cancel := context.WithCancel(context.Background())
	return &peers{c: c, ctx: ctx, cancel: cancel, connections: make(map[string]*outgoingConn)}
}

func (p *peers) close() {
	p.cancel()
	p.wait.Wait()
}

func (p *peers) enqueueAll(sends []member.Message) {
	for _, s := range sends {
		if s.Address == "" {
			// A reply to the message just received. Between control processes only
			// configuration files are sent back on an incoming connection; the sender
			// learns of this process's new incarnation after it has declared the
			// earlier one dead.
			continue
		}
		p.enqueue(s.Node, s.Address, s.Gossip)
	}
}

func (p *peers) enqueue(node, address string, m wire.Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	o, ok := p.connections[node]
	if !ok || o.address != address {
		o = &outgoingConn{node: node, address: address, queue: make(chan wire.Message, peerQueueSize)}
		p.connections[node] = o
		p.wait.Go(func() { p.sendQueued(o) })
	}
	select {
	case o.queue <- m:
	default:
	}
}

func (p *peers) remove(o *outgoingConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.connections[o.node] == o {
		delete(p.connections, o.node)
	}
}

// sendQueued sends the messages queued for one peer. It returns when the peer is
// unreachable or the connection has been idle for peerIdleTimeout.
func (p *peers) sendQueued(o *outgoingConn) {
	defer p.remove(o)
	conn, err := peer.Dial(p.ctx, o.address, p.c.hello(), p.c.security)
	if err != nil {
		p.c.log.Debug("peer unreachable", zap.String("node", o.node), zap.Error(err))
		p.sleep(redialDelay)
		return
	}
	defer conn.Close()
	p.wait.Go(func() { p.receiveAnswers(conn) })
	idle := time.NewTimer(peerIdleTimeout)
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
			p.sentBytes.Add(conn.Sent() - before)
			idle.Reset(peerIdleTimeout)
		}
	}
}

func (p *peers) sleep(d time.Duration) {
	select {
	case <-p.ctx.Done():
	case <-time.After(d):
	}
}

func (p *peers) receiveAnswers(conn *peer.Conn) {
	for {
		m, err := conn.Receive()
		if err != nil {
			return
		}
		if f, ok := m.(*wire.ConfigFile); ok {
			p.c.applyPackedConfig(*f, "peer "+conn.Hello().Node)
		}
	}
}

// serveControl handles the messages of another control process.
func (c *Control) serveControl(conn *peer.Conn) {
	for {
		conn.SetReceiveTimeout(peerReceiveTimeout)
		m, err := conn.Receive()
		if err != nil {
			return
		}
		switch m := m.(type) {
		case *wire.Gossip:
			c.mu.Lock()
			sends := c.member.Receive(time.Now(), *m)
			c.mu.Unlock()
			c.peers.enqueueAll(sends)
		case *wire.ConfigRequest:
			if err := c.sendConfig(conn, m.Above); err != nil {
				return
			}
		default:
			c.log.Warn("message not allowed for role", zap.String("node", conn.Hello().Node))
			return
		}
	}
}

func (c *Control) sendConfig(conn *peer.Conn, above uint64) error {
	c.mu.Lock()
	f := c.inForce
	c.mu.Unlock()
	if f.Version <= above {
		return nil
	}
	compressed, err := packed.Pack(f.Data)
	if err != nil {
		return err
	}
	f.Data = compressed
	return conn.Send(f)
}

// requestNewerConfig requests a configuration from a peer that announced a newer
// version than this node's.
func (c *Control) requestNewerConfig() {
	c.mu.Lock()
	node, version := c.member.NewerConfig()
	own := c.inForce.Version
	address := ""
	for _, m := range c.member.Members() {
		if m.Node == node {
			address = m.Address
		}
	}
	ready := version > own && address != "" && time.Since(c.lastConfigRequest) > configRequestInterval
	if ready {
		c.lastConfigRequest = time.Now()
	}
	c.mu.Unlock()
	if ready {
		c.peers.enqueue(node, address, wire.ConfigRequest{Above: own})
	}
}

// configRequestInterval is the least time between two configuration requests.
const configRequestInterval = 300 * time.Millisecond
