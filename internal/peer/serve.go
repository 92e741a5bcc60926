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
	listener net.Listener
	self     wire.Hello
	security *Security
	roles    []wire.Role
	handle   func(*Conn)
	refused  func(error)

	mu    sync.Mutex
	conns map[net.Conn]struct{}
	done  bool
	wait  sync.WaitGroup
}

// NewServer returns a server that passes connections of the given roles to
// handle, each in a goroutine of its own, and tells refused about others.
func NewServer(l net.Listener, self wire.Hello, s *Security, roles []wire.Role, handle func(*Conn), refused func(error)) *Server {
	return &Server{
		listener: l, self: self, security: s, roles: roles, handle: handle, refused: refused,
		conns: make(map[net.Conn]struct{}),
	}
}

// Serve accepts until ctx ends, then closes all connections and returns after
// the last handler.
func (s *Server) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, s.close)
	defer stop()
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			s.wait.Wait()
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
	defer s.wait.Done()
	defer s.forget(conn)
	c, err := open(s.security.server(conn), s.self, s.security, s.roles)
	if err != nil {
		s.refused(err)
		return
	}
	defer c.Close()
	s.handle(c)
}

func (s *Server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.done {
		return false
	}
	s.conns[conn] = struct{}{}
	s.wait.Add(1)
	return true
}

func (s *Server) forget(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

func (s *Server) close() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.done = true
	for conn := range s.conns {
		_ = conn.Close()
	}
}
