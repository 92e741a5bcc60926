package entry

import (
	"context"
	"net"

	"go.uber.org/zap"

	"gradetiller.example/internal/peer"
	"gradetiller.example/internal/wire"
)

// RunRecords serves other entries' started records and repairs records until
// ctx ends.
func (n *Node) RunRecords(ctx context.Context, system string, l net.Listener, s *peer.Security) {
	hello := wire.Hello{Version: wire.Version, System: system, Role: wire.RoleEntry, Node: n.id.Node, Incarnation: n.id.Incarnation}
	server := peer.NewServer(l, hello, s, []wire.Role{wire.RoleEntry}, func(conn *peer.Conn) {
		_, _ = conn.Receive()
	}, func(err error) { n.log.Warn("peer connection refused", zap.Error(err)) })
	go n.records.repair(ctx)
	if err := server.Serve(ctx); err != nil {
		n.log.Error("peer listener ended", zap.Error(err))
	}
}
