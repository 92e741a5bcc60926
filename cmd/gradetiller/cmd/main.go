// Package cmd implements gradetiller, the command for operators.
package cmd

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"

	"gradetiller.example/internal/settings"
)

const (
	name = "gradetiller"
	help = "Checks and applies configurations, and shows the state and the decisions of the system."
)

// The exit statuses of the command.
const (
	ExitFailed   = 1
	ExitUsage    = 2
	ExitConflict = 3
	ExitUnknown  = 4
)

type cli struct {
	Check    checkCmd    `cmd:"" help:"Check a configuration file and print every problem with its line and a fix."`
	Diff     diffCmd     `cmd:"" help:"Show the differences between a file and the version in force or another file."`
	Apply    applyCmd    `cmd:"" help:"Apply a configuration file."`
	Evacuate evacuateCmd `cmd:"" help:"Stop sending work to the endpoints of a failure domain, or resume it."`
	Show     showCmd     `cmd:"" help:"Print the configuration in force."`
	History  historyCmd  `cmd:"" help:"List the latest versions of the configuration."`
	Status   statusCmd   `cmd:"" help:"Show the nodes, what is impaired, and how the system responds; or, for nodes of gradetiller-node, admission, bookings and rollouts."`
	Explain  explainCmd  `cmd:"" help:"Show the decisions about a request, endpoint or version."`

	ExplainLogs explainLogsCmd `cmd:"" help:"Show the events about a request, endpoint, node or version in the logs of gradetiller-node."`
	Compare     compareCmd     `cmd:"" help:"Show attainment and cost by stage for each arm of an experiment, and whether the differences are significant."`
	HashKey     hashKeyCmd     `cmd:"" help:"Print the key_sha256 of an account key that is read from standard input."`
}

// Main runs the command.
func Main() { os.Exit(Run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) }

// Run runs the command with the given arguments and returns its exit status.
func Run(args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	var c cli
	status := 0
	parser := kong.Must(&c, kong.Name(name), kong.Description(help), kong.DefaultEnvars("GRADETILLER"),
		kong.Writers(stdout, stderr), kong.Exit(func(code int) { status = code }))
	ctx, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintf(stderr, "%s: %v\n", name, err)
		return ExitUsage
	}
	if ctx.Command() == "" {
		return status
	}
	err = ctx.Run(&streams{in: stdin, out: stdout})
	return exitStatus(stderr, err)
}

// streams holds the standard input and output of the command.
type streams struct {
	in  io.Reader
	out io.Writer
}

// statusError is an error with the exit status of the command.
type statusError struct {
	status int
	err    error
}

func (e *statusError) Error() string { return e.err.Error() }

func (e *statusError) Unwrap() error { return e.err }

// exitStatus prints the error, if any, and returns the exit status for it.
func exitStatus(stderr io.Writer, err error) int {
	if err == nil {
		return 0
	}
	fmt.Fprintln(stderr, err)
	var s *statusError
	if errors.As(err, &s) {
		return s.status
	}
	return ExitFailed
}

// remote holds the flags of subcommands that call a control process.
type remote struct {
	Control settings.Address `help:"Address of any control process for operators." required:"" placeholder:"IP:PORT"`
	Token   string           `help:"The operators' token."`
}
