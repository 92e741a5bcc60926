// Package settings parses the command-line flags and environment variables of
// the programs and reports invalid ones.
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

// ExitUsage is the exit status for invalid settings.
const ExitUsage = 2

// Address is an IP address and port. Host names are not accepted.
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

// Loopback reports whether the address is a loopback address.
func (a Address) Loopback() bool {
	p, err := netip.ParseAddrPort(string(a))
	return err == nil && p.Addr().IsLoopback()
}

// Strings converts addresses to strings.
func Strings(list []Address) []string {
	out := make([]string, len(list))
	for i, a := range list {
		out[i] = a.String()
	}
	return out
}

// Parse reads flags and GRADETILLER_… environment variables into cli. On an
// invalid setting it prints one line and exits with ExitUsage.
func Parse(cli any, name, help string) *kong.Context {
	parser := kong.Must(cli, kong.Name(name), kong.Description(help), kong.DefaultEnvars("GRADETILLER"), kong.UsageOnError())
	ctx, err := parser.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		os.Exit(ExitUsage)
	}
	return ctx
}

// Fail prints an error and exits with ExitUsage.
func Fail(name string, err error) {
	fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
	os.Exit(ExitUsage)
}
