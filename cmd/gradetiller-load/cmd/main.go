// Package cmd implements the gradetiller-load command.
package cmd

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"gradetiller.example/internal/load"
	"gradetiller.example/internal/settings"
	"gradetiller.example/internal/standin"
)

const (
	name = "gradetiller-load"
	help = "Sends requests for several client accounts to the addresses that the system's locate responses name, and checks every response."
)

type cli struct {
	Entries     []settings.Address `help:"Addresses of the first locate requests." required:"" placeholder:"IP:PORT,..."`
	Account     []string           `help:"Client accounts as NAME=KEY or NAME=KEY:WEIGHT." required:"" sep:","`
	Pipeline    []string           `help:"Pipelines as NAME, NAME:WEIGHT or NAME:WEIGHT:once." required:"" sep:","`
	Requests    int                `help:"Number of requests." default:"300"`
	Rate        float64            `help:"Requests per second (open loop); 0 for a closed loop." default:"0"`
	Concurrency int                `help:"Concurrent requests of the closed loop." default:"16"`
	BurstAt     time.Duration      `help:"Start of a burst, from the start of the load."`
	BurstFor    time.Duration      `help:"Duration of the burst."`
	BurstFactor float64            `help:"Factor of the rate during the burst."`
	Deadline    time.Duration      `help:"Deadline of each request." default:"2s"`
	OnceShare   float64            `help:"Share of requests that are marked as run at most once." default:"0"`
	StreamShare float64            `help:"Share of streamed requests." default:"0"`
	Prefixes    int                `help:"Number of prompt prefixes that requests share." default:"0"`
	Retries     int                `help:"Maximum retries of a request." default:"8"`
	Seed        uint64             `help:"Seed of the random number generator." default:"1"`
	Fault       []string           `help:"Faults to inject at the stand-in as AT:TARGET:FAULT[:SECONDS[:FACTOR]]." sep:","`
	FaultAt     time.Duration      `help:"Start of a fault, from the start of the load, to report the recovery time."`
	Measured    []string           `help:"Accounts whose attainment is reported; all if omitted." sep:","`
	Standin     settings.Address   `help:"Admin address of the stand-in, to check its own counts of runs." placeholder:"IP:PORT"`
	Row         string             `help:"Print the results as one table row with this name instead of the counts."`
}

// Main runs the program. It exits with status 1 if a result was lost, doubled, or
// delivered to the wrong request.
func Main() {
	var c cli
	settings.Parse(&c, name, help)
	o, err := c.options()
	if err != nil {
		settings.Fail(name, err)
	}
	report, err := load.Run(context.Background(), o)
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		os.Exit(1)
	}
	if c.Row != "" {
		fmt.Printf("%s %s\n", c.Row, report.Row())
	} else {
		fmt.Println(strings.Join(report.Details(), "\n"))
		fmt.Println(report.Summary())
	}
	if report.Violations() > 0 {
		os.Exit(1)
	}
}

func (c *cli) options() (load.Options, error) {
	o := load.Options{
		Entries: settings.Strings(c.Entries), Requests: c.Requests, Rate: c.Rate, Concurrency: c.Concurrency,
		BurstAt: c.BurstAt, BurstFor: c.BurstFor, BurstFactor: c.BurstFactor, Deadline: c.Deadline,
		OnceShare: c.OnceShare, StreamShare: c.StreamShare, Prefixes: c.Prefixes, Retries: c.Retries,
		Seed: c.Seed, Standin: c.Standin.String(), Measured: c.Measured, FaultAt: c.FaultAt,
	}
	for _, s := range c.Fault {
		f, err := parseFault(s)
		if err != nil {
			return o, err
		}
		o.Faults = append(o.Faults, f)
	}
	for _, s := range c.Account {
		a, err := parseAccount(s)
		if err != nil {
			return o, err
		}
		o.Accounts = append(o.Accounts, a)
	}
	for _, s := range c.Pipeline {
		p, err := parsePipeline(s)
		if err != nil {
			return o, err
		}
		o.Pipelines = append(o.Pipelines, p)
	}
	return o, nil
}

func parseAccount(s string) (load.Account, error) {
	name, rest, ok := strings.Cut(s, "=")
	if !ok {
		return load.Account{}, fmt.Errorf("account %q: expected NAME=KEY or NAME=KEY:WEIGHT", s)
	}
	key, weight, err := cutWeight(rest)
	return load.Account{Name: name, Key: key, Weight: weight}, err
}

func parsePipeline(s string) (load.Pipeline, error) {
	rest, once := strings.CutSuffix(s, ":once")
	name, weight, err := cutWeight(rest)
	return load.Pipeline{Name: name, Weight: weight, Once: once}, err
}

// parseFault reads AT:TARGET:FAULT[:SECONDS[:FACTOR]].
func parseFault(s string) (load.Fault, error) {
	parts := strings.Split(s, ":")
	if len(parts) < 3 || len(parts) > 5 {
		return load.Fault{}, fmt.Errorf("fault %q: expected AT:TARGET:FAULT[:SECONDS[:FACTOR]]", s)
	}
	at, err := time.ParseDuration(parts[0])
	if err != nil {
		return load.Fault{}, fmt.Errorf("fault %q: %w", s, err)
	}
	f := load.Fault{At: at, Spec: standin.FaultSpec{Target: parts[1], Fault: standin.Fault(parts[2])}}
	for i, field := range []*float64{&f.Spec.Seconds, &f.Spec.Factor} {
		if len(parts) <= 3+i {
			break
		}
		if *field, err = strconv.ParseFloat(parts[3+i], 64); err != nil {
			return load.Fault{}, fmt.Errorf("fault %q: %w", s, err)
		}
	}
	return f, nil
}

var errWeight = errors.New("expected a weight of at least 1 after the colon")

func cutWeight(s string) (string, int, error) {
	name, text, ok := strings.Cut(s, ":")
	if !ok {
		return s, 1, nil
	}
	weight, err := strconv.Atoi(text)
	if err != nil || weight < 1 {
		return name, 0, fmt.Errorf("%q: %w", s, errWeight)
	}
	return name, weight, nil
}
