package cmd

import (
	"fmt"
	"net/http"
	"os"
	"os/user"

	"gradetiller.example/internal/control"
)

type applyCmd struct {
	remote
	File     string  `arg:"" help:"Configuration file."`
	Base     *uint64 `help:"Version that the file was made from; the default is the version in force now."`
	Operator string  `help:"Name under which the change is recorded; the default is the user's."`
}

// Run implements the subcommand.
func (c *applyCmd) Run(s *streams) error {
	if _, _, err := readConfig(c.File); err != nil {
		return err
	}
	data, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	base, err := c.base()
	if err != nil {
		return err
	}
	var resp control.ApplyResponse
	req := control.ApplyRequest{Base: base, Operator: c.operator(), Data: string(data)}
	if err := c.ask(http.MethodPost, "/v1/config", req, &resp); err != nil {
		return err
	}
	for _, w := range resp.Warnings {
		fmt.Fprintf(s.out, "warning: %s\n", w)
	}
	fmt.Fprintf(s.out, "version %d is accepted\n", resp.Version)
	return nil
}

func (c *applyCmd) base() (uint64, error) {
	if c.Base != nil {
		return *c.Base, nil
	}
	var current control.ConfigResponse
	err := c.ask(http.MethodGet, "/v1/config", nil, &current)
	return current.Version, err
}

func (c *applyCmd) operator() string {
	if c.Operator != "" {
		return c.Operator
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}
