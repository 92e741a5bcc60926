package cmd

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"gradetiller.example/internal/control"
	"gradetiller.example/internal/nodestatus"
	"gradetiller.example/internal/settings"
)

// nodeTimeout bounds each request for the metrics of a node.
const nodeTimeout = 5 * time.Second

// statusCmd shows either the state that a control process knows, or the metrics of nodes.
type statusCmd struct {
	Nodes   []settings.Address `arg:"" optional:"" help:"Metrics addresses of running gradetiller-node processes. Without any, --control is asked."`
	Over    time.Duration      `help:"Read the metrics of nodes twice, this long apart, and show what was counted in between; 0 shows what was counted since the nodes started." default:"2s"`
	Control settings.Address   `help:"Address of any control process for operators." placeholder:"IP:PORT"`
	Token   string             `help:"The operators' token."`
}

// Run implements the subcommand.
func (c *statusCmd) Run(s *streams) error {
	switch {
	case len(c.Nodes) > 0:
		return c.showNodes(s)
	case c.Control != "":
		return c.showControl(s)
	}
	return &statusError{status: ExitUsage, err: errors.New("missing flags: --control=IP:PORT, or the metrics addresses of nodes")}
}

func (c *statusCmd) showControl(s *streams) error {
	var st control.StatusResponse
	r := remote{Control: c.Control, Token: c.Token}
	if err := r.call(http.MethodGet, "/v1/status", nil, &st); err != nil {
		return err
	}
	fmt.Fprintf(s.out, "seen by %s: version %d\n", st.Node, st.Version)
	for _, m := range st.Members {
		fmt.Fprintf(s.out, "node=%s state=%s failure_domain=%s entries=%s\n", m.Node, m.State, m.Domain, strings.Join(m.Entries, ","))
	}
	if st.Placement != "" {
		fmt.Fprintf(s.out, "placement of models: held by %s\n", st.Placement)
	}
	for _, e := range st.DrainingEndpoints {
		fmt.Fprintf(s.out, "leaving endpoint: %s/%s gets no new work\n", e.Pool, e.Name)
	}
	for _, domain := range st.Evacuated {
		fmt.Fprintf(s.out, "evacuated: endpoints of failure_domain=%s get nothing\n", domain)
	}
	for _, what := range st.Impaired {
		fmt.Fprintf(s.out, "impaired: %s\n", what)
	}
	return nil
}

// showNodes shows what the nodes that answer report, and fails if any does not.
func (c *statusCmd) showNodes(s *streams) error {
	var before []nodestatus.Node
	if c.Over > 0 {
		before, _ = readNodes(c.Nodes)
		time.Sleep(c.Over)
	}
	after, failed := readNodes(c.Nodes)
	fmt.Fprint(s.out, nodestatus.Summarize(before, after))
	if len(failed) > 0 {
		return fmt.Errorf("%d of %d nodes do not answer and are not included: %w", len(failed), len(c.Nodes), errors.Join(failed...))
	}
	return nil
}

// readNodes reads the metrics of all nodes at the same time. It returns those that answered, in the order
// of the addresses, and the errors of the others.
func readNodes(addresses []settings.Address) (nodes []nodestatus.Node, failed []error) {
	client := &http.Client{Transport: &http.Transport{}, Timeout: nodeTimeout}
	defer client.CloseIdleConnections()
	read := make([]nodestatus.Node, len(addresses))
	errs := make([]error, len(addresses))
	var wg sync.WaitGroup
	for i, address := range addresses {
		wg.Go(func() {
			text, err := fetchMetrics(client, address)
			if err != nil {
				errs[i] = fmt.Errorf("%s: %w", address, err)
				return
			}
			read[i], errs[i] = nodestatus.Parse(address.String(), strings.NewReader(text))
		})
	}
	wg.Wait()
	for i := range addresses {
		if errs[i] != nil {
			failed = append(failed, errs[i])
			continue
		}
		nodes = append(nodes, read[i])
	}
	return nodes, failed
}
