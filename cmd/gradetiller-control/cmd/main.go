// Package cmd holds the settings and the start of gradetiller-control.
package cmd

import (
	"context"
	"fmt"

	"go.uber.org/zap"

	"gradetiller.example/internal/control"
	"gradetiller.example/internal/logging"
	"gradetiller.example/internal/platform"
	"gradetiller.example/internal/settings"
)

const (
	name = "gradetiller-control"
	help = "Keeps the configuration in force and the view of the other nodes for the entry processes, and serves operators."
)

type cli struct {
	System        string           `help:"Name of the system; processes of other systems are refused." required:""`
	Node          string           `help:"Name of this instance; unique in the system." required:""`
	FailureDomain string           `help:"Failure domain of this instance." required:""`
	Region        string           `help:"Region of this instance." default:"default"`
	PeerListen    settings.Address `help:"IP address and port for entries and other control processes." required:"" placeholder:"IP:PORT"`
	Listen        settings.Address `help:"IP address and port for operators." required:"" placeholder:"IP:PORT"`
	Platform      string           `help:"Base URL of the platform's services, http://IP:PORT." required:""`
	Token         string           `help:"Token that operators must send; may be empty only on the loopback interface."`
	LogLevel      string           `help:"debug, info, warn or error." default:"info"`
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
	if c.Token == "" && !c.Listen.Loopback() {
		return fmt.Errorf("operators on %s would need no token: set --token", c.Listen)
	}
	log, flush, err := logging.New(c.LogLevel)
	if err != nil {
		return err
	}
	defer flush()
	security, err := c.Security(c.PeerListen)
	if err != nil {
		return err
	}
	p, err := platform.NewHTTP(c.Platform)
	if err != nil {
		return err
	}
	peerListener, err := settings.Listen(c.PeerListen)
	if err != nil {
		return err
	}
	listener, err := settings.Listen(c.Listen)
	if err != nil {
		return err
	}
	ctl := control.New(control.Identity{
		System: c.System, Node: c.Node, Incarnation: settings.Incarnation(), PeerAddress: c.PeerListen.String(),
		Domain: c.FailureDomain, Region: c.Region,
	}, control.WithLog(log), control.WithPlatform(p, p, p), control.WithSecurity(security))
	server := settings.NewServer(ctl.Handler(c.Token))
	go func() { _ = server.Serve(listener) }()
	first, _ := settings.Signals()
	log.Info("listening", zap.Stringer("peers", c.PeerListen), zap.Stringer("operators", c.Listen), zap.String("node", c.Node))
	err = ctl.Run(first, peerListener)
	_ = server.Shutdown(context.Background())
	return err
}
