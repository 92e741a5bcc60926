// Package cmd holds the settings and the start of gradetiller-load.
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
	help = "Sends requests as several client accounts, follows the system's locate answers, and checks every answer."
)

type cli struct {
	Entries     []settings.Address `help:"Addresses to ask first." required:"" placeholder:"IP:PORT,..."`
	Account     []string           `help:"Accounts as NAME=KEY or NAME=KEY:WEIGHT." required:"" sep:","`
	Pipeline    []string           `help:"Pipelines as NAME, NAME:WEIGHT or NAME:WEIGHT:once." required:"" sep:","`
	Requests    int                `help:"Number of requests." default:"300"`
	Rate        float64            `help:"Requests a second (open loop); 0 for a closed loop." default:"0"`
	Concurrency int                `help:"Callers of the closed loop." default:"16"`
	BurstAt     time.Duration      `help:"When a burst begins."`
	BurstFor    time.Duration      `help:"How long it lasts."`
	BurstFactor float64            `help:"By how much the rate rises."`
	Deadline    time.Duration      `help:"Deadline of each request." default:"2s"`
	OnceShare   float64            `help:"Share of requests marked not to be repeated." default:"0"`
	StreamShare float64            `help:"Share of streamed requests." default:"0"`
	Prefixes    int                `help:"Number of prompt prefixes that requests share." default:"0"`
	Retries     int                `help:"How often a request may be sent again." default:"8"`
	Seed        uint64             `help:"Seed of all chance." default:"1"`
	Fault       []string           `help:"Faults to order at the stand-in as AT:TARGET:FAULT[:SECONDS[:FACTOR]]." sep:","`
	FaultAt     time.Duration      `help:"When a fault begins, for the time of recovery."`
	Measured    []string           `help:"Accounts whose attainment is reported; all if left out." sep:","`
	Standin     settings.Address   `help:"Admin address of the stand-in, for counts from outside." placeholder:"IP:PORT"`
	Row         string             `help:"Print one row of a table under this name in place of the counts."`
}

// Main runs the program. It exits with 1 if something was lost, doubled or
// crossed.
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

var errWeight = errors.New("expected a weight of 1 or more behind the colon")

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
