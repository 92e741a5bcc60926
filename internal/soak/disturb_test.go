package soak

import (
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

// trouble brings faults in series, overlapping, for a while: those of one kind, or of
// all if it is empty.
func (r *boundsRun) trouble(lasts time.Duration, only string) {
	end := time.Now().Add(lasts)
	var open sync.WaitGroup
	for time.Now().Before(end) {
		f := faults[r.rand.IntN(len(faults))]
		for only != "" && f.name != only {
			f = faults[r.rand.IntN(len(faults))]
		}
		count := max(1, int(f.share*float64(len(r.nodes))))
		nodes := r.rand.Perm(len(r.nodes))[:count]
		if f.readers {
			nodes = r.busiest(count)
		}
		length := time.Duration(1500+r.rand.IntN(5500)) * time.Millisecond
		r.t.Logf("%s %s: %d nodes, %v", time.Now().Format("05.000"), f.name, count, length)
		open.Go(func() { f.do(r, nodes, length) })
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
	defer r.disturb(nodes)()
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
	defer r.disturb(nodes)()
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
		end := r.disturb([]int{n})
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
	how := []platformtest.Away{platformtest.Refuses, platformtest.Hangs, platformtest.Cuts}[len(nodes)%3]
	r.away(nodes, platformtest.AllCalls, how, length)
}

func (r *boundsRun) refuseConfigs(nodes []int, length time.Duration) {
	r.away(nodes, platformtest.ConfigCalls, platformtest.Refuses, length)
}

func (r *boundsRun) hangConfigs(nodes []int, length time.Duration) {
	r.away(nodes, platformtest.ConfigCalls, platformtest.Hangs, length)
}

func (r *boundsRun) refuseLists(nodes []int, length time.Duration) {
	r.away(nodes, platformtest.ListCalls, platformtest.Refuses, length)
}

func (r *boundsRun) hangLists(nodes []int, length time.Duration) {
	r.away(nodes, platformtest.ListCalls, platformtest.Hangs, length)
}

func (r *boundsRun) away(nodes []int, which platformtest.Calls, how platformtest.Away, length time.Duration) {
	end := r.disturb(nodes)
	r.close(nodes, which, how, length)
	end()
}

func (r *boundsRun) close(nodes []int, which platformtest.Calls, how platformtest.Away, length time.Duration) {
	for _, n := range nodes {
		r.doors[n].Close(which, how)
	}
	time.Sleep(length)
	for _, n := range nodes {
		r.doors[n].Open()
	}
}

// storeAway takes the store away from all nodes.
func (r *boundsRun) storeAway(nodes []int, length time.Duration) {
	r.mu.Lock()
	r.history.store = append(r.history.store, span{from: time.Now()})
	at := len(r.history.store) - 1
	r.mu.Unlock()
	r.close(nodes, platformtest.AllCalls, platformtest.Refuses, length)
	r.mu.Lock()
	r.history.store[at].to = time.Now()
	r.mu.Unlock()
}
