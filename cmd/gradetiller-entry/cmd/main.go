// Package cmd holds the settings and the start of gradetiller-entry.
package cmd

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"gradetiller.example/internal/entry"
	"gradetiller.example/internal/logging"
	"gradetiller.example/internal/platform"
	"gradetiller.example/internal/settings"
)

const (
	name = "gradetiller-entry"
	help = "Serves callers: tells them which addresses to use, and takes their requests through the stages of their pipelines."
)

type cli struct {
	System        string             `help:"Name of the system; processes of other systems are refused." required:""`
	Node          string             `help:"Name of this instance; unique in the system." required:""`
	FailureDomain string             `help:"Failure domain of this instance." required:""`
	Region        string             `help:"Region of this instance." default:"default"`
	Listen        settings.Address   `help:"IP address and port for callers; also what callers are told." required:"" placeholder:"IP:PORT"`
	PeerListen    settings.Address   `help:"IP address and port for other entries." required:"" placeholder:"IP:PORT"`
	Control       []settings.Address `help:"Control processes; this instance's own first." required:"" placeholder:"IP:PORT,..."`
	Platform      string             `help:"Base URL of the platform's table, http://IP:PORT." required:""`
	DrainTimeout  time.Duration      `help:"Longest time of a planned stop." default:"60s"`
	LogLevel      string             `help:"debug, info, warn or error." default:"info"`
	settings.Keys
}

// Main runs the program.
func Main() {
	var c cli
	settings.Parse(&c, name, help)
	if err := c.run(); err != nil {
		settings.Fail(name, err)
	}
}

func (c *cli) run() error {
	log, flush, err := logging.New(c.LogLevel)
	if err != nil {
		return err
	}
	defer flush()
	security, err := c.Security(c.PeerListen)
	if err != nil {
		return err
	}
	store, err := platform.NewHTTP(c.Platform)
	if err != nil {
		return err
	}
	listener, err := settings.Listen(c.Listen)
	if err != nil {
		return err
	}
	peerListener, err := settings.Listen(c.PeerListen)
	if err != nil {
		return err
	}
	node := entry.NewNode(entry.Identity{
		Node: c.Node, Incarnation: settings.Incarnation(), Address: c.Listen.String(), PeerAddress: c.PeerListen.String(),
		Domain: c.FailureDomain, Region: c.Region,
	}, entry.WithLog(log), entry.WithStore(entry.NewTableStore(store)))
	link := entry.NewLink(node, c.System, settings.Strings(c.Control), security)
	background, stop := context.WithCancel(context.Background())
	defer stop()
	go link.Run(background)
	go node.RunRecords(background, c.System, peerListener, security)
	server := settings.NewServer(node.Handler())
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	log.Info("listening", zap.Stringer("address", c.Listen), zap.String("node", c.Node), zap.String("failure_domain", c.FailureDomain))
	return c.waitAndDrain(node, server, served, log)
}

// waitAndDrain serves until the first signal, then stops as planned. The
// second signal or the drain timeout ends the stop early.
func (c *cli) waitAndDrain(node *entry.Node, server *http.Server, served chan error, log *zap.Logger) error {
	first, second := settings.Signals()
	select {
	case err := <-served:
		return err
	case <-first.Done():
	}
	bounded, cancel := context.WithTimeout(second, c.DrainTimeout)
	defer cancel()
	node.Drain(bounded)
	if err := server.Shutdown(bounded); err != nil && !errors.Is(err, http.ErrServerClosed) {
		log.Warn("stopped before all answers were out", zap.Error(err))
	}
	log.Info("stopped", zap.Int("in_flight", node.InFlight()))
	return nil
}
