package cmd

import (
	"fmt"
	"net/http"

	"gradetiller.example/config"
	"gradetiller.example/internal/control"
	"gradetiller.example/internal/settings"
)

type diffCmd struct {
	File    string           `arg:"" help:"Configuration file."`
	Against string           `help:"File to compare with instead of the version in force." placeholder:"FILE"`
	Control settings.Address `help:"Address of any control process for operators." placeholder:"IP:PORT"`
	Token   string           `help:"The operators' token."`
}

// Run implements the subcommand.
func (c *diffCmd) Run(s *streams) error {
	newer, _, err := readConfig(c.File)
	if err != nil {
		return err
	}
	older, err := c.baseline()
	if err != nil {
		return err
	}
	for _, line := range config.Diff(older, newer) {
		fmt.Fprintln(s.out, line)
	}
	return nil
}

// baseline returns the configuration to compare with, or nil if none is in force.
func (c *diffCmd) baseline() (*config.Config, error) {
	if c.Against != "" {
		older, _, err := readConfig(c.Against)
		return older, err
	}
	if c.Control == "" {
		return nil, &statusError{status: ExitUsage, err: fmt.Errorf("expected --control or --against")}
	}
	var current control.ConfigResponse
	r := remote{Control: c.Control, Token: c.Token}
	if err := r.call(http.MethodGet, "/v1/config", nil, &current); err != nil {
		return nil, err
	}
	if current.Version == 0 {
		return nil, nil
	}
	return config.Parse(fmt.Sprintf("version-%d", current.Version), []byte(current.Data))
}
