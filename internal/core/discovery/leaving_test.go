package discovery

import (
	"fmt"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"gradetiller.example/internal/scripted"
)

// The scripts under testdata/leaving guard against work being sent to an endpoint after the
// store has acknowledged that it leaves. In a system of 295 nodes with six readers this
// happened 4.03 s after the acknowledgement, with 4 s allowed.
//
// The primary readers failed just after the endpoint had left. A backup reader read the
// store 1.4 to 1.8 s later. Since nobody had renewed its own list meanwhile, it inferred
// that the store had been unavailable, and retained the endpoint for 2.2 s as if its entry
// had lapsed. It also replicated the retained endpoint as listed, even to nodes that had
// dropped it. The time as of which a list was valid did not advance while nothing changed,
// so nodes that began to read nearly always inferred an outage.
//
// The same fault appeared in the logs of a system of 61 nodes of which seven in ten failed
// while a tenth of the endpoints left and the store was available. Nodes in contact logged
// "endpoints kept", one of them with a list_age_ms of 4.1 s although it had received the
// store's state 0.8 s earlier. Two nodes dropped the endpoint, retained it again and sent it
// requests.

// TestLeaving runs the scripts: systems of nodes in simulated time that read the store and
// poll each other as in production.
func TestLeaving(t *testing.T) {
	scripts, err := filepath.Glob(filepath.Join("testdata", "leaving", "*.txt"))
	if err != nil || len(scripts) == 0 {
		t.Fatalf("no scripts: %v", err)
	}
	for _, path := range scripts {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".txt"), func(t *testing.T) { runScript(t, path) })
	}
}

// script holds one file: its settings, steps and bounds.
type script struct {
	nodes, endpoints int
	seeds            int
	bound, contact   time.Duration
	// missing is how long a live endpoint may be missing at a node in contact.
	missing time.Duration
	steps   []scriptStep
}

// scriptStep is a line that begins with a time.
type scriptStep struct {
	at   time.Duration
	verb string
	args []string
}

func readScript(t *testing.T, path string) script {
	t.Helper()
	s := script{seeds: 1}
	scripted.Read(t, path, s.parseLine)
	return s
}

// parseLine parses one line of a script.
func (s *script) parseLine(words []string) error {
	if at, err := time.ParseDuration(words[0]); err == nil && len(words) > 1 {
		s.steps = append(s.steps, scriptStep{at: at, verb: words[1], args: words[2:]})
		return nil
	}
	if len(words) != 2 {
		return fmt.Errorf("%q is neither a setting with its value nor a step", strings.Join(words, " "))
	}
	number, _ := strconv.Atoi(words[1])
	length, _ := time.ParseDuration(words[1])
	switch words[0] {
	case "nodes":
		s.nodes = number
	case "endpoints":
		s.endpoints = number
	case "seeds":
		s.seeds = number
	case "bound":
		s.bound = length
	case "contact":
		s.contact = length
	case "missing":
		s.missing = length
	default:
		return fmt.Errorf("unknown setting %q", words[0])
	}
	return nil
}

func runScript(t *testing.T, path string) {
	s := readScript(t, path)
	for seed := range s.seeds {
		w := newSimulation(s, uint64(seed))
		if found := w.run(); len(found) > 0 {
			t.Errorf("seed %d: %d faults, the first: %s", seed, len(found), strings.Join(found[:min(len(found), 4)], "\n\t"))
		}
	}
}
