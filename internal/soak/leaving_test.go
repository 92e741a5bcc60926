package soak

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"gradetiller.example/internal/core/discovery"
	"gradetiller.example/platform/platformtest"
)

const (
	// listingTime is how long nodes take to list a new worker.
	listingTime = 2 * time.Second
	// queryTime is how long the remaining nodes are queried, and queryInterval the interval.
	queryTime     = 6 * time.Second
	queryInterval = 40 * time.Millisecond
	// strictDrainTime is the time after a worker has left from which an undisturbed node must
	// not send it requests. It applies if several seeds are requested, as in manual runs. Other
	// runs use maxDrainTime, because their verdict must not depend on the speed of the machine.
	strictDrainTime = 3 * time.Second
	// leavingPrefix is the prefix of the IDs of requests that are sent to the undisturbed
	// nodes.
	leavingPrefix = probePrefix + "leaving-"
)

// splitReaders separates the nodes that read the store on behalf of the others from the rest.
// If all nodes read it, the last one counts as a non-reader.
func (r *run) splitReaders() (readers, others []*process) {
	var names []string
	for _, p := range r.nodes {
		names = append(names, p.Node)
	}
	primary := discovery.Rank(names, nil).Readers(0)
	if len(primary) == len(names) {
		primary = primary[:len(primary)-1]
	}
	for _, p := range r.nodes {
		if slices.Contains(primary, p.Node) {
			readers = append(readers, p)
			continue
		}
		others = append(others, p)
	}
	return readers, others
}

// runLeavePhase pauses the nodes that read the store on behalf of the others, and makes two
// workers leave at that moment: one announces it, the entry of the other is removed. Both keep
// serving. The remaining nodes are queried meanwhile. checkLeaving compares what reached the
// two workers with the bound.
func (r *run) runLeavePhase() {
	paused, remaining := r.splitReaders()
	// New workers, none of which has crashed or left before.
	fresh := r.site.AddWorkers("desk", 4)
	r.workers["desk"] = append(r.workers["desk"], fresh...)
	r.leaving = fresh[:2]
	time.Sleep(listingTime)
	r.beginUnplanned()
	for _, p := range paused {
		p.signal(syscall.SIGSTOP)
	}
	time.Sleep(leaveDelay)
	r.leaving[0].Drain()
	r.leaving[1].Unlist()
	r.queryAll(remaining)
	for _, p := range paused {
		p.signal(syscall.SIGCONT)
	}
	r.endUnplanned()
}

// queryAll sends requests to nodes for queryTime.
func (r *run) queryAll(nodes []*process) {
	ctx, cancel := context.WithTimeout(context.Background(), queryTime)
	defer cancel()
	var querying sync.WaitGroup
	for _, p := range nodes {
		querying.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				id := fmt.Sprintf("%s%s-%d", leavingPrefix, p.name, n)
				platformtest.Do(ctx, p.Front, platformtest.Request{ID: id, Path: "/read/x", Key: apiKey, Deadline: time.Second})
				sleep(ctx, queryInterval)
			}
		})
	}
	querying.Wait()
}

// checkLeaving verifies that undisturbed nodes sent nothing to a worker long after it had left,
// and that they sent requests to other workers meanwhile.
func (r *run) checkLeaving() {
	bound := maxDrainTime
	if *seeds > 1 {
		bound = strictDrainTime
	}
	last := time.Duration(0)
	for _, w := range r.leaving {
		for _, late := range w.LateRuns() {
			if !strings.HasPrefix(late.ID, leavingPrefix) {
				continue
			}
			last = max(last, late.After)
			if late.After > bound {
				r.fail("%s received %s from an undisturbed node %v after it had left", w.ID, late.ID, late.After.Round(time.Millisecond))
			}
		}
	}
	delivered := 0
	for _, w := range r.workers["desk"] {
		for id := range w.RunCounts() {
			if strings.HasPrefix(id, leavingPrefix) {
				delivered++
			}
		}
	}
	r.t.Logf("undisturbed nodes sent nothing to workers that had left after %v; %d requests to others", last.Round(time.Millisecond), delivered)
	if delivered == 0 {
		r.fail("no worker received a request while others left and the readers were paused")
	}
}
