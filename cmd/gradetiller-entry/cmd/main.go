// Package cmd holds the settings and the start of gradetiller-entry.
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

// collectAt keeps the process under 64 MB while a file of 3,900 accounts is
// parsed; with the default of 100 it peaked at 66 MB.
const collectAt = 50

// answerTime is the part of a planned stop that the answers of the requests
// that it ended have to get out, and their records to be taken back. Writing
// one takes far less; the rest is for an instance that is busy.
const answerTime = time.Second

const (
	name = "gradetiller-entry"
	help = "Serves callers: tells them which addresses to use, and takes their requests through the stages of their pipelines."
)

type cli struct {
	settings.Common
	Listen       settings.Address   `help:"IP address and port for callers; also what callers are told." required:"" placeholder:"IP:PORT"`
	Control      []settings.Address `help:"Control processes; this instance's own first." required:"" placeholder:"IP:PORT,..."`
	DrainTimeout time.Duration      `help:"Longest time of a planned stop." default:"60s"`
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
	debug.SetGCPercent(collectAt)
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

// waitAndDrain serves until the first signal, then stops as planned. The
// second signal or the drain timeout ends the stop early; the requests that
// are in flight then are answered before the process ends.
func (c *cli) waitAndDrain(node *entry.Node, server *http.Server, served chan error, log *zap.Logger) error {
	first, second := settings.Signals()
	select {
	case err := <-served:
		return err
	case <-first.Done():
	}
	bounded, cancel := context.WithTimeout(second, max(c.DrainTimeout-answerTime, c.DrainTimeout/2))
	defer cancel()
	node.Drain(bounded)
	last, cancelLast := outlast(bounded, answerTime)
	defer cancelLast()
	if err := server.Shutdown(last); err != nil && !errors.Is(err, http.ErrServerClosed) {
		log.Warn("stopped before all answers were out", zap.Error(err))
		node.LogAborted()
	}
	node.AwaitRecords(last)
	log.Info("stopped", zap.Int("in_flight", node.InFlight()))
	return nil
}

// outlast returns a context that ends a time after ctx.
func outlast(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	last, cancel := context.WithCancel(context.WithoutCancel(ctx))
	context.AfterFunc(ctx, func() { time.AfterFunc(d, cancel) })
	return last, cancel
}
