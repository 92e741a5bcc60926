//go:build review

// Command standin plays the users' platform for the cases under review: its store, workers and clients. Each
// scenario writes the settings of the nodes into a directory, in which the script that starts the nodes finds
// them, sends requests, and judges what the stand-ins saw.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// The exit statuses of a scenario.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitNotRun  = 2
	maxDuration = 110 * time.Second
)

// options are the arguments of a scenario.
type options struct {
	dir, record    string
	nodes, workers int
	trouble        bool
	// framed makes workers send chunks where the scenario has them send answers without a length.
	framed bool
}

// scenarios maps the names of the scenarios to their functions, which return an exit status.
var scenarios = map[string]func(options, *record) int{
	"endless":             runEndless,
	"surplus":             runSurplus,
	"unframed":            runUnframed,
	"versions-store-away": runVersions,
}

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: standin SCENARIO --dir DIR --record FILE [--trouble 0|1] [--nodes N] [--workers N]")
		os.Exit(exitNotRun)
	}
	flags := flag.NewFlagSet(os.Args[1], flag.ExitOnError)
	var o options
	var trouble, framed int
	flags.StringVar(&o.dir, "dir", "", "directory of the settings and process IDs")
	flags.StringVar(&o.record, "record", "", "file for the record")
	flags.IntVar(&trouble, "trouble", 1, "0 leaves the disruption out")
	flags.IntVar(&framed, "framed", 0, "1 makes workers send chunks in place of answers without a length")
	flags.IntVar(&o.nodes, "nodes", 3, "number of nodes")
	flags.IntVar(&o.workers, "workers", 0, "number of model workers that are processes of their own")
	name := flags.String("name", "", "name of a worker process")
	_ = flags.Parse(os.Args[2:])
	o.trouble, o.framed = trouble != 0, framed != 0
	if os.Args[1] == "worker" {
		runWorkerProcess(o, *name)
		return
	}
	scenario, ok := scenarios[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown scenario", os.Args[1])
		os.Exit(exitNotRun)
	}
	r, err := newRecord(o.record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	time.AfterFunc(maxDuration, func() {
		r.printf("the scenario took longer than %v", maxDuration)
		r.close()
		os.Exit(exitNotRun)
	})
	status := scenario(o, r)
	r.close()
	os.Exit(status)
}

// announce tells the script that the settings of the nodes are written.
func (o options) announce() error {
	return os.WriteFile(filepath.Join(o.dir, "ready"), nil, 0o600)
}
