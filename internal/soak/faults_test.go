package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"gradetiller.example/platform/platformtest"
)

// probePrefix begins the ids of the requests that only show which configuration a
// node has in force.
const probePrefix = "probe-"

const (
	minGapMS   = 150
	maxGapMS   = 600 // milliseconds between troubles
	minFaultMS = 300
	maxFaultMS = 2500 // milliseconds that a trouble lasts
)

// injectFaults brings troubles in series, overlapping, for a while, and waits until
// all of them have ended.
func (r *run) injectFaults(lasts time.Duration) {
	kinds := []func(time.Duration){
		r.kill, r.pause, r.terminate, r.hangup, r.disruptFront, r.disruptPeers, r.disruptWorker, r.disruptStore,
		r.storeDown, r.injectWorkerFaults, r.crashWorker, r.drainWorker, r.changeConfig, r.changeConfig,
	}
	end := time.Now().Add(lasts)
	var open sync.WaitGroup
	for time.Now().Before(end) {
		do := kinds[r.rand.IntN(len(kinds))]
		length := r.randomDuration(minFaultMS, maxFaultMS)
		gap := r.randomDuration(minGapMS, maxGapMS)
		open.Add(1)
		r.startFault(&open, do, length)
		r.injectLaterFaults(&open)
		time.Sleep(gap)
	}
	open.Wait()
}

const (
	// laterSeed parts the draws of the troubles that came later from the others.
	laterSeed = 13
	// laterOdds is how many troubles there are for one of those that came later.
	laterOdds = 4
)

// injectLaterFaults brings, now and then, one of the troubles that came later, by draws of their
// own: those of the others are the same with and without.
func (r *run) injectLaterFaults(open *sync.WaitGroup) {
	if r.faults >= evacuationFaults {
		r.maybeRestoreStore()
	}
	if r.faults >= rateLimitFaults {
		r.maybeAdvertiseLimit()
	}
	if r.faults >= coldFaults {
		r.maybeTurnCold()
	}
	if r.faults >= signalFaults {
		r.maybeRejectRequests()
	}
	if r.faults < restartFaults || r.laterRand.IntN(laterOdds) > 0 {
		return
	}
	kinds := []func(time.Duration){r.restartWorker, r.unlistWorker}
	do := kinds[r.laterRand.IntN(len(kinds))]
	open.Add(1)
	r.startFault(open, do, randomDuration(r.laterRand, minFaultMS, maxFaultMS))
}

// startFault begins a trouble; what it draws by chance is drawn before it returns.
func (r *run) startFault(open *sync.WaitGroup, do func(time.Duration), length time.Duration) {
	r.endFault = nil
	do(length)
	later := r.endFault
	go func() {
		defer open.Done()
		if later != nil {
			later()
		}
	}()
}

func (r *run) randomDuration(low, high int) time.Duration { return randomDuration(r.rand, low, high) }

func randomDuration(draw *rand.Rand, low, high int) time.Duration {
	return time.Duration(low+draw.IntN(high-low)) * time.Millisecond
}

func (r *run) randomNode() *process { return r.nodes[r.rand.IntN(len(r.nodes))] }

func (r *run) randomWorker() *platformtest.Worker { return r.pickWorker(r.rand) }

func (r *run) pickWorker(draw *rand.Rand) *platformtest.Worker {
	list := r.workers[[]string{"desk", "model", "encode", "rank"}[draw.IntN(4)]]
	return list[draw.IntN(len(list))]
}

// startUnplanned has a fault begin now, and end after a while.
func (r *run) startUnplanned(length time.Duration, begin, end func()) {
	r.beginUnplanned()
	begin()
	r.endFault = func() {
		time.Sleep(length)
		end()
		r.endUnplanned()
	}
}

func (r *run) kill(length time.Duration) {
	p := r.randomNode()
	if !p.reserve() {
		return
	}
	r.startUnplanned(length, func() { p.end(syscall.SIGKILL) }, func() { p.start(); p.release() })
}

func (r *run) pause(length time.Duration) {
	p := r.randomNode()
	if !p.reserve() {
		return
	}
	r.startUnplanned(length, func() { p.signal(syscall.SIGSTOP) }, func() { p.signal(syscall.SIGCONT); p.release() })
}

// terminate is planned work.
func (r *run) terminate(time.Duration) {
	p := r.randomNode()
	if !p.reserve() {
		return
	}
	r.endFault = func() { r.stop(p); p.start(); p.release() }
}

// stop stops a process as planned.
func (r *run) stop(p *process) {
	if !p.terminate() {
		r.overdueStops.Add(1)
	}
}

// hangup is planned work.
func (r *run) hangup(time.Duration) { r.randomNode().signal(syscall.SIGHUP) }

func (r *run) disrupt(x *proxy, length time.Duration) {
	m := modes[r.rand.IntN(len(modes))]
	r.startUnplanned(length, func() { x.set(m) }, func() { x.set(pass) })
}

func (r *run) disruptFront(length time.Duration) {
	r.disrupt(r.proxies.proxyFor(r.randomNode().Front), length)
}

func (r *run) disruptPeers(length time.Duration) {
	r.disrupt(r.proxies.proxyFor(r.randomNode().Peer), length)
}

func (r *run) disruptWorker(length time.Duration) {
	r.disrupt(r.proxies.proxyFor(r.randomWorker().Address()), length)
}

func (r *run) disruptStore(length time.Duration) {
	r.disrupt(r.proxies.proxyFor(r.site.StoreAddress()), length)
	r.recordStoreFault()
}

func (r *run) storeDown(length time.Duration) {
	r.startUnplanned(length, func() { r.site.Store.SetDown(true) }, func() { r.site.Store.SetDown(false) })
	r.recordStoreFault()
}

// recordStoreFault has the trouble that is being started count as one of the store.
func (r *run) recordStoreFault() {
	from, end := time.Now(), r.endFault
	r.endFault = func() {
		end()
		r.storeFaults.add(from, time.Now())
	}
}

// spans are spans of time, safe for concurrent use.
type spans struct {
	mu   sync.Mutex
	list []span
}

func (s *spans) add(from, to time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = append(s.list, span{from: from, to: to})
}

func (s *spans) overlap(from, to time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return overlaps(s.list, from, to)
}

// injectWorkerFaults has a worker spoil its next answers.
func (r *run) injectWorkerFaults(length time.Duration) {
	w := r.randomWorker()
	faults := []platformtest.Fault{
		platformtest.Reset, platformtest.WrongRequestID, platformtest.MissingStamp, platformtest.Shed,
		platformtest.Fail, platformtest.TruncateBody, platformtest.TruncateEvent, platformtest.NoResponse,
	}
	f := faults[r.rand.IntN(len(faults))]
	r.startUnplanned(length, func() { w.InjectFaults(f, f, f) }, w.ClearFaults)
}

// crashWorker crashes a worker for good; another one takes its place, and later its entry
// goes. In alternating runs every second one begins anew under its id.
func (r *run) crashWorker(length time.Duration) {
	w := r.randomWorker()
	r.crashes++
	if r.faults == alternatingFaults && r.crashes%2 == 0 && !r.hasLeft(w) {
		r.startUnplanned(length, w.Crash, w.Restart)
		return
	}
	r.workers[w.Service] = append(r.workers[w.Service], r.site.AddWorkers(w.Service, 1)...)
	r.startUnplanned(length, w.Crash, w.RemoveEntry)
}

// restartWorker crashes a worker, which begins anew under its id.
func (r *run) restartWorker(length time.Duration) {
	w := r.pickWorker(r.laterRand)
	if !r.hasLeft(w) {
		r.startUnplanned(length, w.Crash, w.RestartUnlessLeft)
	}
}

// unlistWorker is planned work: a worker leaves without a word, and another one takes its
// place. Its entry goes, and it serves on.
func (r *run) unlistWorker(time.Duration) {
	if w := r.pickWorker(r.laterRand); !r.hasLeft(w) {
		r.retire(w, w.Unlist)
	}
}

// retire has a worker leave, and another one take its place.
func (r *run) retire(w *platformtest.Worker, leave func()) {
	r.workers[w.Service] = append(r.workers[w.Service], r.site.AddWorkers(w.Service, 1)...)
	leave()
	r.retired = append(r.retired, retired{worker: w, at: time.Now()})
}

// hasLeft reports whether a worker has left.
func (r *run) hasLeft(w *platformtest.Worker) bool {
	return slices.ContainsFunc(r.retired, func(gone retired) bool { return gone.worker == w })
}

// drainWorker is planned work: another worker takes the place of one that says that it
// leaves. In alternating runs the entry of every second one goes, and it serves on.
func (r *run) drainWorker(time.Duration) {
	w := r.randomWorker()
	if r.hasLeft(w) {
		return
	}
	if r.faults == alternatingFaults && len(r.retired)%2 == 1 {
		r.retire(w, w.Unlist)
		return
	}
	r.retire(w, w.Drain)
}

// changeConfig is planned work: the route that only the present version has
// gives way to that of the next one.
func (r *run) changeConfig(time.Duration) {
	next := r.config
	next.Version += 1 + uint64(r.rand.IntN(5))
	next.Routes = append([]platformtest.Route{}, r.config.Routes[:len(r.config.Routes)-1]...)
	next.Routes = append(next.Routes, platformtest.Route{Prefix: versionPath(next.Version), Kind: "safe", Service: "desk"})
	previous := r.config.Version
	r.config = next
	r.site.Publish(next)
	p := r.randomNode()
	r.endFault = func() { r.watchVersions(p, previous, next.Version) }
}

// watchVersions asks a node for the routes of two versions in a row for a while:
// once it has served the newer one it must not serve the older one in the same
// life.
func (r *run) watchVersions(p *process, older, newer uint64) {
	const questions = 20
	life, seen := p.currentIncarnation(), false
	for range questions {
		newerStatus := r.probe(p, newer)
		olderStatus := r.probe(p, older)
		if p.currentIncarnation() != life {
			return
		}
		if seen && olderStatus == http.StatusOK {
			r.failAsync(fmt.Sprintf("%s served version %d after version %d", p.name, older, newer))
			return
		}
		seen = seen || newerStatus == http.StatusOK
		time.Sleep(50 * time.Millisecond)
	}
}

func (r *run) probe(p *process, version uint64) int {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	q := platformtest.Request{ID: fmt.Sprintf("%s%d", probePrefix, r.probes.Add(1)), Path: versionPath(version), Key: apiKey, Deadline: time.Second}
	return platformtest.Do(ctx, p.Front, q).Status
}

// awaitConfig waits until every node serves the newest version.
func (r *run) awaitConfig() {
	for _, p := range r.nodes {
		r.awaitReady(p)
		reached := false
		for range 1500 {
			if r.probe(p, r.config.Version) == http.StatusOK {
				reached = true
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		if !reached {
			r.fail("%s does not serve version %d", p.name, r.config.Version)
		}
	}
}

// rollingRestart stops and starts all nodes in turn while clients send and nothing
// else is wrong.
func (r *run) rollingRestart() {
	for _, p := range r.nodes {
		r.stop(p)
		p.start()
		r.awaitReady(p)
	}
}
