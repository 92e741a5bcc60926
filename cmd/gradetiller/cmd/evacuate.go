package cmd

import (
	"errors"
	"fmt"
	"net/http"

	"gradetiller.example/config"
	"gradetiller.example/internal/control"
)

type evacuateCmd struct {
	remote
	Domain   string `arg:"" help:"Failure domain, as the endpoints of the configuration name it."`
	End      bool   `help:"Use its endpoints again."`
	Operator string `help:"Name under which the change is recorded; the default is the user's."`
}

// Run implements the subcommand. The change is an ordinary one of the configuration, which is
// put in force as a whole on the version that it was made from.
func (c *evacuateCmd) Run(s *streams) error {
	var current control.ConfigResponse
	if err := c.ask(http.MethodGet, "/v1/config", nil, &current); err != nil {
		return err
	}
	if current.Version == 0 {
		return errors.New("no configuration is in force: apply one first")
	}
	cfg, err := config.Parse(fmt.Sprintf("version-%d", current.Version), []byte(current.Data))
	if err != nil {
		return err
	}
	data, err := cfg.Evacuate(c.Domain, c.End)
	if err != nil {
		return err
	}
	changed, err := config.Parse(fmt.Sprintf("version-%d", current.Version+1), data)
	if err != nil {
		return err
	}
	apply := applyCmd{remote: c.remote, Operator: c.Operator}
	resp, err := apply.apply(current.Version, changed)
	if err != nil {
		return apply.advise(err, current.Version, changed)
	}
	fmt.Fprintf(s.out, "version %d is accepted\n", resp.Version)
	return nil
}
