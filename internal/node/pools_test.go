package node

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gradetiller.example/internal/core/catalog"
	"gradetiller.example/internal/core/discovery"
	"gradetiller.example/internal/core/place"
)

// held returns the sorted names of the endpoints that a pool holds for a service.
func held(p *pools, service string) []string {
	var names []string
	pool := p.byService[service]
	for i := range pool.Len() {
		if name := pool.At(i).Spec().Name; pool.Find(name) == i {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// TestPoolsFollowChanges guards against pools that drift from the list while they are updated by what
// changed: after random changes they hold what pools hold that are built anew.
func TestPoolsFollowChanges(t *testing.T) {
	f := fleet{nodes: 20, endpoints: 300}
	n := newFleetNode(f)
	list := f.list()
	random := rand.New(rand.NewPCG(1, 1))
	for step := range 300 {
		revision := catalog.Revision(100001 + step)
		d := discovery.Delta{Revision: revision}
		for range 1 + random.IntN(4) {
			e := &list[random.IntN(len(list))]
			e.ModRevision = revision
			if random.IntN(3) == 0 {
				d.Removed = append(d.Removed, e.ID)
				continue
			}
			e.Draining = random.IntN(2) == 0
			d.Changed = append(d.Changed, *e)
		}
		n.applyDelta(time.Now(), d)
		fresh := newPools(1, modelPolicy, n.ownPace, n.disabled)
		fresh.update(n.view.Load(), false)
		for _, service := range []string{"model", "desk"} {
			if got, want := held(n.pools, service), held(fresh, service); !slices.Equal(got, want) || n.pools.counts[service] != fresh.counts[service] {
				t.Fatalf("step %d: the pool of %s holds %d endpoints and counts %d, want %d and %d", step, service, len(got), n.pools.counts[service], len(want), fresh.counts[service])
			}
		}
		if want := countStages(n.view.Load()); n.view.Load().stageCount != want {
			t.Fatalf("step %d: %d stage endpoints, want %d", step, n.view.Load().stageCount, want)
		}
	}
}

func countStages(v *view) int {
	count := 0
	for _, list := range v.stageEndpoints() {
		count += len(list)
	}
	return count
}

// TestNodeHoldsPartOfLargeService guards against state for each of thousands of endpoints on every
// node. A node holds some of a service that leaders place, mostly in its own failure domain, and all
// of one that nodes place themselves. An endpoint that a leader chose is used although it is not held,
// and those added for that are bounded.
func TestNodeHoldsPartOfLargeService(t *testing.T) {
	f := fleet{nodes: 20, endpoints: 10_000}
	n := newFleetNode(f)
	names := held(n.pools, "model")
	local := 0
	for _, name := range names {
		if e, _ := n.view.Load().endpoints.Get(name); e.Domain == n.settings.Domain {
			local++
		}
	}
	if len(names) < 100 || len(names) > 400 || local < len(names)/2 || local == len(names) {
		t.Errorf("the node holds %d engines, %d of its own failure domain", len(names), local)
	}
	if got, want := len(held(n.pools, "desk")), f.endpoints/50; got != want {
		t.Errorf("the node holds %d plain endpoints, want all %d", got, want)
	}
	chosen := 0
	for e := range n.view.Load().endpoints.All() {
		if e.Service != "model" || chosen == 2000 {
			continue
		}
		chosen++
		c, ok := n.pools.choose(time.Now(), need{service: "model", preferred: e.ID})
		if !ok || c.endpoint.ID != e.ID || c.endpoint.Address != e.Address {
			t.Fatalf("a call that a leader placed at %s went to %s", e.ID, c.endpoint.ID)
		}
		c.finish(time.Now(), place.Result{OK: true, Latency: time.Millisecond})
	}
	if got := len(held(n.pools, "model")); got > len(names)+maxExtras {
		t.Errorf("the node holds %d engines after calls to %d others, want at most %d", got, chosen, len(names)+maxExtras)
	}
}
