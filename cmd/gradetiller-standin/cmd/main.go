// Package cmd implements the gradetiller-standin command.
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
	help = "Simulates the platform and every endpoint of a configuration, for trials and tests."
)

type cli struct {
	Config    string           `help:"Configuration file whose endpoints are simulated." required:"" type:"existingfile"`
	Listen    settings.Address `help:"IP address and port of the platform and the admin interface for faults." required:"" placeholder:"IP:PORT"`
	Instances string           `help:"Instance list as NODE=IP:PORT@DOMAIN,..."`
	Seed      uint64           `help:"Seed of the random number generators." default:"1"`
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
	fmt.Printf("simulating %d endpoints, and the platform on %s\n", len(w.Endpoints()), c.Listen)
	first, _ := settings.Signals()
	select {
	case <-first.Done():
		return nil
	case err := <-failed:
		return err
	}
}
