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
	name string
	do   func(r *boundsRun, nodes []int, length time.Duration)
	// share is how many of the nodes it strikes, 0 for one.
	share float64
	// readers tells that it strikes the nodes that call the store first.
	readers bool
}

var faults = []fault{
	{name: "nothing", do: func(*boundsRun, []int, time.Duration) {}},
	{name: "kill", do: (*boundsRun).kill},
	{name: "kill readers", do: (*boundsRun).kill, share: 0.1, readers: true},
	{name: "herd", do: (*boundsRun).kill, share: 0.55},
	{name: "freeze", do: (*boundsRun).freeze},
	{name: "freeze readers", do: (*boundsRun).freeze, share: 0.1, readers: true},
	{name: "roll", do: (*boundsRun).roll, share: 0.1, readers: true},
	{name: "hang up", do: (*boundsRun).hangUp, share: 0.6},
	{name: "cut reader", do: (*boundsRun).cut, readers: true},
	{name: "cut readers", do: (*boundsRun).cut, share: 0.17, readers: true},
	{name: "cut some", do: (*boundsRun).cut, share: 0.33},
	{name: "configurations refused", do: (*boundsRun).refuseConfigs, share: 0.17, readers: true},
	{name: "configurations hang", do: (*boundsRun).hangConfigs, share: 0.17, readers: true},
	{name: "lists refused", do: (*boundsRun).refuseLists, share: 0.17, readers: true},
	{name: "lists hang", do: (*boundsRun).hangLists, share: 0.17, readers: true},
	{name: "store away", do: (*boundsRun).storeAway, share: 1},
}

// laterFaults are kinds that came later. Runs of the kinds above draw as before.
var laterFaults = []fault{
	{name: "lapse", do: (*boundsRun).lapse, share: 1},
	{name: "leave as readers die", do: (*boundsRun).kill, share: 0.3, readers: true},
	{name: "leave as readers freeze", do: (*boundsRun).freeze, share: 0.3, readers: true},
	{name: "leave as readers are cut", do: (*boundsRun).cut, share: 0.3, readers: true},
}

// poisonFault is the kind of a run that brings requests which crash workers and nothing
// else. Runs of all kinds have such requests beside.
const poisonFault = "poison"

// leaves tells the kinds at whose beginning workers leave.
const leaves = "leave as readers"

// kinds are those among which a run draws when it brings one kind, or all.
func kinds(only string) []fault {
	if only == poisonFault {
		return []fault{{name: poisonFault, do: func(*boundsRun, []int, time.Duration) {}}}
	}
	if slices.ContainsFunc(faults, func(f fault) bool { return f.name == only }) {
		return faults
	}
	return slices.Concat(faults, laterFaults)
}

// known reports whether a kind of fault exists; the empty one stands for all.
func known(only string) bool {
	return only == "" || slices.ContainsFunc(kinds(only), func(f fault) bool { return f.name == only })
}

// trouble brings faults in series, overlapping, for a while: those of one kind, or of
// all if it is empty.
func (r *boundsRun) trouble(lasts time.Duration, only string) {
	end := time.Now().Add(lasts)
	list := kinds(only)
	var open sync.WaitGroup
	for time.Now().Before(end) {
		f := list[r.rand.IntN(len(list))]
		for only != "" && f.name != only {
			f = list[r.rand.IntN(len(list))]
		}
		count := max(1, int(f.share*float64(len(r.nodes))))
		nodes := r.rand.Perm(len(r.nodes))[:count]
		if f.readers {
			nodes = r.busiest(count)
		}
		length := time.Duration(1500+r.rand.IntN(5500)) * time.Millisecond
		r.t.Logf("%s %s: %d nodes, %v", time.Now().Format("05.000"), f.name, count, length)
		open.Go(func() { f.do(r, nodes, length) })
		if strings.HasPrefix(f.name, leaves) {
			time.Sleep(leaveAfter)
			r.replaceWorker()
			r.replaceWorker()
		}
		time.Sleep(time.Duration(500+r.rand.IntN(5000)) * time.Millisecond)
	}
	open.Wait()
}

// busiest are the nodes that called the store most since the last question.
func (r *boundsRun) busiest(count int) []int {
	before := make([]int64, len(r.doors))
	for i, d := range r.doors {
		before[i] = d.Calls()
	}
	time.Sleep(time.Second)
	list := r.rand.Perm(len(r.doors))
	calls := func(i int) int64 { return r.doors[i].Calls() - before[i] }
	for i := range list {
		for j := i; j > 0 && calls(list[j]) > calls(list[j-1]); j-- {
			list[j], list[j-1] = list[j-1], list[j]
		}
	}
	return list[:count]
}

// disturb notes that something is wrong with nodes, and returns what ends it.
func (r *boundsRun) disturb(nodes []int) func() {
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

// restart notes that nodes are restarted or frozen, and returns what ends it.
func (r *boundsRun) restart(nodes []int) func() {
	end := r.disturb(nodes)
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

// free are those of the nodes that no other fault has.
func (r *boundsRun) free(nodes []int) (list []int, give func()) {
	for _, n := range nodes {
		if r.nodes[n].take() {
			list = append(list, n)
		}
	}
	return list, func() {
		for _, n := range list {
			r.nodes[n].give()
		}
	}
}

func (r *boundsRun) kill(nodes []int, length time.Duration) {
	nodes, give := r.free(nodes)
	defer give()
	defer r.restart(nodes)()
	for _, n := range nodes {
		r.nodes[n].end(syscall.SIGKILL)
	}
	time.Sleep(length / 2)
	for _, n := range nodes {
		r.nodes[n].start()
	}
}

func (r *boundsRun) freeze(nodes []int, length time.Duration) {
	nodes, give := r.free(nodes)
	defer give()
	defer r.restart(nodes)()
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
	nodes, give := r.free(nodes)
	defer give()
	for _, n := range nodes {
		end := r.restart([]int{n})
		r.nodes[n].terminate()
		r.nodes[n].start()
		end()
	}
}

func (r *boundsRun) hangUp(nodes []int, _ time.Duration) {
	nodes, give := r.free(nodes)
	defer give()
	for _, n := range nodes {
		r.nodes[n].signal(syscall.SIGHUP)
	}
}

// cut takes the store away from some nodes; the others reach it.
func (r *boundsRun) cut(nodes []int, length time.Duration) {
	how := []platformtest.Disruption{platformtest.Unavailable, platformtest.Hang, platformtest.CloseConnection}[len(nodes)%3]
	r.away(nodes, platformtest.AllCalls, how, length)
}

func (r *boundsRun) refuseConfigs(nodes []int, length time.Duration) {
	r.away(nodes, platformtest.ConfigCalls, platformtest.Unavailable, length)
}

func (r *boundsRun) hangConfigs(nodes []int, length time.Duration) {
	r.away(nodes, platformtest.ConfigCalls, platformtest.Hang, length)
}

func (r *boundsRun) refuseLists(nodes []int, length time.Duration) {
	r.away(nodes, platformtest.ListCalls, platformtest.Unavailable, length)
}

func (r *boundsRun) hangLists(nodes []int, length time.Duration) {
	r.away(nodes, platformtest.ListCalls, platformtest.Hang, length)
}

func (r *boundsRun) away(nodes []int, which platformtest.Calls, how platformtest.Disruption, length time.Duration) {
	end := r.disturb(nodes)
	r.close(nodes, which, how, length)
	end()
}

func (r *boundsRun) close(nodes []int, which platformtest.Calls, how platformtest.Disruption, length time.Duration) {
	for _, n := range nodes {
		r.doors[n].Disrupt(which, how)
	}
	time.Sleep(length)
	for _, n := range nodes {
		r.doors[n].Restore()
	}
}

const (
	// leaveAfter is how long after the readers were lost workers leave: before any
	// other node has read the store in their place.
	leaveAfter = 50 * time.Millisecond
	// workerBeat is how often workers confirm their entries, which live for entryBeats
	// of these.
	workerBeat = 1200 * time.Millisecond
	entryBeats = 3
	// relistTime is how long after the store's return lapsed entries count.
	relistTime = 2500 * time.Millisecond
)

// lapse takes the store away from all nodes and workers, for longer than entries live.
// All workers serve on, and list themselves again after its return. One absence ends
// before the next one begins: in a store that is there, no entry lapses.
func (r *boundsRun) lapse(_ []int, length time.Duration) {
	r.lapsing.Lock()
	defer r.lapsing.Unlock()
	end := r.unsteady()
	r.site.Store.SetDown(true)
	time.Sleep(workerBeat * entryBeats)
	back := r.site.ExpireEntries()
	time.Sleep(length / 2)
	r.site.Store.SetDown(false)
	end()
	now := time.Now()
	r.mu.Lock()
	r.history.lapsed = append(r.history.lapsed, span{from: now, to: now.Add(relistTime)})
	r.mu.Unlock()
	back(workerBeat)
}

// storeAway takes the store away from all nodes.
func (r *boundsRun) storeAway(nodes []int, length time.Duration) {
	defer r.unsteady()()
	r.close(nodes, platformtest.AllCalls, platformtest.Unavailable, length)
}

// unsteady notes that the store is away from all, and returns what ends it.
func (r *boundsRun) unsteady() func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.store = append(r.history.store, span{from: time.Now()})
	at := len(r.history.store) - 1
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.history.store[at].to = time.Now()
	}
}
