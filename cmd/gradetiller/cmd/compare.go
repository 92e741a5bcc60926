package cmd

import (
	"fmt"
	"net/http"

	"gradetiller.example/compare"
	"gradetiller.example/internal/bounded"
	"gradetiller.example/internal/settings"
)

type compareCmd struct {
	Entries    []settings.Address `help:"Addresses of all entries for clients." required:"" placeholder:"IP:PORT,..."`
	Experiment string             `arg:"" help:"Name of the experiment."`
}

// Run implements the subcommand.
func (c *compareCmd) Run(s *streams) error {
	client := &http.Client{Transport: &http.Transport{}, Timeout: requestTimeout}
	var texts []string
	for _, e := range c.Entries {
		text, err := fetchMetrics(client, e)
		if err != nil {
			// Counts that lack one node would be misleading.
			return fmt.Errorf("entry %s: %w", e, err)
		}
		texts = append(texts, text)
	}
	arms := compare.Read(texts, c.Experiment)
	if len(arms) == 0 {
		return fmt.Errorf("no requests of experiment %q have been counted yet", c.Experiment)
	}
	fmt.Fprint(s.out, compare.Report(arms))
	return nil
}

func fetchMetrics(client *http.Client, e settings.Address) (string, error) {
	resp, err := client.Get("http://" + e.String() + "/metrics")
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return "", fmt.Errorf("metrics request returned status %d", resp.StatusCode)
	}
	data, err := bounded.ReadAll(resp.Body, maxResponseBytes)
	return string(data), err
}
