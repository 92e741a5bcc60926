package soak

import (
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"gradetiller.example/platform/platformtest"
)

// fault is a kind of fault that the check of a deployment's bounds injects.
type fault struct {
	name   string
	inject func(r *boundsRun, nodes []int, length time.Duration)
	// share is the fraction of nodes affected. 0 stands for one node.
	share float64
	// targetsReaders selects the nodes with the most calls to the store first.
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

// laterFaults are kinds that were added later. They are a separate list so that runs restricted
// to one of the kinds above still make the same random draws.
var laterFaults = []fault{
	{name: "lapse", inject: (*boundsRun).expireEntries, share: 1},
	{name: "leave as readers die", inject: (*boundsRun).kill, share: 0.3, targetsReaders: true},
	{name: "leave as readers freeze", inject: (*boundsRun).freeze, share: 0.3, targetsReaders: true},
	{name: "leave as readers are cut", inject: (*boundsRun).disruptStore, share: 0.3, targetsReaders: true},
}

// poisonFault is the kind of a run whose only faults are requests that crash workers. Runs with
// all kinds of faults also have such requests.
const poisonFault = "poison"

// leavePrefix is the prefix of the kinds that begin with workers leaving.
const leavePrefix = "leave as readers"

// faultKinds returns the kinds from which a run draws. The run discards all kinds but the given one
// unless that is empty.
func faultKinds(only string) []fault {
	if only == poisonFault {
		return []fault{{name: poisonFault, inject: func(*boundsRun, []int, time.Duration) {}}}
	}
	if slices.ContainsFunc(faults, func(f fault) bool { return f.name == only }) {
		return faults
	}
	return slices.Concat(faults, laterFaults)
}

// isFaultKind reports whether a kind of fault exists. The empty kind stands for all.
func isFaultKind(only string) bool {
	return only == "" || slices.ContainsFunc(faultKinds(only), func(f fault) bool { return f.name == only })
}

// injectFaults injects faults for the given time, some of them overlapping, and waits until all
// have ended. It injects only one kind unless that is empty.
func (r *boundsRun) injectFaults(duration time.Duration, only string) {
	end := time.Now().Add(duration)
	list := faultKinds(only)
	var active sync.WaitGroup
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
		active.Go(func() { f.inject(r, nodes, length) })
		if strings.HasPrefix(f.name, leavePrefix) {
			time.Sleep(leaveDelay)
			r.replaceWorker()
			r.replaceWorker()
		}
		time.Sleep(time.Duration(500+r.rand.IntN(5000)) * time.Millisecond)
	}
	active.Wait()
}

// busiestNodes returns the nodes with the most calls to the store during one second.
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

// beginDisturbance records that a fault affects nodes, and returns a function that records its
// end.
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

// beginRestart records that nodes are being restarted or frozen, and returns a function that
// records the end.
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

// reserve reserves those of the nodes that no other fault has reserved, and returns them with a
// function that releases them.
func (r *boundsRun) reserve(nodes []int) (list []int, release func()) {
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
	nodes, release := r.reserve(nodes)
	defer release()
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
	nodes, release := r.reserve(nodes)
	defer release()
	defer r.beginRestart(nodes)()
	for _, n := range nodes {
		r.nodes[n].signal(syscall.SIGSTOP)
	}
	time.Sleep(length)
	for _, n := range nodes {
		r.nodes[n].signal(syscall.SIGCONT)
	}
}

// roll performs a planned rolling restart of nodes.
func (r *boundsRun) roll(nodes []int, _ time.Duration) {
	nodes, release := r.reserve(nodes)
	defer release()
	for _, n := range nodes {
		end := r.beginRestart([]int{n})
		r.nodes[n].terminate()
		r.nodes[n].start()
		end()
	}
}

func (r *boundsRun) hangup(nodes []int, _ time.Duration) {
	nodes, release := r.reserve(nodes)
	defer release()
	for _, n := range nodes {
		r.nodes[n].signal(syscall.SIGHUP)
	}
}

// disruptStore disrupts the store for some nodes. The other nodes still reach it.
func (r *boundsRun) disruptStore(nodes []int, length time.Duration) {
	disruption := []platformtest.Disruption{platformtest.Unavailable, platformtest.Hang, platformtest.CloseConnection}[len(nodes)%3]
	r.disruptCalls(nodes, platformtest.AllCalls, disruption, length)
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

func (r *boundsRun) disruptCalls(nodes []int, calls platformtest.Calls, disruption platformtest.Disruption, length time.Duration) {
	end := r.beginDisturbance(nodes)
	r.applyDisruption(nodes, calls, disruption, length)
	end()
}

func (r *boundsRun) applyDisruption(nodes []int, calls platformtest.Calls, disruption platformtest.Disruption, length time.Duration) {
	for _, n := range nodes {
		r.storeProxies[n].Disrupt(calls, disruption)
	}
	time.Sleep(length)
	for _, n := range nodes {
		r.storeProxies[n].Restore()
	}
}

const (
	// leaveDelay is the time after the readers were disrupted at which workers leave. It is
	// short enough that no other node has yet read the store in their place.
	leaveDelay = 50 * time.Millisecond
	// heartbeatInterval is the interval at which workers renew their entries, which expire
	// after heartbeatsPerTTL intervals.
	heartbeatInterval = 1200 * time.Millisecond
	heartbeatsPerTTL  = 3
	// relistTime is the time after an outage of the store for which countAfterExpiry counts
	// probes.
	relistTime = 2500 * time.Millisecond
)

// expireEntries makes the store unavailable to all nodes and workers for longer than the TTL of
// entries. All workers keep serving and publish their entries again afterwards. Outages don't
// overlap, because entries never expire while the store is available.
func (r *boundsRun) expireEntries(_ []int, length time.Duration) {
	r.expiring.Lock()
	defer r.expiring.Unlock()
	end := r.beginStoreOutage()
	r.site.Store.SetDown(true)
	time.Sleep(heartbeatInterval * heartbeatsPerTTL)
	republish := r.site.ExpireEntries()
	time.Sleep(length / 2)
	r.site.Store.SetDown(false)
	end()
	now := time.Now()
	r.mu.Lock()
	r.history.expired = append(r.history.expired, span{from: now, to: now.Add(relistTime)})
	r.mu.Unlock()
	republish(heartbeatInterval)
}

// takeStoreDown makes the store unavailable to all nodes.
func (r *boundsRun) takeStoreDown(nodes []int, length time.Duration) {
	defer r.beginStoreOutage()()
	r.applyDisruption(nodes, platformtest.AllCalls, platformtest.Unavailable, length)
}

// beginStoreOutage records that the store is unavailable to all, and returns a function that
// records the end.
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
