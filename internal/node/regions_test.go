package node

import (
	"fmt"
	"slices"
	"testing"

	"gradetiller.example/internal/core/catalog"
	"gradetiller.example/internal/wire"
	"gradetiller.example/platform"
	"gradetiller.example/platform/platformtest"
)

// startNodeIn starts a node in a zone.
func startNodeIn(t *testing.T, site *platformtest.Site, zone string, seeds ...string) *testNode {
	t.Helper()
	return startNodeOnInstance(t, site, platformtest.Instance{Zone: zone, MemoryMB: 284, Store: site.StoreAddress()}, seeds...)
}

// newRegionalSite returns a site with endpoints of all services in two regions, where routes and
// the client account "clinics" are restricted to the remote one.
func newRegionalSite(t *testing.T) (site *platformtest.Site, local, remote []*platformtest.Worker) {
	site = platformtest.NewSite(t)
	routes := platformtest.SampleRoutes()
	for _, r := range platformtest.SampleRoutes() {
		r.Prefix = "/home" + r.Prefix
		r.HomeRegions = []string{platformtest.RemoteRegion}
		routes = append(routes, r)
	}
	site.Publish(platformtest.Config{
		Version: 1, Keys: map[string]string{key: "barbers", "key-clinics": "clinics"},
		HomeRegions: map[string][]string{"clinics": {platformtest.RemoteRegion}},
		Models:      []string{"model"}, Stages: []string{"encode", "rank"}, Routes: routes,
	})
	for _, service := range []string{"desk", "model", "encode", "rank"} {
		local = append(local, site.AddWorkers(service, 3)...)
		remote = append(remote, site.AddWorkersIn(platformtest.RemoteZone, service, 2)...)
	}
	return site, local, remote
}

// TestHomeRegions guards against requests that are served, staged or cached outside their home
// regions: by the region of the node that gets them, by the endpoints of all kinds that run them,
// and by those that their prompts are copied from.
func TestHomeRegions(t *testing.T) {
	site, local, remote := newRegionalSite(t)
	for _, w := range local {
		w.CachePromptPart("aa", 5000)
		w.CachePromptPart("bb", 5000)
	}
	here := startNode(t, site)
	there := startNodeIn(t, site, platformtest.RemoteZone, here.Peer)
	here.awaitReady(t)
	there.awaitReady(t)
	requests := []platformtest.Request{
		{Path: "/home/read/x"},
		{Path: "/home/book/x", Body: "b"},
		{Path: "/home/plain/x", Streaming: true, Prefix: "aa:5000,bb:5000,cc:5"},
		{Path: "/home/once/x", Streaming: true},
		{Path: "/home/staged/x", Streaming: true, Pieces: []int{2, 3}, Prefix: "aa:5000,bb:5000,cc:5"},
		{Path: "/read/x", Key: "key-clinics"},
		{Path: "/staged/x", Key: "key-clinics", Streaming: true, Pieces: []int{2, 3}},
	}
	for round := range 6 {
		for i, q := range requests {
			q.ID = string(rune('a'+round)) + string(rune('a'+i))
			if a := do(here.Front, q); a.Status != 421 {
				t.Errorf("%s with key %q at a node outside the home region: %d, want 421", q.Path, q.Key, a.Status)
			}
			q.ID += "r"
			if a := do(there.Front, q); a.Status != 200 {
				t.Errorf("%s with key %q at a node in the home region: %d, want 200", q.Path, q.Key, a.Status)
			}
		}
	}
	// Each node that leads lists the prompt caches once. Requests do not arrive.
	for _, w := range local {
		for _, a := range w.Arrivals() {
			if a.ID != "" {
				t.Errorf("request %s reached %s %s outside the home region", a.ID, w.Service, w.ID)
			}
		}
		if w.Service == "encode" && len(w.BatchSizes()) > 0 || w.Service == "rank" && len(w.BatchSizes()) > 0 {
			t.Errorf("pieces reached %s %s outside the home region", w.Service, w.ID)
		}
	}
	for _, w := range remote {
		for _, source := range w.CacheSources() {
			if slices.ContainsFunc(local, func(l *platformtest.Worker) bool { return l.Address() == source }) {
				t.Errorf("%s copied a prompt from %s, outside the home region", w.ID, source)
			}
		}
	}
}

// TestUnservableHomeRegion guards against requests that wait although no region may serve them, or
// none of its endpoints can: they are refused at once.
func TestUnservableHomeRegion(t *testing.T) {
	site := platformtest.NewSite(t)
	routes := []platformtest.Route{
		{Prefix: "/read/", Kind: "safe", Service: "desk", HomeRegions: []string{platformtest.DefaultRegion}},
		{Prefix: "/far/", Kind: "safe", Service: "desk", HomeRegions: []string{platformtest.RemoteRegion}},
		{Prefix: "/staged/", Kind: "streaming", Service: "model", HomeRegions: []string{platformtest.DefaultRegion}, Stages: []platformtest.RouteStage{{Service: "encode", ResultBytes: 8000}}},
	}
	site.Publish(platformtest.Config{
		Version: 1, Keys: map[string]string{key: "clinics"}, HomeRegions: map[string][]string{"clinics": {platformtest.DefaultRegion}},
		Models: []string{"model"}, Stages: []string{"encode"}, Routes: routes,
	})
	site.AddWorkersIn(platformtest.RemoteZone, "desk", 1)
	site.AddWorkersIn(platformtest.RemoteZone, "encode", 1)
	site.AddWorkers("model", 1)
	n := startNode(t, site)
	n.awaitReady(t)
	for _, q := range []platformtest.Request{
		{ID: "a", Path: "/read/x"}, {ID: "b", Path: "/far/x"}, {ID: "c", Path: "/staged/x", Streaming: true, Pieces: []int{2}},
	} {
		if a := do(n.Front, q); a.Status != 503 {
			t.Errorf("%s: %d, want 503", q.Path, a.Status)
		}
	}
}

// TestLookupLeadsToHomeRegion guards against callers that are sent to nodes which may not serve
// them: a look-up of a host whose routes have home regions names nodes there only, and any other one
// names a node of each region that a client account is restricted to.
func TestLookupLeadsToHomeRegion(t *testing.T) {
	n := newNode(t, platformtest.NewSite(t))
	entries := []wire.Entry{
		{Node: "a", Address: "a:1", Domain: "x", Region: "r1"},
		{Node: "b", Address: "b:1", Domain: "x", Region: "r1"},
		{Node: "c", Address: "c:1", Domain: "y", Region: "r2", Leaving: true},
		{Node: "d", Address: "d:1", Domain: "y", Region: "r2"},
	}
	for k := range 40 {
		name := fmt.Sprint("e", k)
		entries = append(entries, wire.Entry{Node: name, Address: name + ":1", Domain: "z", Region: "r3"})
	}
	n.entries.Store(&entries)
	home := catalog.Route{Host: "home"}.WithHomeRegions(catalog.Regions{"r1"})
	cfg := &catalog.Config{
		Version: 1, Routes: []catalog.Route{home, {Host: "any"}, {Host: "mixed"}, func() catalog.Route { r := home; r.Host = "mixed"; return r }()},
		Accounts: []catalog.Account{{Name: "t", HomeRegions: catalog.Regions{"r2"}}},
	}
	cfg.BuildIndex()
	n.view.Store(&view{config: cfg})
	if got := n.lookupAddresses(platform.LookupQuery{Name: "home", Domain: "z"}); !slices.Equal(got, []string{"a:1", "b:1"}) {
		t.Errorf("look-up of a host with home regions gave %v, want those in r1", got)
	}
	for _, host := range []string{"any", "mixed"} {
		if got := n.lookupAddresses(platform.LookupQuery{Name: host, Domain: "z"}); !slices.Contains(got, "d:1") || len(got) < 40 {
			t.Errorf("look-up of %s gave %v, want the nodes of z and d:1", host, got)
		}
	}
}
