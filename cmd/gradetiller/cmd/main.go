// Package cmd holds the subcommands of gradetiller, the operators' command.
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
	help = "Checks and applies configurations, and shows what the system does and why."
)

// Exit statuses of the command.
const (
	ExitFailed   = 1
	ExitUsage    = 2
	ExitConflict = 3
	ExitUnknown  = 4
)

type cli struct {
	Check    checkCmd    `cmd:"" help:"Check a configuration file and print every problem with line and fix."`
	Diff     diffCmd     `cmd:"" help:"Show what a file would change against the version in force, or against another file."`
	Apply    applyCmd    `cmd:"" help:"Put a file in force as a whole."`
	Evacuate evacuateCmd `cmd:"" help:"Send nothing further to the endpoints of a failure domain, or end that."`
	Show     showCmd     `cmd:"" help:"Print the configuration in force."`
	History  historyCmd  `cmd:"" help:"List the latest versions of the configuration."`
	Status   statusCmd   `cmd:"" help:"Show the nodes, what is impaired, and what the system does about it."`
	Explain  explainCmd  `cmd:"" help:"Tell the decisions about a request, endpoint or version."`

	ExplainLogs explainLogsCmd `cmd:"" help:"Tell the story of a request, endpoint, node or version from the logs of gradetiller-node."`
	Compare     compareCmd     `cmd:"" help:"Show attainment and cost by stage of an experiment's arms, and whether they differ by more than noise."`
	HashKey     hashKeyCmd     `cmd:"" help:"Print the key_sha256 of an account's key read from standard input."`
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
	return report(stderr, err)
}

// streams are the command's input and output.
type streams struct {
	in  io.Reader
	out io.Writer
}

// statusError carries an exit status.
type statusError struct {
	status int
	err    error
}

func (e *statusError) Error() string { return e.err.Error() }

func (e *statusError) Unwrap() error { return e.err }

func report(stderr io.Writer, err error) int {
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

// remote are the settings of subcommands that ask a control process.
type remote struct {
	Control settings.Address `help:"Operators' address of any control process." required:"" placeholder:"IP:PORT"`
	Token   string           `help:"The operators' token."`
}
