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
	Domain   string `arg:"" help:"Failure domain, as named by the endpoints of the configuration."`
	End      bool   `help:"End the evacuation and use the endpoints again."`
	Operator string `help:"Operator name that is recorded with the change; the default is the user name."`
}

// Run implements the subcommand. An evacuation is an ordinary configuration change, which is
// applied on the version that it is based on.
func (c *evacuateCmd) Run(s *streams) error {
	var current control.ConfigResponse
	if err := c.call(http.MethodGet, "/v1/config", nil, &current); err != nil {
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
		return apply.adviseIfUnknown(err, current.Version, changed)
	}
	fmt.Fprintf(s.out, "version %d is accepted\n", resp.Version)
	return nil
}
