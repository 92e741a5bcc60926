package cmd

import (
	"errors"
	"fmt"
	"net/http"
	"os/user"

	"gradetiller.example/config"
	"gradetiller.example/internal/control"
)

type applyCmd struct {
	remote
	File     string  `arg:"" help:"Configuration file."`
	Base     *uint64 `help:"Version that the file is based on; the default is the version in force."`
	Operator string  `help:"Operator name that is recorded with the change; the default is the user name."`
}

// Run implements the subcommand.
func (c *applyCmd) Run(s *streams) error {
	cfg, _, err := readConfig(c.File)
	if err != nil {
		return err
	}
	base, err := c.base()
	if err != nil {
		return err
	}
	resp, err := c.apply(base, cfg)
	if err != nil {
		return c.adviseIfUnknown(err, base, cfg)
	}
	for _, w := range resp.Warnings {
		fmt.Fprintf(s.out, "warning: %s\n", w)
	}
	fmt.Fprintf(s.out, "version %d is accepted\n", resp.Version)
	return nil
}

func (c *applyCmd) apply(base uint64, cfg *config.Config) (*control.ApplyResponse, error) {
	var resp control.ApplyResponse
	req := control.ApplyRequest{Base: base, Operator: c.operator(), Data: string(cfg.Data())}
	if err := c.call(http.MethodPost, "/v1/config", req, &resp); err != nil {
		return nil, err
	}
	// An accepted file becomes the version after its base. A response with any other
	// version does not belong to this request.
	if resp.Version != base+1 {
		return nil, outcomeUnknownf("control process %s responded with version %d, expected %d", c.Control, resp.Version, base+1)
	}
	return &resp, nil
}

// adviseIfUnknown adds advice for the operator to the error of an apply whose outcome
// is unknown. Applying again on the same base is safe, since each version is written
// at most once.
func (c *applyCmd) adviseIfUnknown(err error, base uint64, cfg *config.Config) error {
	var unknown *outcomeUnknownError
	if !errors.As(err, &unknown) {
		return err
	}
	return &statusError{status: ExitUnknown, err: fmt.Errorf(
		"%w; the file may be in force now or later: look for version=%d digest=%.12s in `gradetiller history --control %s`; "+
			"to retry, add --base %d, so that at most one of the two applies takes effect",
		err, base+1, cfg.Digest(), c.Control, base)}
}

func (c *applyCmd) base() (uint64, error) {
	if c.Base != nil {
		return *c.Base, nil
	}
	var current control.ConfigResponse
	err := c.call(http.MethodGet, "/v1/config", nil, &current)
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
