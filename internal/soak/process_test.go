package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"gradetiller.example/platform"
	"gradetiller.example/platform/platformtest"
)

// process is a node that runs as a separate process and can be restarted.
type process struct {
	platformtest.Addresses
	t        testing.TB
	name     string
	program  string
	settings string
	peer     string // address at which other nodes reach it
	logs     string
	grace    time.Duration

	mu           sync.Mutex
	command      *exec.Cmd
	exited       chan struct{}
	exitExpected bool // the test has ended the process
	incarnation  int
	unexpected   []string
	reserved     bool
	stops        []stop
	starts       []time.Time
}

// stop is a planned stop. exitedAt is zero while the process runs.
type stop struct {
	sigtermAt, exitedAt time.Time
}

// reserve reserves the process for one fault that ends or pauses it. It reports false if
// another fault has reserved it.
func (p *process) reserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.reserved {
		return false
	}
	p.reserved = true
	return true
}

func (p *process) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reserved = false
}

// build builds the program under test.
func build(t testing.TB, folder string) string {
	program := filepath.Join(folder, "gradetiller-node")
	command := exec.Command("go", "build", "-o", program, "gradetiller.example/cmd/gradetiller-node")
	if output, err := command.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, output)
	}
	return program
}

// start starts the process with its current settings.
func (p *process) start() {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(p.logs, p.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		p.t.Fatal(err)
	}
	command := exec.Command(p.program, "--peer-address", p.peer)
	command.Env = append(os.Environ(), platform.SettingsVariable+"="+p.settings)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		p.t.Fatal(err)
	}
	p.command, p.exitExpected = command, false
	p.incarnation++
	p.starts = append(p.starts, time.Now())
	exited := make(chan struct{})
	p.exited = exited
	go func() {
		err := command.Wait()
		_ = log.Close()
		p.mu.Lock()
		if !p.exitExpected {
			p.unexpected = append(p.unexpected, fmt.Sprintf("%s exited unexpectedly: %v", p.name, err))
		}
		p.mu.Unlock()
		close(exited)
	}()
}

// startedWithin reports whether the process was started within d before the given time. Such a
// node is not yet in contact, whether it was stopped as planned or not.
func (p *process) startedWithin(d time.Duration, at time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.starts, func(start time.Time) bool { return !at.Before(start) && at.Sub(start) <= d })
}

// signal sends a signal to the process.
func (p *process) signal(s os.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.command.Process.Signal(s)
}

// end terminates the process with a signal and waits for its exit.
func (p *process) end(s syscall.Signal) {
	p.mu.Lock()
	p.exitExpected = true
	exited := p.exited
	_ = p.command.Process.Signal(s)
	if s == syscall.SIGKILL {
		// Resume a process that is stopped, so that it exits.
		_ = p.command.Process.Signal(syscall.SIGCONT)
	}
	p.mu.Unlock()
	<-exited
}

// terminate performs a planned stop: it sends SIGTERM, then SIGKILL when the grace period is
// over, and waits for the exit. It reports whether the process exited within the grace period.
func (p *process) terminate() bool {
	p.mu.Lock()
	command := p.command
	p.stops = append(p.stops, stop{sigtermAt: time.Now()})
	p.mu.Unlock()
	kill := time.AfterFunc(p.grace, func() { _ = command.Process.Kill() })
	p.end(syscall.SIGTERM)
	inTime := kill.Stop()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stops[len(p.stops)-1].exitedAt = time.Now()
	return inTime
}

// stopping reports whether the process has received SIGTERM and still runs.
func (p *process) stopping() bool {
	_, ok := p.sinceStop(time.Now())
	return ok
}

// sinceStop returns the time from SIGTERM to the given time, and whether the process was
// stopping then.
func (p *process) sinceStop(at time.Time) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.stops {
		if !at.Before(s.sigtermAt) && (s.exitedAt.IsZero() || at.Before(s.exitedAt)) {
			return at.Sub(s.sigtermAt), true
		}
	}
	return 0, false
}

// currentIncarnation returns the number of starts so far.
func (p *process) currentIncarnation() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.incarnation
}

// unexpectedExits describes each exit that the test did not cause.
func (p *process) unexpectedExits() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.unexpected
}
