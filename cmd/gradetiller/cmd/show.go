package cmd

import (
	"fmt"
	"net/http"
	"net/url"
	"time"

	"gradetiller.example/internal/control"
)

type showCmd struct{ remote }

// Run implements the subcommand.
func (c *showCmd) Run(s *streams) error {
	var current control.ConfigResponse
	if err := c.call(http.MethodGet, "/v1/config", nil, &current); err != nil {
		return err
	}
	fmt.Fprint(s.out, current.Data)
	return nil
}

type historyCmd struct{ remote }

// Run implements the subcommand.
func (c *historyCmd) Run(s *streams) error {
	var lines []control.HistoryLine
	if err := c.call(http.MethodGet, "/v1/history", nil, &lines); err != nil {
		return err
	}
	for _, l := range lines {
		fmt.Fprintf(s.out, "version=%d operator=%s at=%s digest=%.12s\n", l.Version, l.Operator, l.At.UTC().Format(time.RFC3339), l.Digest)
	}
	return nil
}

type explainCmd struct {
	remote
	Subject string `arg:"" help:"Request ID, endpoint name, or version/N."`
}

// Run implements the subcommand.
func (c *explainCmd) Run(s *streams) error {
	var lines []string
	if err := c.call(http.MethodGet, "/v1/explain?subject="+url.QueryEscape(c.Subject), nil, &lines); err != nil {
		return err
	}
	if len(lines) == 0 {
		fmt.Fprintf(s.out, "no decisions about %s are kept here; ask the control process of another node\n", c.Subject)
	}
	for _, l := range lines {
		fmt.Fprintln(s.out, l)
	}
	return nil
}
