package peer

import (
	"context"
	"errors"
	"net"
	"sync"

	"gradetiller.example/internal/wire"
)

// Server accepts connections from peers.
type Server struct {
	listener  net.Listener
	self      wire.Hello
	security  *Security
	roles     []wire.Role
	handle    func(*Conn)
	onRefused func(error)

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
	wg     sync.WaitGroup
}

// NewServer returns a server that calls handle, in a separate goroutine, for each connection from
// a peer of the given roles, and onRefused with the error of each connection that it refuses.
func NewServer(l net.Listener, self wire.Hello, s *Security, roles []wire.Role, handle func(*Conn), onRefused func(error)) *Server {
	return &Server{
		listener: l, self: self, security: s, roles: roles, handle: handle, onRefused: onRefused,
		conns: make(map[net.Conn]struct{}),
	}
}

// Serve accepts connections until ctx is done. It then closes all connections and returns when the
// last handler has returned.
func (s *Server) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, s.close)
	defer stop()
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			s.wg.Wait()
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			return err
		}
		if !s.track(conn) {
			_ = conn.Close()
			continue
		}
		go s.serve(conn)
	}
}

func (s *Server) serve(conn net.Conn) {
	defer s.wg.Done()
	defer s.untrack(conn)
	c, err := open(s.security.server(conn), s.self, s.security, s.roles)
	if err != nil {
		s.onRefused(err)
		return
	}
	defer c.Close()
	s.handle(c)
}

func (s *Server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[conn] = struct{}{}
	s.wg.Add(1)
	return true
}

func (s *Server) untrack(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

func (s *Server) close() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for conn := range s.conns {
		_ = conn.Close()
	}
}
