package entry

import (
	"context"
	"net"

	"go.uber.org/zap"

	"gradetiller.example/internal/core/ledger"
	"gradetiller.example/internal/peer"
	"gradetiller.example/internal/wire"
)

// RunRecords stores started records for other entries, and enables forwarding
// of this node's records to their writers, until ctx is done.
func (n *Node) RunRecords(ctx context.Context, system string, l net.Listener, s *peer.Security) {
	hello := wire.Hello{Version: wire.Version, System: system, Role: wire.RoleEntry, Node: n.id.Node, Incarnation: n.id.Incarnation}
	server := peer.NewServer(l, hello, s, []wire.Role{wire.RoleEntry}, n.serveRecords,
		func(err error) { n.log.Warn("peer connection refused", zap.Error(err)) })
	n.records.forwarder.enable(ctx, hello, s)
	if err := server.Serve(ctx); err != nil {
		n.log.Error("peer listener ended", zap.Error(err))
	}
}

// serveRecords stores the records that another entry sends over conn.
func (n *Node) serveRecords(conn *peer.Conn) {
	for {
		m, err := conn.Receive()
		if err != nil {
			return
		}
		s, ok := m.(*wire.Start)
		if !ok {
			n.log.Warn("message not allowed for role", zap.String("node", conn.Hello().Node))
			return
		}
		n.records.startForwarded(s.Key, s.Token, func(result ledger.Result) {
			_ = conn.Send(wire.Started{ID: s.ID, Result: uint8(result)})
		})
	}
}
