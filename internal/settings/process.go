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

// PeerTLS are the settings of mutual TLS between the system's processes.
type PeerTLS struct {
	TLSCert       string `help:"PEM file of this process's certificate; its organizational unit is the role." placeholder:"FILE"`
	TLSKey        string `help:"PEM file of this process's key." placeholder:"FILE"`
	TLSCA         string `name:"tls-ca" help:"PEM file of the authority that signs peers' certificates." placeholder:"FILE"`
	InsecurePeers bool   `help:"Allow plain text between processes beyond the loopback interface."`
}

// Security reads the keys. Plain text is only allowed on the loopback
// interface or by the explicit flag.
func (k PeerTLS) Security(listen Address) (*peer.Security, error) {
	s, err := peer.NewSecurity(peer.Files{Certificate: k.TLSCert, Key: k.TLSKey, Authority: k.TLSCA})
	if err != nil {
		return nil, err
	}
	if !s.Enabled() && !k.InsecurePeers && !listen.Loopback() {
		return nil, fmt.Errorf("peers on %s would speak plain text: set --tls-cert, --tls-key and --tls-ca, or --insecure-peers", listen)
	}
	return s, nil
}

// Incarnation returns a number that is higher for each later start of a
// process, as long as the clock does not step back; peers correct it if it
// does.
func Incarnation() uint64 { return uint64(time.Now().UnixMilli()) }

// Signals returns a context that ends with the first SIGTERM or SIGINT, and
// one that ends with the second.
func Signals() (first, second context.Context) {
	first, stop := context.WithCancel(context.Background())
	second, kill := context.WithCancel(context.Background())
	ch := make(chan os.Signal, 2)
	signal.Notify(ch, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-ch
		stop()
		<-ch
		kill()
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

// NewServer returns an HTTP server with bounds on slow clients.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
}
