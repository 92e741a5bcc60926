// Package cmd holds the settings and the start of gradetiller-standin.
package cmd

import (
	"fmt"
	"net/http"
	"os"

	"gradetiller.example/config"
	"gradetiller.example/internal/settings"
	"gradetiller.example/internal/standin"
)

const (
	name = "gradetiller-standin"
	help = "Stands in for the platform and for every endpoint that a configuration names, for trials and tests."
)

type cli struct {
	Config    string           `help:"Configuration whose endpoints to stand in for." required:"" type:"existingfile"`
	Listen    settings.Address `help:"IP address and port of the platform and the fault switches." required:"" placeholder:"IP:PORT"`
	Instances string           `help:"Instance list: NODE=IP:PORT@DOMAIN,..."`
	Seed      uint64           `help:"Seed of all chance." default:"1"`
}

// Main runs the program.
func Main() {
	var c cli
	settings.Run(&c, name, help, func() error { return c.run() })
}

func (c *cli) run() error {
	data, err := os.ReadFile(c.Config)
	if err != nil {
		return err
	}
	cfg, err := config.Parse(c.Config, data)
	if err != nil {
		return err
	}
	w := standin.NewWorld(c.Seed, cfg, standin.ParseInstances(c.Instances), standin.DefaultLatency)
	failed := make(chan error)
	serve := func(a settings.Address, h http.Handler) error {
		l, err := settings.Listen(a)
		if err != nil {
			return err
		}
		go func() { failed <- settings.NewServer(h).Serve(l) }()
		return nil
	}
	for address, e := range w.Endpoints() {
		if err := serve(settings.Address(address), e.Handler()); err != nil {
			return err
		}
	}
	if err := serve(c.Listen, w.Admin()); err != nil {
		return err
	}
	fmt.Printf("standing in for %d endpoints and the platform on %s\n", len(w.Endpoints()), c.Listen)
	first, _ := settings.Signals()
	select {
	case <-first.Done():
		return nil
	case err := <-failed:
		return err
	}
}
