// Package settings holds the types of command-line flags and environment
// variables, and the one way in which programs report unusable ones.
//
// # Usage
//
//	var cli struct {
//		Listen settings.Address `help:"…" required:""`
//	}
//	settings.Parse(&cli, "gradetiller-entry", "…")
package settings

import (
	"fmt"
	"net/netip"
	"os"

	"github.com/alecthomas/kong"
)

// ExitUsage is the exit status for unusable settings.
const ExitUsage = 2

// Address is an IP number and port.
type Address string

// UnmarshalText implements encoding.TextUnmarshaler.
func (a *Address) UnmarshalText(text []byte) error {
	if _, err := netip.ParseAddrPort(string(text)); err != nil {
		return fmt.Errorf("expected an IP number and port such as 10.0.0.1:7100, got %q (host names are not looked up)", text)
	}
	*a = Address(text)
	return nil
}

// String returns the address as host:port.
func (a Address) String() string { return string(a) }

// Loopback reports whether the address can't be reached from other instances.
func (a Address) Loopback() bool {
	p, err := netip.ParseAddrPort(string(a))
	return err == nil && p.Addr().IsLoopback()
}

// Strings returns addresses as texts.
func Strings(list []Address) []string {
	out := make([]string, len(list))
	for i, a := range list {
		out[i] = a.String()
	}
	return out
}

// Parse reads flags and GRADETILLER_… variables into cli. An unusable setting
// ends the process with ExitUsage and one line.
func Parse(cli any, name, help string) *kong.Context {
	parser := kong.Must(cli, kong.Name(name), kong.Description(help), kong.DefaultEnvars("GRADETILLER"), kong.UsageOnError())
	ctx, err := parser.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		os.Exit(ExitUsage)
	}
	return ctx
}

// Fail ends the process because of a setting.
func Fail(name string, err error) {
	fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
	os.Exit(ExitUsage)
}
