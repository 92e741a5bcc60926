package cmd

import (
	"fmt"
	"io"
	"net/http"

	"gradetiller.example/compare"
	"gradetiller.example/internal/settings"
)

type compareCmd struct {
	Entries    []settings.Address `help:"Callers' addresses of all entries." required:"" placeholder:"IP:PORT,..."`
	Experiment string             `arg:"" help:"Name of the experiment."`
}

// Run implements the subcommand.
func (c *compareCmd) Run(s *streams) error {
	client := &http.Client{Transport: &http.Transport{}, Timeout: askTimeout}
	var texts []string
	for _, e := range c.Entries {
		text, err := metricsOf(client, e)
		if err != nil {
			// An arm's counts without one node would mislead silently.
			return fmt.Errorf("entry %s: %w", e, err)
		}
		texts = append(texts, text)
	}
	arms := compare.Read(texts, c.Experiment)
	if len(arms) == 0 {
		return fmt.Errorf("no requests of experiment %q were counted yet", c.Experiment)
	}
	fmt.Fprint(s.out, compare.Report(arms))
	return nil
}

func metricsOf(client *http.Client, e settings.Address) (string, error) {
	resp, err := client.Get("http://" + e.String() + "/metrics")
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return "", fmt.Errorf("answered status %d in place of its counts", resp.StatusCode)
	}
	data, err := io.ReadAll(resp.Body)
	return string(data), err
}
