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

// process is one node that is run as a separate process, and started again
// when the soak has ended it.
type process struct {
	platformtest.Addresses
	t        testing.TB
	name     string
	program  string
	settings string
	peer     string // where other nodes reach it
	logs     string
	grace    time.Duration

	mu           sync.Mutex
	command      *exec.Cmd
	exited       chan struct{}
	exitExpected bool // the soak has ended it
	incarnation  int
	unexpected   []string
	reserved     bool
	stops        []stop
	starts       []time.Time
}

// stop is one planned stop: when SIGTERM was sent and when the process was gone,
// or zero while it is not.
type stop struct {
	sigtermAt, exitedAt time.Time
}

// reserve reserves the process for one fault that ends or stops it, and reports
// false while another one has it.
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

// build builds the program under test once for all runs.
func build(t testing.TB, folder string) string {
	program := filepath.Join(folder, "gradetiller-node")
	command := exec.Command("go", "build", "-o", program, "gradetiller.example/cmd/gradetiller-node")
	if output, err := command.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, output)
	}
	return program
}

// start starts the process with the settings of this moment.
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
			p.unexpected = append(p.unexpected, fmt.Sprintf("%s ended by itself: %v", p.name, err))
		}
		p.mu.Unlock()
		close(exited)
	}()
}

// startedWithin reports whether the process was started in a time before a moment. Such a
// node is not in touch yet, whether it was ended as planned or not.
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

// end ends the process with a signal and waits until it is gone.
func (p *process) end(s syscall.Signal) {
	p.mu.Lock()
	p.exitExpected = true
	exited := p.exited
	_ = p.command.Process.Signal(s)
	if s == syscall.SIGKILL {
		// A stopped process takes the kill only when it goes on.
		_ = p.command.Process.Signal(syscall.SIGCONT)
	}
	p.mu.Unlock()
	<-exited
}

// terminate stops the process as planned and waits until it is gone: SIGTERM,
// and SIGKILL when the grace period is over. It reports whether the process
// ended before that.
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

// stopping reports whether SIGTERM was sent and the process is not gone.
func (p *process) stopping() bool {
	_, ok := p.sinceStop(time.Now())
	return ok
}

// sinceStop tells how long before a moment SIGTERM was sent to the process that
// ran then, and whether it was.
func (p *process) sinceStop(moment time.Time) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.stops {
		if !moment.Before(s.sigtermAt) && (s.exitedAt.IsZero() || moment.Before(s.exitedAt)) {
			return moment.Sub(s.sigtermAt), true
		}
	}
	return 0, false
}

// currentIncarnation counts the starts.
func (p *process) currentIncarnation() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.incarnation
}

// unexpectedExits lists how often and why the process ended by itself.
func (p *process) unexpectedExits() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.unexpected
}
