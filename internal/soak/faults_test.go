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

// probePrefix is the prefix of the IDs of requests that only probe a node, such as for the
// configuration in force.
const probePrefix = "probe-"

const (
	minGapMS   = 150
	maxGapMS   = 600 // between the starts of two faults
	minFaultMS = 300
	maxFaultMS = 2500 // duration of a fault
)

// injectFaults injects faults for the given time, some of them overlapping, and waits until all
// have ended.
func (r *run) injectFaults(duration time.Duration) {
	kinds := []func(time.Duration){
		r.kill, r.pause, r.terminate, r.hangup, r.disruptFront, r.disruptPeers, r.disruptWorker, r.disruptStore,
		r.storeDown, r.injectWorkerFaults, r.crashWorker, r.drainWorker, r.changeConfig, r.changeConfig,
	}
	end := time.Now().Add(duration)
	var active sync.WaitGroup
	for time.Now().Before(end) {
		inject := kinds[r.rand.IntN(len(kinds))]
		length := r.randomDuration(minFaultMS, maxFaultMS)
		gap := r.randomDuration(minGapMS, maxGapMS)
		active.Add(1)
		r.startFault(&active, inject, length)
		r.injectLaterFaults(&active)
		time.Sleep(gap)
	}
	active.Wait()
}

const (
	// laterSeed separates the draws of later faults from the others. One in laterOdds faults is
	// accompanied by a later fault.
	laterSeed = 13
	laterOdds = 4
)

// injectLaterFaults injects the faults that later sets add. They are drawn from separate random
// sources, so that the other faults are the same with and without them.
func (r *run) injectLaterFaults(active *sync.WaitGroup) {
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
	if r.faults >= versionFaults {
		r.maybeChangeVersions()
	}
	if r.faults < restartFaults || r.laterRand.IntN(laterOdds) > 0 {
		return
	}
	kinds := []func(time.Duration){r.restartWorker, r.unlistWorker}
	inject := kinds[r.laterRand.IntN(len(kinds))]
	active.Add(1)
	r.startFault(active, inject, randomDuration(r.laterRand, minFaultMS, maxFaultMS))
}

// startFault starts a fault. All its random draws happen before startFault returns.
func (r *run) startFault(active *sync.WaitGroup, inject func(time.Duration), length time.Duration) {
	r.endFault = nil
	inject(length)
	end := r.endFault
	go func() {
		defer active.Done()
		if end != nil {
			end()
		}
	}()
}

func (r *run) randomDuration(low, high int) time.Duration { return randomDuration(r.rand, low, high) }

func randomDuration(rng *rand.Rand, low, high int) time.Duration {
	return time.Duration(low+rng.IntN(high-low)) * time.Millisecond
}

func (r *run) randomNode() *process { return r.nodes[r.rand.IntN(len(r.nodes))] }

func (r *run) randomWorker() *platformtest.Worker { return r.pickWorker(r.rand) }

func (r *run) pickWorker(rng *rand.Rand) *platformtest.Worker {
	list := r.workers[[]string{"desk", "model", "encode", "rank"}[rng.IntN(4)]]
	return list[rng.IntN(len(list))]
}

// startUnplanned starts an unplanned fault now that ends after the given time.
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

// terminate is a planned operation: it stops and starts a node.
func (r *run) terminate(time.Duration) {
	p := r.randomNode()
	if !p.reserve() {
		return
	}
	r.endFault = func() { r.stop(p); p.start(); p.release() }
}

// stop performs a planned stop of a process.
func (r *run) stop(p *process) {
	if !p.terminate() {
		r.overdueStops.Add(1)
	}
}

// hangup is a planned operation: it sends SIGHUP to a node.
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

// recordStoreFault records the fault that is being started as a fault of the store.
func (r *run) recordStoreFault() {
	from, end := time.Now(), r.endFault
	r.endFault = func() {
		end()
		r.storeFaults.add(from, time.Now())
	}
}

// spans is a list of time spans that is safe for concurrent use.
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

// injectWorkerFaults makes a worker respond incorrectly to its next requests.
func (r *run) injectWorkerFaults(length time.Duration) {
	w := r.randomWorker()
	faults := []platformtest.Fault{
		platformtest.Reset, platformtest.WrongRequestID, platformtest.MissingStamp, platformtest.Shed,
		platformtest.Fail, platformtest.TruncateBody, platformtest.TruncateEvent, platformtest.NoResponse,
	}
	f := faults[r.rand.IntN(len(faults))]
	r.startUnplanned(length, func() { w.InjectFaults(f, f, f) }, w.ClearFaults)
}

// crashWorker crashes a worker permanently. Another worker replaces it, and its entry is
// removed later. With alternatingFaults every second crashed worker restarts under its ID
// instead.
func (r *run) crashWorker(length time.Duration) {
	w := r.randomWorker()
	r.crashes++
	if r.faults == alternatingFaults && r.crashes%2 == 0 && !r.hasLeft(w) {
		r.startUnplanned(length, w.Crash, w.Restart)
		return
	}
	r.workers[w.Service] = append(r.workers[w.Service], r.addWorkers(w.Service, 1)...)
	r.startUnplanned(length, w.Crash, w.RemoveEntry)
}

// restartWorker crashes a worker, which later restarts under its ID.
func (r *run) restartWorker(length time.Duration) {
	w := r.pickWorker(r.laterRand)
	if !r.hasLeft(w) {
		r.startUnplanned(length, w.Crash, w.RestartUnlessLeft)
	}
}

// unlistWorker is a planned operation: a worker leaves unannounced and is replaced. Its entry
// is removed, and it keeps serving.
func (r *run) unlistWorker(time.Duration) {
	if w := r.pickWorker(r.laterRand); !r.hasLeft(w) {
		r.retire(w, w.Unlist)
	}
}

// retire makes a worker leave and adds a replacement.
func (r *run) retire(w *platformtest.Worker, leave func()) {
	r.workers[w.Service] = append(r.workers[w.Service], r.addWorkers(w.Service, 1)...)
	leave()
	r.retired = append(r.retired, retired{worker: w, at: time.Now()})
}

// hasLeft reports whether a worker has left.
func (r *run) hasLeft(w *platformtest.Worker) bool {
	return slices.ContainsFunc(r.retired, func(left retired) bool { return left.worker == w })
}

// drainWorker is a planned operation: a worker announces that it leaves and is replaced. With
// alternatingFaults every second one leaves unannounced and keeps serving.
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

// changeConfig is a planned operation: it publishes a new version, whose version-specific route
// replaces the route of the current version.
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

// watchVersions probes a node for some time for the routes of two consecutive versions. Once
// the node has served the newer one, it must not serve the older one until it is restarted.
func (r *run) watchVersions(p *process, older, newer uint64) {
	const probes = 20
	incarnation, seen := p.currentIncarnation(), false
	for range probes {
		newerStatus := r.probe(p, newer)
		olderStatus := r.probe(p, older)
		if p.currentIncarnation() != incarnation {
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

// rollingRestart restarts all nodes in turn under load and without other faults.
func (r *run) rollingRestart() {
	for _, p := range r.nodes {
		r.stop(p)
		p.start()
		r.awaitReady(p)
	}
}
