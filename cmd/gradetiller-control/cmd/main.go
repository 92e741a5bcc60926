// Package cmd implements the gradetiller-control command.
package cmd

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"go.uber.org/zap"

	"gradetiller.example/internal/control"
	"gradetiller.example/internal/settings"
)

const (
	name = "gradetiller-control"
	help = "Distributes the configuration in force and the membership of the system to the entry processes, and serves operators."

	// gcPercent keeps the process below its 64 MB while it parses a file of 3,900
	// accounts. A soft memory limit is no alternative: the live heap during a parse
	// exceeds any limit that would help, and five such files cost 23 s of CPU time
	// in garbage collection.
	gcPercent = 30

	// responseGrace is the time for writing the responses of requests that were
	// canceled by the shutdown.
	responseGrace = time.Second
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
		return fmt.Errorf("operators could connect to %s without a token: set --token", c.Listen)
	}
	r, err := c.Open(c.Listen)
	if err != nil {
		return err
	}
	defer r.Close()
	debug.SetGCPercent(gcPercent)
	ctl := control.New(control.Identity{
		System: c.System, Node: c.Node, Incarnation: settings.Incarnation(), PeerAddress: c.PeerListen.String(),
		Domain: c.FailureDomain, Region: c.Region,
	}, control.WithLog(r.Log()), control.WithPlatform(r.Platform(), r.Platform(), r.Platform()), control.WithSecurity(r.Security()))
	server := settings.NewServer(ctl.Handler(c.Token))
	requests, endRequests := context.WithCancel(context.Background())
	defer endRequests()
	server.BaseContext = func(net.Listener) context.Context { return requests }
	go func() { _ = server.Serve(r.Listener()) }()
	first, second := settings.Signals()
	r.Log().Info("listening", zap.Stringer("peers", c.PeerListen), zap.Stringer("operators", c.Listen), zap.String("node", c.Node))
	err = ctl.Run(first, r.PeerListener())
	shutdown(second, server, endRequests, r.Log())
	return err
}

// shutdown waits for operators' requests until control.ApplyTimeout has passed or the
// second signal arrives. It then cancels them; a request that is waiting for the
// store is answered with what is known about its outcome.
func shutdown(second context.Context, server *http.Server, endRequests func(), log *zap.Logger) {
	bounded, cancel := context.WithTimeout(second, control.ApplyTimeout)
	defer cancel()
	if server.Shutdown(bounded) == nil {
		return
	}
	log.Warn("operators' requests ended by the stop")
	endRequests()
	last, cancelLast := context.WithTimeout(context.Background(), responseGrace)
	defer cancelLast()
	if err := server.Shutdown(last); err != nil {
		log.Warn("stopped before all answers were out", zap.Error(err))
	}
}
