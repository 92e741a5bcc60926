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
	// linkTimeout is how long a silent control process is kept.
	linkTimeout  = 3 * time.Second
	redialPause  = 200 * time.Millisecond
	homeAttempts = 5
)

// Link keeps a connection to a control process: this instance's own while it
// answers, else one of the others.
type Link struct {
	node     *Node
	controls []string
	hello    wire.Hello
	security *peer.Security
}

// NewLink returns a link to the first control address that answers; the first
// one is this instance's own.
func NewLink(n *Node, system string, controls []string, s *peer.Security) *Link {
	return &Link{
		node: n, controls: controls, security: s,
		hello: wire.Hello{Version: wire.Version, System: system, Role: wire.RoleEntry, Node: n.id.Node, Incarnation: n.id.Incarnation},
	}
}

// Run keeps the link until ctx ends. While no control process answers, the
// node goes on with its last snapshot.
func (l *Link) Run(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		address := l.controls[0]
		if i >= homeAttempts && i%2 == 1 {
			address = l.controls[(i/2)%len(l.controls)]
		}
		conn, err := peer.Dial(ctx, address, l.hello, l.security)
		if err == nil {
			l.node.log.Info("linked to control", zap.String("address", address))
			err = l.follow(ctx, conn)
			_ = conn.Close()
			i = 0
		}
		if ctx.Err() == nil {
			l.node.log.Warn("no link to control", zap.String("address", address), zap.Error(err))
		}
		select {
		case <-ctx.Done():
		case <-time.After(redialPause):
		}
	}
}

// follow sends statuses and applies snapshots until the connection ends.
func (l *Link) follow(ctx context.Context, conn *peer.Conn) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	go l.report(ctx, conn)
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
		case *wire.Story:
			if err := conn.Send(wire.StoryAnswer{ID: m.ID, Lines: l.node.Decisions(m.Subject)}); err != nil {
				return err
			}
		}
	}
}

func (l *Link) report(ctx context.Context, conn *peer.Conn) {
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
	return wire.EntryStatus{Entry: n.Self(), ConfigVersion: n.version, InFlight: n.engine.InFlight(), Impaired: n.impaired()}
}

// impaired lists what keeps this node from serving as it should.
func (n *Node) impaired() []string {
	var list []string
	if n.version == 0 {
		list = append(list, "no configuration")
	}
	if len(n.records.repairs()) > 0 {
		list = append(list, "started records wait for the store")
	}
	if n.leaving.Load() {
		list = append(list, "leaving")
	}
	return list
}

func (r *records) repairs() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.book.PendingRepairs()
}
