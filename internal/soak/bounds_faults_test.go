package soak

import (
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"gradetiller.example/platform/platformtest"
)

// fault is a kind of fault that the check of bounds brings.
type fault struct {
	name   string
	inject func(r *boundsRun, nodes []int, length time.Duration)
	// share is how many of the nodes it strikes, 0 for one.
	share float64
	// targetsReaders tells that it strikes the nodes that call the store first.
	targetsReaders bool
}

var faults = []fault{
	{name: "nothing", inject: func(*boundsRun, []int, time.Duration) {}},
	{name: "kill", inject: (*boundsRun).kill},
	{name: "kill readers", inject: (*boundsRun).kill, share: 0.1, targetsReaders: true},
	{name: "herd", inject: (*boundsRun).kill, share: 0.55},
	{name: "freeze", inject: (*boundsRun).freeze},
	{name: "freeze readers", inject: (*boundsRun).freeze, share: 0.1, targetsReaders: true},
	{name: "roll", inject: (*boundsRun).roll, share: 0.1, targetsReaders: true},
	{name: "hang up", inject: (*boundsRun).hangup, share: 0.6},
	{name: "cut reader", inject: (*boundsRun).disruptStore, targetsReaders: true},
	{name: "cut readers", inject: (*boundsRun).disruptStore, share: 0.17, targetsReaders: true},
	{name: "cut some", inject: (*boundsRun).disruptStore, share: 0.33},
	{name: "configurations refused", inject: (*boundsRun).refuseConfigs, share: 0.17, targetsReaders: true},
	{name: "configurations hang", inject: (*boundsRun).hangConfigs, share: 0.17, targetsReaders: true},
	{name: "lists refused", inject: (*boundsRun).refuseLists, share: 0.17, targetsReaders: true},
	{name: "lists hang", inject: (*boundsRun).hangLists, share: 0.17, targetsReaders: true},
	{name: "store away", inject: (*boundsRun).takeStoreDown, share: 1},
}

// laterFaults are kinds that came later. Runs of the kinds above draw as before.
var laterFaults = []fault{
	{name: "lapse", inject: (*boundsRun).expireEntries, share: 1},
	{name: "leave as readers die", inject: (*boundsRun).kill, share: 0.3, targetsReaders: true},
	{name: "leave as readers freeze", inject: (*boundsRun).freeze, share: 0.3, targetsReaders: true},
	{name: "leave as readers are cut", inject: (*boundsRun).disruptStore, share: 0.3, targetsReaders: true},
}

// poisonFault is the kind of a run that brings requests which crash workers and nothing
// else. Runs of all kinds have such requests beside.
const poisonFault = "poison"

// leavePrefix tells the kinds at whose beginning workers leave.
const leavePrefix = "leave as readers"

// faultKinds are those among which a run draws when it brings one kind, or all.
func faultKinds(only string) []fault {
	if only == poisonFault {
		return []fault{{name: poisonFault, inject: func(*boundsRun, []int, time.Duration) {}}}
	}
	if slices.ContainsFunc(faults, func(f fault) bool { return f.name == only }) {
		return faults
	}
	return slices.Concat(faults, laterFaults)
}

// isFaultKind reports whether a kind of fault exists; the empty one stands for all.
func isFaultKind(only string) bool {
	return only == "" || slices.ContainsFunc(faultKinds(only), func(f fault) bool { return f.name == only })
}

// injectFaults brings faults in series, overlapping, for a while: those of one kind, or of
// all if it is empty.
func (r *boundsRun) injectFaults(lasts time.Duration, only string) {
	end := time.Now().Add(lasts)
	list := faultKinds(only)
	var open sync.WaitGroup
	for time.Now().Before(end) {
		f := list[r.rand.IntN(len(list))]
		for only != "" && f.name != only {
			f = list[r.rand.IntN(len(list))]
		}
		count := max(1, int(f.share*float64(len(r.nodes))))
		nodes := r.rand.Perm(len(r.nodes))[:count]
		if f.targetsReaders {
			nodes = r.busiestNodes(count)
		}
		length := time.Duration(1500+r.rand.IntN(5500)) * time.Millisecond
		r.t.Logf("%s %s: %d nodes, %v", time.Now().Format("05.000"), f.name, count, length)
		open.Go(func() { f.inject(r, nodes, length) })
		if strings.HasPrefix(f.name, leavePrefix) {
			time.Sleep(leaveDelay)
			r.replaceWorker()
			r.replaceWorker()
		}
		time.Sleep(time.Duration(500+r.rand.IntN(5000)) * time.Millisecond)
	}
	open.Wait()
}

// busiestNodes are the nodes that called the store most since the last question.
func (r *boundsRun) busiestNodes(count int) []int {
	before := make([]int64, len(r.storeProxies))
	for i, d := range r.storeProxies {
		before[i] = d.Calls()
	}
	time.Sleep(time.Second)
	list := r.rand.Perm(len(r.storeProxies))
	calls := func(i int) int64 { return r.storeProxies[i].Calls() - before[i] }
	for i := range list {
		for j := i; j > 0 && calls(list[j]) > calls(list[j-1]); j-- {
			list[j], list[j-1] = list[j-1], list[j]
		}
	}
	return list[:count]
}

// beginDisturbance notes that something is wrong with nodes, and returns what ends it.
func (r *boundsRun) beginDisturbance(nodes []int) func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := make([]int, len(nodes))
	for i, n := range nodes {
		r.history.disturbed[n] = append(r.history.disturbed[n], span{from: time.Now()})
		at[i] = len(r.history.disturbed[n]) - 1
	}
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		for i, n := range nodes {
			r.history.disturbed[n][at[i]].to = time.Now()
		}
	}
}

// beginRestart notes that nodes are restarted or frozen, and returns what ends it.
func (r *boundsRun) beginRestart(nodes []int) func() {
	end := r.beginDisturbance(nodes)
	from := time.Now()
	return func() {
		end()
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, n := range nodes {
			r.restarted[n] = append(r.restarted[n], span{from: from, to: time.Now()})
		}
	}
}

// reserve are those of the nodes that no other fault has.
func (r *boundsRun) reserve(nodes []int) (list []int, give func()) {
	for _, n := range nodes {
		if r.nodes[n].reserve() {
			list = append(list, n)
		}
	}
	return list, func() {
		for _, n := range list {
			r.nodes[n].release()
		}
	}
}

func (r *boundsRun) kill(nodes []int, length time.Duration) {
	nodes, give := r.reserve(nodes)
	defer give()
	defer r.beginRestart(nodes)()
	for _, n := range nodes {
		r.nodes[n].end(syscall.SIGKILL)
	}
	time.Sleep(length / 2)
	for _, n := range nodes {
		r.nodes[n].start()
	}
}

func (r *boundsRun) freeze(nodes []int, length time.Duration) {
	nodes, give := r.reserve(nodes)
	defer give()
	defer r.beginRestart(nodes)()
	for _, n := range nodes {
		r.nodes[n].signal(syscall.SIGSTOP)
	}
	time.Sleep(length)
	for _, n := range nodes {
		r.nodes[n].signal(syscall.SIGCONT)
	}
}

// roll stops and starts nodes as planned, one after the other.
func (r *boundsRun) roll(nodes []int, _ time.Duration) {
	nodes, give := r.reserve(nodes)
	defer give()
	for _, n := range nodes {
		end := r.beginRestart([]int{n})
		r.nodes[n].terminate()
		r.nodes[n].start()
		end()
	}
}

func (r *boundsRun) hangup(nodes []int, _ time.Duration) {
	nodes, give := r.reserve(nodes)
	defer give()
	for _, n := range nodes {
		r.nodes[n].signal(syscall.SIGHUP)
	}
}

// disruptStore takes the store away from some nodes; the others reach it.
func (r *boundsRun) disruptStore(nodes []int, length time.Duration) {
	how := []platformtest.Disruption{platformtest.Unavailable, platformtest.Hang, platformtest.CloseConnection}[len(nodes)%3]
	r.disruptCalls(nodes, platformtest.AllCalls, how, length)
}

func (r *boundsRun) refuseConfigs(nodes []int, length time.Duration) {
	r.disruptCalls(nodes, platformtest.ConfigCalls, platformtest.Unavailable, length)
}

func (r *boundsRun) hangConfigs(nodes []int, length time.Duration) {
	r.disruptCalls(nodes, platformtest.ConfigCalls, platformtest.Hang, length)
}

func (r *boundsRun) refuseLists(nodes []int, length time.Duration) {
	r.disruptCalls(nodes, platformtest.ListCalls, platformtest.Unavailable, length)
}

func (r *boundsRun) hangLists(nodes []int, length time.Duration) {
	r.disruptCalls(nodes, platformtest.ListCalls, platformtest.Hang, length)
}

func (r *boundsRun) disruptCalls(nodes []int, which platformtest.Calls, how platformtest.Disruption, length time.Duration) {
	end := r.beginDisturbance(nodes)
	r.applyDisruption(nodes, which, how, length)
	end()
}

func (r *boundsRun) applyDisruption(nodes []int, which platformtest.Calls, how platformtest.Disruption, length time.Duration) {
	for _, n := range nodes {
		r.storeProxies[n].Disrupt(which, how)
	}
	time.Sleep(length)
	for _, n := range nodes {
		r.storeProxies[n].Restore()
	}
}

const (
	// leaveDelay is how long after the readers were lost workers leave: before any
	// other node has read the store in their place.
	leaveDelay = 50 * time.Millisecond
	// heartbeatInterval is how often workers confirm their entries, which live for entryBeats
	// of these.
	heartbeatInterval = 1200 * time.Millisecond
	heartbeatsPerTTL  = 3
	// relistTime is how long after the store's return lapsed entries count.
	relistTime = 2500 * time.Millisecond
)

// expireEntries takes the store away from all nodes and workers, for longer than entries live.
// All workers serve on, and list themselves again after its return. One absence ends
// before the next one begins: in a store that is there, no entry lapses.
func (r *boundsRun) expireEntries(_ []int, length time.Duration) {
	r.expiring.Lock()
	defer r.expiring.Unlock()
	end := r.beginStoreOutage()
	r.site.Store.SetDown(true)
	time.Sleep(heartbeatInterval * heartbeatsPerTTL)
	back := r.site.ExpireEntries()
	time.Sleep(length / 2)
	r.site.Store.SetDown(false)
	end()
	now := time.Now()
	r.mu.Lock()
	r.history.expired = append(r.history.expired, span{from: now, to: now.Add(relistTime)})
	r.mu.Unlock()
	back(heartbeatInterval)
}

// takeStoreDown takes the store away from all nodes.
func (r *boundsRun) takeStoreDown(nodes []int, length time.Duration) {
	defer r.beginStoreOutage()()
	r.applyDisruption(nodes, platformtest.AllCalls, platformtest.Unavailable, length)
}

// beginStoreOutage notes that the store is away from all, and returns what ends it.
func (r *boundsRun) beginStoreOutage() func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.storeOutages = append(r.history.storeOutages, span{from: time.Now()})
	at := len(r.history.storeOutages) - 1
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.history.storeOutages[at].to = time.Now()
	}
}
