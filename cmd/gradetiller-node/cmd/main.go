// Package cmd implements the gradetiller-node command.
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
	help = "Runs the node of one instance on the users' platform. The path of its settings file comes from the environment variable " + platform.SettingsVariable + "."
	// memoryLimitShare is the soft memory limit as a share of the instance's memory.
	memoryLimitShare = 0.6
	gcPercent        = 100
)

type cli struct {
	Check    bool   `help:"Check the settings file and exit."`
	LogLevel string `help:"debug, info, warn or error." default:"info"`
	// Without holds names of package mechanism. PeerAddress differs from the address in
	// the settings file where ports are mapped.
	Without     []string `help:"Comma-separated mechanisms to disable, to measure what each is worth (docs/DECISIONS.md)." env:"GRADETILLER_WITHOUT"`
	PeerAddress string   `help:"IP address and port at which other nodes reach this one, if they differ from its listen address." env:"GRADETILLER_PEER_ADDRESS"`
}

// Main runs the program. It registers for SIGHUP before anything else, because the default
// action of a SIGHUP that arrives while the settings are read would end the process.
func Main() {
	sighups := make(chan os.Signal, 1)
	signal.Notify(sighups, syscall.SIGHUP)
	var c cli
	settings.Run(&c, name, help, func() error { return c.run(sighups) })
}

func (c *cli) run(sighups <-chan os.Signal) error {
	disabled, err := mechanism.Parse(c.Without)
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
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(s.MemoryBytes)))
	go recheckSettings(log, sighups)
	stop, _ := settings.Signals()
	return node.New(s, node.WithLog(log), node.WithDroppedLines(out.DroppedOf), node.WithMetrics(s.MetricsAddress), node.WithPeerAddress(c.PeerAddress), node.Without(disabled)).Run(stop)
}

// recheckSettings checks the settings file again at each SIGHUP and logs the result.
// The process keeps the settings of its start; the check reports a mistake when it is
// made rather than at the next start.
func recheckSettings(log *zap.Logger, sighups <-chan os.Signal) {
	for range sighups {
		if _, err := platform.LoadSettings(platform.SettingsPath()); err != nil {
			log.Error("settings refused", zap.Error(err))
			continue
		}
		log.Info("settings read again")
	}
}
