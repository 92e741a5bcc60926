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

	mu       sync.Mutex
	command  *exec.Cmd
	exited   chan struct{}
	expected bool // the soak has ended it
	life     int
	faults   []string
	taken    bool
	stops    []stop
	starts   []time.Time
}

// stop is one planned stop: when SIGTERM was sent and when the process was gone,
// or zero while it is not.
type stop struct {
	asked, gone time.Time
}

// take reserves the process for one fault that ends or stops it, and reports
// false while another one has it.
func (p *process) take() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.taken {
		return false
	}
	p.taken = true
	return true
}

func (p *process) give() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.taken = false
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
	p.command, p.expected = command, false
	p.life++
	p.starts = append(p.starts, time.Now())
	exited := make(chan struct{})
	p.exited = exited
	go func() {
		err := command.Wait()
		_ = log.Close()
		p.mu.Lock()
		if !p.expected {
			p.faults = append(p.faults, fmt.Sprintf("%s ended by itself: %v", p.name, err))
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
	p.expected = true
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
	p.stops = append(p.stops, stop{asked: time.Now()})
	p.mu.Unlock()
	kill := time.AfterFunc(p.grace, func() { _ = command.Process.Kill() })
	p.end(syscall.SIGTERM)
	inTime := kill.Stop()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stops[len(p.stops)-1].gone = time.Now()
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
		if !moment.Before(s.asked) && (s.gone.IsZero() || moment.Before(s.gone)) {
			return moment.Sub(s.asked), true
		}
	}
	return 0, false
}

// lifeNumber counts the starts.
func (p *process) lifeNumber() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.life
}

// ownEnds lists how often and why the process ended by itself.
func (p *process) ownEnds() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}
