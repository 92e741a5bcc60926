//go:build review

package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The dose of the disruption: of garble, on 0.6 of a service's workers, 0.03 of their answers, for 5 s at a time.
const (
	endlessShare   = 0.6
	endlessPart    = 0.03
	endlessFor     = 5 * time.Second
	endlessPause   = time.Second
	endlessTimes   = 14
	endlessFirst   = 3 * time.Second
	endlessClients = 24
	endlessWorkers = 5
	// garbageFor is how long a spoiled answer goes on at most, and garbageRate its bytes in a second, which is
	// less than the link of a machine carries (1,000 Mbit/s). There is one such answer at a time.
	garbageFor  = 5 * time.Second
	garbageRate = 100 << 20
	// memoryLimit is the limit of the machines, beyond which the platform kills a process.
	memoryLimit = 284 << 20
	// faultEnds is how often processes of a machine must end by themselves for the fault, and faultMachines
	// the number of such machines.
	faultEnds, faultMachines = 3, 2
)

// writeGarbage writes chunks without a line's end until the caller leaves.
func (x *exchange) writeGarbage() {
	const size = 64 << 10
	chunk := append(fmt.Appendf(nil, "%x\r\n", size), bytes.Repeat([]byte("x"), size)...)
	chunk = append(chunk, "\r\n"...)
	begun := time.Now()
	for sent := 0; time.Since(begun) < garbageFor; sent += size {
		if !x.write(chunk) {
			return
		}
		time.Sleep(time.Until(begun.Add(time.Duration(float64(sent) / garbageRate * float64(time.Second)))))
	}
}

// memoryWatch kills the nodes that exceed the memory of their machines, as the platform does, and counts that.
type memoryWatch struct {
	o    options
	r    *record
	mu   sync.Mutex
	ends map[string]int
	most map[string]int64
}

// run watches until the process ends.
func (m *memoryWatch) run() {
	for range time.Tick(10 * time.Millisecond) {
		for i := range m.o.nodes {
			m.check(fmt.Sprintf("node-%d", i+1))
		}
	}
}

func (m *memoryWatch) check(name string) {
	pid, err := os.ReadFile(m.o.workerFile(name, ".pid"))
	if err != nil {
		return
	}
	used, err := residentBytes(strings.TrimSpace(string(pid)))
	if err != nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.most[name] = max(m.most[name], used)
	if used <= memoryLimit {
		return
	}
	if m.o.kill(name, syscall.SIGKILL) == nil {
		m.ends[name]++
		m.r.printf("%s takes %d MB, over the %d MB of its machine, and is killed by the platform", name, used>>20, memoryLimit>>20)
		// Until the script has started it again, its file names the process that was killed.
		time.Sleep(100 * time.Millisecond)
	}
}

// residentBytes returns the memory of a process.
func residentBytes(pid string) (int64, error) {
	data, err := os.ReadFile("/proc/" + pid + "/statm")
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0, os.ErrNotExist
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize()), err
}

// runEndless plays model workers that spoil some answers with bytes without an end of a line.
func runEndless(o options, r *record) int {
	s, err := newSite(o, r)
	if err != nil {
		r.verdict("cannot start: %v", err)
		return exitNotRun
	}
	var active, spoiling atomic.Bool
	var spoiled atomic.Int64
	for i := range endlessWorkers {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			r.verdict("cannot start: %v", err)
			return exitNotRun
		}
		w := &modelWorker{id: fmt.Sprintf("i-model-%d", i), began: func(string, int, int) {}, ended: func(string, int) {}, admit: func(*exchange) int { return 0 }}
		w.spoils = func(id string) bool {
			if !o.trouble || float64(i) >= endlessShare*endlessWorkers || !active.Load() || rand.Float64() >= endlessPart || spoiling.Swap(true) {
				return false
			}
			spoiled.Add(1)
			r.printf("%s spoils its answer to %s", w.id, id)
			return true
		}
		w.spoiled = func() { spoiling.Store(false) }
		s.listWorker(w.id, "tiller-pool", l.Addr().String(), zones[i%len(zones)], modelSlots)
		go w.serve(l)
	}
	s.store.put("op", "config", unframedConfig())
	if err := o.announce(); err != nil {
		r.verdict("cannot start: %v", err)
		return exitNotRun
	}
	if err := s.awaitNodes(); err != nil {
		r.verdict("cannot run: %v", err)
		return exitNotRun
	}
	m := &memoryWatch{o: o, r: r, ends: make(map[string]int), most: make(map[string]int64)}
	go m.run()
	c := &streamCheck{r: r}
	begun := time.Now()
	var clients sync.WaitGroup
	for range endlessClients {
		clients.Go(func() {
			for time.Since(begun) < endlessFirst+endlessTimes*(endlessFor+endlessPause) {
				c.sendRequest(s)
			}
		})
	}
	time.Sleep(endlessFirst)
	for range endlessTimes {
		active.Store(true)
		time.Sleep(endlessFor)
		active.Store(false)
		time.Sleep(endlessPause)
	}
	clients.Wait()
	return m.judge(c, int(spoiled.Load()))
}

func (m *memoryWatch) judge(c *streamCheck, spoiled int) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	machines, total := 0, 0
	for i := range m.o.nodes {
		name := fmt.Sprintf("node-%d", i+1)
		if m.ends[name] >= faultEnds {
			machines++
		}
		total += m.ends[name]
		m.r.verdict("%s: %d ends, at most %d MB", name, m.ends[name], m.most[name]>>20)
	}
	m.r.verdict("%d streams whole, %d cut off, %d not begun; %d answers were spoiled; %d ends of processes, on %d machines %d or more", c.whole, c.cut, c.refused, spoiled, total, machines, faultEnds)
	switch {
	case machines >= faultMachines:
		m.r.verdict("Fault: the day counts 0")
		return exitBroken
	case c.whole == 0:
		return exitNotRun
	}
	m.r.verdict("no fault")
	return exitHeld
}
