package settings

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"gradetiller.example/internal/peer"
)

// PeerTLS holds the settings of mutual TLS between the system's processes.
type PeerTLS struct {
	TLSCert       string `help:"PEM file of this process's certificate; its organizational unit is the role." placeholder:"FILE"`
	TLSKey        string `help:"PEM file of this process's key." placeholder:"FILE"`
	TLSCA         string `name:"tls-ca" help:"PEM file of the authority that signs peers' certificates." placeholder:"FILE"`
	InsecurePeers bool   `help:"Allow plain text between processes beyond the loopback interface."`
}

// Security loads the certificate and keys. Without them, it returns an error
// unless listen is a loopback address or InsecurePeers is set.
func (k PeerTLS) Security(listen Address) (*peer.Security, error) {
	s, err := peer.NewSecurity(peer.Files{Certificate: k.TLSCert, Key: k.TLSKey, Authority: k.TLSCA})
	if err != nil {
		return nil, err
	}
	if !s.Enabled() && !k.InsecurePeers && !listen.Loopback() {
		return nil, fmt.Errorf("connections from peers to %s would not be encrypted: set --tls-cert, --tls-key and --tls-ca, or --insecure-peers", listen)
	}
	return s, nil
}

// Incarnation returns the start time in milliseconds, which increases with each
// restart of a process unless the clock steps back. In that case the membership
// protocol raises the incarnation.
func Incarnation() uint64 { return uint64(time.Now().UnixMilli()) }

// Signals returns a context that is canceled by the first SIGTERM or SIGINT, and
// one that is canceled by the second.
func Signals() (first, second context.Context) {
	first, cancelFirst := context.WithCancel(context.Background())
	second, cancelSecond := context.WithCancel(context.Background())
	ch := make(chan os.Signal, 2)
	signal.Notify(ch, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-ch
		cancelFirst()
		<-ch
		cancelSecond()
	}()
	return first, second
}

const (
	headerTimeout = 10 * time.Second
	idleTimeout   = 60 * time.Second
)

// Listen opens a TCP listener.
func Listen(a Address) (net.Listener, error) {
	l, err := net.Listen("tcp", a.String())
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", a, err)
	}
	return l, nil
}

// NewServer returns an HTTP server with time limits for reading request headers
// and for idle connections.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
}
