package peer

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"gradetiller.example/internal/wire"
)

// Security holds the keys for connections between processes. The zero value means plain text.
//
// A certificate contains the role of its process as the organizational unit.
type Security struct {
	files    Files
	mu       sync.Mutex
	cert     *tls.Certificate
	roots    *x509.CertPool
	loadedAt time.Time
}

// Files holds the paths of the PEM files.
type Files struct {
	Certificate string
	Key         string
	Authority   string
}

// reloadInterval is the interval at which the files are reloaded, so that keys can be replaced
// without a restart.
const reloadInterval = 30 * time.Second

// NewSecurity loads the files. If all paths are empty, connections use plain text.
func NewSecurity(f Files) (*Security, error) {
	s := &Security{files: f}
	if !s.enabled() {
		return s, nil
	}
	if f.Certificate == "" || f.Key == "" || f.Authority == "" {
		return nil, errors.New("certificate, key and authority must be set together")
	}
	return s, s.reload()
}

func (s *Security) enabled() bool { return s != nil && s.files != Files{} }

// Enabled reports whether connections use TLS.
func (s *Security) Enabled() bool { return s.enabled() }

func (s *Security) reload() error {
	cert, err := tls.LoadX509KeyPair(s.files.Certificate, s.files.Key)
	if err != nil {
		return fmt.Errorf("load certificate: %w", err)
	}
	pem, err := os.ReadFile(s.files.Authority)
	if err != nil {
		return fmt.Errorf("load certificate authority: %w", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return fmt.Errorf("load certificate authority: no certificate in %s", s.files.Authority)
	}
	s.cert, s.roots, s.loadedAt = &cert, roots, time.Now()
	return nil
}

// current returns the keys and reloads them first if they are older than reloadInterval. If that
// fails, the previous keys stay in use.
func (s *Security) current() (*tls.Certificate, *x509.CertPool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.loadedAt) > reloadInterval {
		if err := s.reload(); err != nil {
			s.loadedAt = time.Now()
		}
	}
	return s.cert, s.roots
}

func (s *Security) client(conn net.Conn) net.Conn {
	if !s.enabled() {
		return conn
	}
	cert, roots := s.current()
	host, _, _ := net.SplitHostPort(conn.RemoteAddr().String())
	return tls.Client(conn, &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{*cert},
		RootCAs:      roots,
		ServerName:   host,
	})
}

func (s *Security) server(conn net.Conn) net.Conn {
	if !s.enabled() {
		return conn
	}
	cert, roots := s.current()
	return tls.Server(conn, &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{*cert},
		ClientCAs:    roots,
		ClientAuth:   tls.RequireAndVerifyClientCert,
	})
}

// checkRole checks that the peer's certificate contains the role of its Hello.
func (s *Security) checkRole(conn net.Conn, role wire.Role) error {
	if !s.enabled() {
		return nil
	}
	tc, ok := conn.(*tls.Conn)
	if !ok || len(tc.ConnectionState().PeerCertificates) == 0 {
		return errors.New("peer presented no certificate")
	}
	for _, unit := range tc.ConnectionState().PeerCertificates[0].Subject.OrganizationalUnit {
		if unit == string(role) {
			return nil
		}
	}
	return fmt.Errorf("peer's certificate does not contain the role %q", role)
}
