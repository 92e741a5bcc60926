// Package cmd holds the settings and the start of gradetiller-control.
package cmd

import (
	"context"
	"fmt"
	"runtime/debug"

	"go.uber.org/zap"

	"gradetiller.example/internal/control"
	"gradetiller.example/internal/settings"
)

const (
	name = "gradetiller-control"
	help = "Keeps the configuration in force and the view of the other nodes for the entry processes, and serves operators."

	// collectAt has the collector run often enough that the process keeps under
	// its 64 MB while a file of 3,900 accounts is parsed. A limit on memory
	// instead cost 23 s of processor time for five such files, since what is
	// alive meanwhile is over any limit that would help.
	collectAt = 30
)

type cli struct {
	settings.Common
	Listen settings.Address `help:"IP address and port for operators." required:"" placeholder:"IP:PORT"`
	Token  string           `help:"Token that operators must send; may be empty only on the loopback interface."`
}

// Main runs the program.
func Main() {
	var c cli
	settings.Run(&c, name, help, func() error { return c.run() })
}

func (c *cli) run() error {
	if c.Token == "" && !c.Listen.Loopback() {
		return fmt.Errorf("operators on %s would need no token: set --token", c.Listen)
	}
	r, err := c.Open(c.Listen)
	if err != nil {
		return err
	}
	defer r.Close()
	debug.SetGCPercent(collectAt)
	ctl := control.New(control.Identity{
		System: c.System, Node: c.Node, Incarnation: settings.Incarnation(), PeerAddress: c.PeerListen.String(),
		Domain: c.FailureDomain, Region: c.Region,
	}, control.WithLog(r.Log()), control.WithPlatform(r.Platform(), r.Platform(), r.Platform()), control.WithSecurity(r.Security()))
	server := settings.NewServer(ctl.Handler(c.Token))
	go func() { _ = server.Serve(r.Listener()) }()
	first, _ := settings.Signals()
	r.Log().Info("listening", zap.Stringer("peers", c.PeerListen), zap.Stringer("operators", c.Listen), zap.String("node", c.Node))
	err = ctl.Run(first, r.PeerListener())
	_ = server.Shutdown(context.Background())
	return err
}
