package cmd

import (
	"fmt"
	"os"

	"gradetiller.example/config"
)

type checkCmd struct {
	File string `arg:"" help:"Configuration file."`
}

// Run implements the subcommand.
func (c *checkCmd) Run(s *streams) error {
	cfg, warnings, err := readConfig(c.File)
	for _, w := range warnings {
		fmt.Fprintf(s.out, "warning: %v\n", w)
	}
	if err != nil {
		return err
	}
	fmt.Fprintf(s.out, "%s: ok: %d accounts, %d pools, %d pipelines, digest %.12s\n",
		c.File, len(cfg.Accounts()), len(cfg.Pools()), len(cfg.Pipelines()), cfg.Digest())
	return nil
}

func readConfig(file string) (*config.Config, config.Problems, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, err
	}
	return config.ParseWithWarnings(file, data)
}
