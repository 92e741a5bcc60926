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
	// queryTime is how long the nodes that stay are asked, and askEvery how often.
	queryTime     = 6 * time.Second
	queryInterval = 40 * time.Millisecond
	// strictDrainTime is how long after a worker has left a node to which nothing was done
	// may send it requests. It holds in runs by hand; one whose verdict must not hang on
	// the machine's speed allows drained.
	strictDrainTime = 3 * time.Second
	// leavingPrefix begins the ids of the questions that are sent to such nodes.
	leavingPrefix = probePrefix + "leaving-"
)

// splitReaders splits the nodes into those that read the store for the others and the
// others. Where all read it, the last one stays.
func (r *run) splitReaders() (readers, others []*process) {
	var names []string
	for _, p := range r.nodes {
		names = append(names, p.Node)
	}
	usual := discovery.Rank(names, nil).Readers(0)
	if len(usual) == len(names) {
		usual = usual[:len(usual)-1]
	}
	for _, p := range r.nodes {
		if slices.Contains(usual, p.Node) {
			readers = append(readers, p)
			continue
		}
		others = append(others, p)
	}
	return readers, others
}

// runLeavePhase freezes the nodes that read the store for the others, and has two
// workers leave at that moment: one says so, the entry of the other one goes. Both serve
// on. The nodes that stay are asked all the while; check holds what reached the workers
// against the bound.
func (r *run) runLeavePhase() {
	lost, stay := r.splitReaders()
	// None of these has crashed or left before.
	fresh := r.site.AddWorkers("desk", 4)
	r.workers["desk"] = append(r.workers["desk"], fresh...)
	r.leaving = fresh[:2]
	time.Sleep(listingTime)
	r.beginUnplanned()
	for _, p := range lost {
		p.signal(syscall.SIGSTOP)
	}
	time.Sleep(leaveDelay)
	r.leaving[0].Drain()
	r.leaving[1].Unlist()
	r.queryAll(stay)
	for _, p := range lost {
		p.signal(syscall.SIGCONT)
	}
	r.endUnplanned()
}

// queryAll asks nodes for a while.
func (r *run) queryAll(nodes []*process) {
	ctx, cancel := context.WithTimeout(context.Background(), queryTime)
	defer cancel()
	var asking sync.WaitGroup
	for _, p := range nodes {
		asking.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				id := fmt.Sprintf("%s%s-%d", leavingPrefix, p.name, n)
				platformtest.Do(ctx, p.Front, platformtest.Request{ID: id, Path: "/read/x", Key: apiKey, Deadline: time.Second})
				sleep(ctx, queryInterval)
			}
		})
	}
	asking.Wait()
}

// checkLeaving holds that the nodes to which nothing was done sent nothing to a worker
// long after it had left, and that they sent anything to the others meanwhile.
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
				r.fail("%s got %s from a node to which nothing was done %v after it had left", w.ID, late.ID, late.After.Round(time.Millisecond))
			}
		}
	}
	asked := 0
	for _, w := range r.workers["desk"] {
		for id := range w.RunCounts() {
			if strings.HasPrefix(id, leavingPrefix) {
				asked++
			}
		}
	}
	r.t.Logf("nodes to which nothing was done sent workers that had left nothing after %v; %d questions to others", last.Round(time.Millisecond), asked)
	if asked == 0 {
		r.fail("no worker was sent anything while others left and the readers were lost")
	}
}
