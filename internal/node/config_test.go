package node

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"time"

	"gradetiller.example/internal/wire"
	"gradetiller.example/platform"
	"gradetiller.example/platform/platformtest"
)

// newNode returns a node that is not running.
func newNode(t *testing.T, site *platformtest.Site, seeds ...string) *Node {
	t.Helper()
	text, _ := site.Settings(seeds...)
	s, err := platform.ParseSettings(text)
	if err != nil {
		t.Fatal(err)
	}
	n := New(s)
	t.Cleanup(n.links.Close)
	return n
}

// TestConfigCompressedForPeer guards against configurations that are sent uncompressed to a peer
// that accepts compression, or compressed to one that does not. A configuration of 1,400 routes
// arrives unchanged both ways, and an unreadable archive is not applied.
func TestConfigCompressedForPeer(t *testing.T) {
	site, c := newSite(t)
	for i := range 1400 {
		c.Routes = append(c.Routes, platformtest.Route{Prefix: fmt.Sprintf("/more-%x/", i*2654435761), Kind: "safe", Service: "desk"})
	}
	c.Version = 7
	site.Publish(c)
	source := newNode(t, site)
	r, err := source.store.ReadConfig(context.Background(), time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	source.applyConfig(r.Data, "store")
	for _, packed := range []bool{false, true} {
		requester := newNode(t, site)
		var got *wire.View
		source.handleViewRequest(&wire.ViewRequest{AcceptsPacked: packed}, func(m wire.Message) error {
			v := m.(wire.View)
			got = &v
			return nil
		})
		if got.Packed != packed {
			t.Fatalf("requester accepts compressed configurations: %v; response is compressed: %v", packed, got.Packed)
		}
		t.Logf("compressed %v: %d bytes", packed, len(got.Config))
		if packed && 5*len(got.Config) > len(r.Data) {
			t.Errorf("compressed to %d of %d bytes, want at most a fifth", len(got.Config), len(r.Data))
		}
		requester.applyView(got)
		if v := requester.view.Load(); v.version() != 7 || !bytes.Equal(v.file.data, r.Data) {
			t.Errorf("compressed %v: version %d is in force, or its data differs", packed, v.version())
		}
	}
	requester := newNode(t, site)
	requester.applyView(&wire.View{ConfigVersion: 8, Config: []byte("no archive"), Packed: true})
	if v := requester.view.Load().version(); v != 0 {
		t.Errorf("version %d is in force after an unreadable archive, want 0", v)
	}
}

// startServingNode starts a node and one worker, and waits until the node is ready.
func startServingNode(t *testing.T) (*platformtest.Site, platformtest.Config, *testNode) {
	t.Helper()
	site, c := newSite(t)
	site.AddWorkers("desk", 1)
	r := startNode(t, site)
	r.awaitReady(t)
	return site, c, r
}

// TestWatchAfterDroppedHistory guards against a watch that stalls when the store drops its change
// history: the node reads the full state and then sees later changes.
func TestWatchAfterDroppedHistory(t *testing.T) {
	site, c, r := startServingNode(t)
	for range 3 {
		site.Store.DropHistory()
		c.Version++
		site.Publish(c)
		eventually(t, "the new version is in force", func() bool { return r.node.view.Load().version() == c.Version })
	}
}

// TestInvalidConfigKeepsPrevious guards against an invalid configuration that is applied in part,
// or that blocks later ones: the previous version stays in force, the refusal is counted, and the
// next valid version is applied.
func TestInvalidConfigKeepsPrevious(t *testing.T) {
	site, c, r := startServingNode(t)
	for range 3 {
		before := c.Version
		refusedBefore := r.node.configsRefused.Load()
		c.Version++
		site.PublishInvalid(c)
		eventually(t, "the invalid version is refused", func() bool { return r.node.configsRefused.Load() > refusedBefore })
		if got := r.node.view.Load().version(); got != before {
			t.Errorf("version %d is in force after %d was refused, want %d", got, c.Version, before)
		}
		c.Version++
		site.Publish(c)
		eventually(t, "the next valid version is in force", func() bool { return r.node.view.Load().version() == c.Version })
	}
}

// TestStagesNumberedInAnyOrder guards against a configuration that is refused whole because a stage needs one of a higher number, so
// that a dropped key still runs and an added route is unknown, and against such stages that run out of order or without inputs.
func TestStagesNumberedInAnyOrder(t *testing.T) {
	site, c := newSite(t)
	c.Keys["key-2"] = "barbers"
	c.Version++
	site.Publish(c)
	site.AddWorkers("desk", 1)
	models := site.AddWorkers("model", 1)
	site.AddWorkers("encode", 2)
	site.AddWorkers("rank", 2)
	r := startNode(t, site)
	r.awaitReady(t)
	delete(c.Keys, "key-2")
	c.Version++
	c.Routes = append(c.Routes, platformtest.Route{Prefix: "/turned/", Kind: "streaming", Service: "model", Resumable: true, MaxAttempts: 2, Stages: []platformtest.RouteStage{
		{Service: "rank", After: []int{2}, ResultBytes: 100}, {Service: "rank", After: []int{0}, ResultBytes: 100}, {Service: "encode", ResultBytes: 1000},
	}})
	site.Publish(c)
	eventually(t, "the version is in force", func() bool { return r.node.view.Load().version() == c.Version })
	if a := do(r.Front, platformtest.Request{ID: "dropped", Path: "/book/x", Key: "key-2"}); a.Status != 401 {
		t.Errorf("a request with a dropped key is answered %d, want 401", a.Status)
	}
	for k, pieces := range [][]int{{2, 3, 1}, {1, 1, 4}, {2, 0, 1}, {0, 0, 2}} {
		id := fmt.Sprint("turned-", k)
		a := do(r.Front, platformtest.Request{ID: id, Path: "/turned/x", Streaming: true, Pieces: pieces})
		if a.Status != 200 || a.Body != events(id, 4) {
			t.Errorf("%v pieces: %+v", pieces, a)
		}
		want := pieces[1]
		if pieces[1] == 0 {
			want = pieces[0]
		}
		if pieces[0] == 0 {
			want = pieces[2]
		}
		if got := models[0].Inputs(id); len(got) != want {
			t.Errorf("%v pieces: the request has %d inputs, want the %d results of the last stage", pieces, len(got), want)
		}
	}
}

// TestConfigOverSlowStoreLink guards against a timeout on the whole response of the store. Over a
// link that is slow but never pauses, a large configuration takes longer than such a timeout on
// every attempt, so the node never gets it: with 61 processes on separate links, a node never
// received 1,400 routes.
func TestConfigOverSlowStoreLink(t *testing.T) {
	site, c := newSite(t)
	site.AddWorkers("desk", 1)
	c.Version = 2
	for i := range 20 {
		c.Routes = append(c.Routes, platformtest.Route{Prefix: fmt.Sprintf("/more-%d/", i), Kind: "safe", Service: "desk"})
	}
	site.Publish(c)
	proxy := site.AddStoreProxy()
	proxy.Disrupt(platformtest.ConfigCalls, platformtest.Throttle)
	r := startNodeOnInstance(t, site, platformtest.Instance{Zone: "zone-a", MemoryMB: 284, Store: proxy.Address})
	r.awaitReady(t)
}
