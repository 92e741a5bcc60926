// Package cmd implements the gradetiller-entry command.
package cmd

import (
	"context"
	"errors"
	"net/http"
	"runtime/debug"
	"time"

	"go.uber.org/zap"

	"gradetiller.example/internal/entry"
	"gradetiller.example/internal/settings"
)

// gcPercent keeps the process below 64 MB while it parses a file of 3,900
// accounts. With the default of 100 it peaks at 66 MB.
const gcPercent = 50

// responseGrace is the part of the drain timeout for writing the responses of
// canceled requests and for withdrawing their records. A response takes far
// less; the rest is reserve for a busy instance.
const responseGrace = time.Second

const (
	name = "gradetiller-entry"
	help = "Serves clients: tells them which addresses to use, and runs their requests through the stages of their pipelines."
)

type cli struct {
	settings.Common
	Listen       settings.Address   `help:"IP address and port for clients; also the address that is advertised to them." required:"" placeholder:"IP:PORT"`
	Control      []settings.Address `help:"Addresses of the control processes; the one on this instance first." required:"" placeholder:"IP:PORT,..."`
	DrainTimeout time.Duration      `help:"Maximum duration of a graceful shutdown." default:"60s"`
}

// Main runs the program.
func Main() {
	var c cli
	settings.Run(&c, name, help, func() error { return c.run() })
}

func (c *cli) run() error {
	r, err := c.Open(c.Listen)
	if err != nil {
		return err
	}
	defer r.Close()
	debug.SetGCPercent(gcPercent)
	node := entry.NewNode(entry.Identity{
		Node: c.Node, Incarnation: settings.Incarnation(), Address: c.Listen.String(), PeerAddress: c.PeerListen.String(),
		Domain: c.FailureDomain, Region: c.Region,
	}, entry.WithLog(r.Log()), entry.WithStore(entry.NewTableStore(r.Platform())))
	link := entry.NewLink(node, c.System, settings.Strings(c.Control), r.Security())
	background, stop := context.WithCancel(context.Background())
	defer stop()
	go link.Run(background)
	go node.RunRecords(background, c.System, r.PeerListener(), r.Security())
	server := settings.NewServer(node.Handler())
	served := make(chan error, 1)
	go func() { served <- server.Serve(r.Listener()) }()
	r.Log().Info("listening", zap.Stringer("address", c.Listen), zap.String("node", c.Node), zap.String("failure_domain", c.FailureDomain))
	return c.waitAndDrain(node, server, served, r.Log())
}

// waitAndDrain serves until the first signal and then drains the node. The
// second signal or the drain timeout cuts draining short; the requests that are
// still in flight are then canceled and answered before the process ends.
func (c *cli) waitAndDrain(node *entry.Node, server *http.Server, served chan error, log *zap.Logger) error {
	first, second := settings.Signals()
	select {
	case err := <-served:
		return err
	case <-first.Done():
	}
	bounded, cancel := context.WithTimeout(second, max(c.DrainTimeout-responseGrace, c.DrainTimeout/2))
	defer cancel()
	node.Drain(bounded)
	last, cancelLast := withGrace(bounded, responseGrace)
	defer cancelLast()
	if err := server.Shutdown(last); err != nil && !errors.Is(err, http.ErrServerClosed) {
		log.Warn("stopped before all answers were out", zap.Error(err))
		node.LogAborted()
	}
	node.AwaitRecords(last)
	log.Info("stopped", zap.Int("in_flight", node.InFlight()))
	return nil
}

// withGrace returns a context that ends d after ctx.
func withGrace(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	last, cancel := context.WithCancel(context.WithoutCancel(ctx))
	context.AfterFunc(ctx, func() { time.AfterFunc(d, cancel) })
	return last, cancel
}
