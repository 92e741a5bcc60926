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
	Against string           `help:"Another file to compare with, in place of the version in force." placeholder:"FILE"`
	Control settings.Address `help:"Operators' address of any control process." placeholder:"IP:PORT"`
	Token   string           `help:"The operators' token."`
}

// Run implements the subcommand.
func (c *diffCmd) Run(s *streams) error {
	newer, _, err := readConfig(c.File)
	if err != nil {
		return err
	}
	older, err := c.older()
	if err != nil {
		return err
	}
	for _, line := range config.Diff(older, newer) {
		fmt.Fprintln(s.out, line)
	}
	return nil
}

func (c *diffCmd) older() (*config.Config, error) {
	if c.Against != "" {
		older, _, err := readConfig(c.Against)
		return older, err
	}
	if c.Control == "" {
		return nil, &statusError{status: ExitUsage, err: fmt.Errorf("expected --control or --against")}
	}
	var current control.ConfigResponse
	r := remote{Control: c.Control, Token: c.Token}
	if err := r.ask(http.MethodGet, "/v1/config", nil, &current); err != nil {
		return nil, err
	}
	if current.Version == 0 {
		return nil, nil
	}
	return config.Parse(fmt.Sprintf("version-%d", current.Version), []byte(current.Data))
}
