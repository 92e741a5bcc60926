// Package cmd holds the settings and the start of gradetiller-node.
package cmd

import (
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"go.uber.org/zap"

	"gradetiller.example/internal/core/mechanism"
	"gradetiller.example/internal/logging"
	"gradetiller.example/internal/node"
	"gradetiller.example/internal/settings"
	"gradetiller.example/platform"
)

const (
	name = "gradetiller-node"
	help = "Carries one instance's whole part of the system on the users' platform. Its settings file is named by the variable " + platform.SettingsVariable + "."
	// memoryShare is the part of the instance's memory from which on memory is
	// collected more often.
	memoryShare = 0.6
	ownMemory   = 200
)

type cli struct {
	Check    bool   `help:"Check the settings file and exit."`
	LogLevel string `help:"debug, info, warn or error." default:"info"`
	// PeerAddress differs from the settings file's where ports are mapped.
	// Without takes names of package mechanism.
	Without     []string `help:"Mechanisms of the decisions to switch off, by commas, to measure what they are worth (docs/DECISIONS.md)." env:"GRADETILLER_WITHOUT"`
	PeerAddress string   `help:"IP address and port at which other nodes reach this one, where they differ from those that it listens on." env:"GRADETILLER_PEER_ADDRESS"`
}

// Main runs the program. SIGHUP is taken before anything else: one that comes while the
// settings are read must not end the process.
func Main() {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	var c cli
	settings.Run(&c, name, help, func() error { return c.run(hangups) })
}

func (c *cli) run(hangups <-chan os.Signal) error {
	off, err := mechanism.Parse(c.Without)
	if err != nil {
		return err
	}
	s, err := platform.LoadSettings(platform.SettingsPath())
	if err != nil || c.Check {
		return err
	}
	log, out, err := logging.NewTo(os.Stdout, c.LogLevel)
	if err != nil {
		return err
	}
	defer out.Stop()
	debug.SetGCPercent(ownMemory)
	debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryBytes)))
	go reload(log, hangups)
	stop, _ := settings.Signals()
	return node.New(s, node.WithLog(log), node.WithDroppedLines(out.DroppedOf), node.WithMetrics(s.MetricsAddress), node.WithPeerAddress(c.PeerAddress), node.Without(off)).Run(stop)
}

// reload checks the settings file again at each SIGHUP. Addresses and names
// stay those of the start; the file is checked so that a mistake is told when
// it is made, not at the next start.
func reload(log *zap.Logger, hangups <-chan os.Signal) {
	for range hangups {
		if _, err := platform.LoadSettings(platform.SettingsPath()); err != nil {
			log.Error("settings refused", zap.Error(err))
			continue
		}
		log.Info("settings read again")
	}
}
