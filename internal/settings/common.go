package settings

import (
	"net"

	"go.uber.org/zap"

	"gradetiller.example/internal/logging"
	"gradetiller.example/internal/peer"
	"gradetiller.example/internal/platform"
)

// Common holds the settings that the control and entry programs share.
type Common struct {
	System        string  `help:"Name of the system; processes of other systems are refused." required:""`
	Node          string  `help:"Name of this instance; unique in the system." required:""`
	FailureDomain string  `help:"Failure domain of this instance." required:""`
	Region        string  `help:"Region of this instance." default:"default"`
	PeerListen    Address `help:"IP address and port for the system's other processes." required:"" placeholder:"IP:PORT"`
	Platform      string  `help:"Base URL of the platform's services, http://IP:PORT." required:""`
	LogLevel      string  `help:"debug, info, warn or error." default:"info"`
	PeerTLS
}

// Resources holds what a control or entry program opens at startup.
type Resources struct {
	log          *zap.Logger
	flush        func()
	security     *peer.Security
	platform     *platform.HTTP
	listener     net.Listener
	peerListener net.Listener
}

// Log returns the logger.
func (r *Resources) Log() *zap.Logger { return r.log }

// Security returns the TLS material for connections between processes.
func (r *Resources) Security() *peer.Security { return r.security }

// Platform returns the client of the platform's services.
func (r *Resources) Platform() *platform.HTTP { return r.platform }

// Listener returns the listener for clients (entry) or operators (control).
func (r *Resources) Listener() net.Listener { return r.listener }

// PeerListener returns the listener for the system's other processes.
func (r *Resources) PeerListener() net.Listener { return r.peerListener }

// Close flushes the log.
func (r *Resources) Close() { r.flush() }

// Open checks the settings and opens the program's listeners and log; listen is
// the address for clients or operators.
func (c *Common) Open(listen Address) (*Resources, error) {
	r := &Resources{}
	var err error
	if r.security, err = c.Security(c.PeerListen); err != nil {
		return nil, err
	}
	if r.platform, err = platform.NewHTTP(c.Platform); err != nil {
		return nil, err
	}
	if r.listener, err = Listen(listen); err != nil {
		return nil, err
	}
	if r.peerListener, err = Listen(c.PeerListen); err != nil {
		return nil, err
	}
	r.log, r.flush, err = logging.New(c.LogLevel)
	return r, err
}

// Run is the main function of a program without subcommands: it parses the
// settings into cli and calls f. On an error it exits with ExitUsage.
func Run(cli any, name, help string, f func() error) {
	Parse(cli, name, help)
	if err := f(); err != nil {
		Fail(name, err)
	}
}
