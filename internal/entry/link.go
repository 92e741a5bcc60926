package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"gradetiller.example/internal/peer"
	"gradetiller.example/internal/wire"
)

const (
	statusInterval = 500 * time.Millisecond
	// linkTimeout is the time without a message after which the connection to a
	// control process is closed.
	linkTimeout    = 3 * time.Second
	redialInterval = 200 * time.Millisecond
	localAttempts  = 5
)

// Link maintains a connection to a control process. It prefers the control
// process of this instance and falls back to those of other instances.
type Link struct {
	node     *Node
	controls []string
	hello    wire.Hello
	security *peer.Security
}

// NewLink returns a link that connects to one of the control addresses. The
// first address is that of this instance's control process.
func NewLink(n *Node, system string, controls []string, s *peer.Security) *Link {
	return &Link{
		node: n, controls: controls, security: s,
		hello: wire.Hello{Version: wire.Version, System: system, Role: wire.RoleEntry, Node: n.id.Node, Incarnation: n.id.Incarnation},
	}
}

// Run connects and reconnects until ctx is done. While no control process is
// reachable, the node continues to serve with the last snapshot.
func (l *Link) Run(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		address := l.controls[0]
		if i >= localAttempts && i%2 == 1 {
			address = l.controls[(i/2)%len(l.controls)]
		}
		conn, err := peer.Dial(ctx, address, l.hello, l.security)
		if err == nil {
			l.node.log.Info("linked to control", zap.String("address", address))
			err = l.serve(ctx, conn)
			_ = conn.Close()
			i = 0
		}
		if ctx.Err() == nil {
			l.node.log.Warn("no link to control", zap.String("address", address), zap.Error(err))
		}
		select {
		case <-ctx.Done():
		case <-time.After(redialInterval):
		}
	}
}

// serve sends statuses, applies snapshots and answers queries for decisions
// until the connection ends.
func (l *Link) serve(ctx context.Context, conn *peer.Conn) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	go l.sendStatus(ctx, conn)
	for {
		conn.SetReceiveTimeout(linkTimeout)
		m, err := conn.Receive()
		if err != nil {
			return err
		}
		switch m := m.(type) {
		case *wire.Snapshot:
			if err := l.node.Apply(*m); err != nil {
				l.node.log.Error("snapshot refused", zap.Error(err))
			}
		case *wire.ExplainRequest:
			if err := conn.Send(wire.ExplainResponse{ID: m.ID, Lines: l.node.Decisions(m.Subject)}); err != nil {
				return err
			}
		}
	}
}

func (l *Link) sendStatus(ctx context.Context, conn *peer.Conn) {
	t := time.NewTicker(statusInterval)
	defer t.Stop()
	for {
		if err := conn.Send(l.node.status()); err != nil {
			_ = conn.Close()
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (n *Node) status() wire.EntryStatus {
	n.mu.Lock()
	defer n.mu.Unlock()
	return wire.EntryStatus{Entry: n.Self(), ConfigVersion: n.version, InFlight: n.engine.InFlight(), Impaired: n.impairments()}
}

// impairments lists the conditions that limit this node's service.
func (n *Node) impairments() []string {
	var list []string
	if n.version == 0 {
		list = append(list, "no configuration")
	}
	if len(n.records.pendingRepairs()) > 0 {
		list = append(list, "started records wait for the store")
	}
	if n.leaving.Load() {
		list = append(list, "leaving")
	}
	return list
}

func (r *records) pendingRepairs() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.batcher.PendingRepairs()
}
