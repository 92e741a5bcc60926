// Package cmd holds the settings and the start of gradetiller-control.
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
	help = "Keeps the configuration in force and the view of the other nodes for the entry processes, and serves operators."

	// collectAt has the collector run often enough that the process keeps under
	// its 64 MB while a file of 3,900 accounts is parsed. A limit on memory
	// instead cost 23 s of processor time for five such files, since what is
	// alive meanwhile is over any limit that would help.
	collectAt = 30

	// answerTime is what the answers of requests that the stop ended have to get
	// out.
	answerTime = time.Second
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
	requests, endRequests := context.WithCancel(context.Background())
	defer endRequests()
	server.BaseContext = func(net.Listener) context.Context { return requests }
	go func() { _ = server.Serve(r.Listener()) }()
	first, second := settings.Signals()
	r.Log().Info("listening", zap.Stringer("peers", c.PeerListen), zap.Stringer("operators", c.Listen), zap.String("node", c.Node))
	err = ctl.Run(first, r.PeerListener())
	stop(second, server, endRequests, r.Log())
	return err
}

// stop waits for operators' requests, as long as an apply may take and until the
// second signal at most. It then ends them: one that waits for the store is
// answered with what is known of it.
func stop(second context.Context, server *http.Server, endRequests func(), log *zap.Logger) {
	bounded, cancel := context.WithTimeout(second, control.ApplyTimeout)
	defer cancel()
	if server.Shutdown(bounded) == nil {
		return
	}
	log.Warn("operators' requests ended by the stop")
	endRequests()
	last, cancelLast := context.WithTimeout(context.Background(), answerTime)
	defer cancelLast()
	if err := server.Shutdown(last); err != nil {
		log.Warn("stopped before all answers were out", zap.Error(err))
	}
}
