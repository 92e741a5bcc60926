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

// newNode returns a node that does not run.
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

// TestConfigurationsGoCompressed passes a configuration of 1,400 routes from one node
// to another: compressed if the one that asks can read that, whole otherwise, and the
// same at the end.
func TestConfigurationsGoCompressed(t *testing.T) {
	site, c := desk(t)
	for i := range 1400 {
		c.Routes = append(c.Routes, platformtest.Route{Prefix: fmt.Sprintf("/more-%x/", i*2654435761), Kind: "safe", Service: "desk"})
	}
	c.Version = 7
	site.Publish(c)
	knows := newNode(t, site)
	r, err := knows.store.ReadConfig(context.Background(), time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	knows.applyConfig(r.Data, "store")
	for _, packed := range []bool{false, true} {
		asks := newNode(t, site)
		var got *wire.View
		knows.handleViewRequest(&wire.ViewRequest{TakesPacked: packed}, func(m wire.Message) error {
			v := m.(wire.View)
			got = &v
			return nil
		})
		if got.Packed != packed {
			t.Fatalf("the one that asks takes packed ones: %v, and gets a packed one: %v", packed, got.Packed)
		}
		t.Logf("packed %v: %d bytes", packed, len(got.Config))
		if packed && 5*len(got.Config) > len(r.Data) {
			t.Errorf("%d of %d bytes are left", len(got.Config), len(r.Data))
		}
		asks.applyView(got)
		if v := asks.view.Load(); v.version() != 7 || !bytes.Equal(v.file.data, r.Data) {
			t.Errorf("packed %v: version %d is in force", packed, v.version())
		}
	}
	asks := newNode(t, site)
	asks.applyView(&wire.View{ConfigVersion: 8, Config: []byte("no archive"), Packed: true})
	if v := asks.view.Load().version(); v != 0 {
		t.Errorf("version %d is in force after a file that can't be read", v)
	}
}

// startDesk starts a node that serves.
func startDesk(t *testing.T) (*platformtest.Site, platformtest.Config, *running) {
	t.Helper()
	site, c := desk(t)
	site.AddWorkers("desk", 1)
	r := startNode(t, site)
	r.awaitReady(t)
	return site, c, r
}

// TestForgottenHistory has the store forget its history while a node waits for changes:
// the node reads the whole, and hears of the changes after that.
func TestForgottenHistory(t *testing.T) {
	site, c, r := startDesk(t)
	for range 3 {
		site.Store.DropHistory()
		c.Version++
		site.Publish(c)
		eventually(t, "the new version is in force", func() bool { return r.node.view.Load().version() == c.Version })
	}
}

// TestRefusedConfiguration has the store hold a version that can't be read: the one
// before stays in force as a whole, the refusal is counted, and the next version that
// can be read is taken.
func TestRefusedConfiguration(t *testing.T) {
	site, c, r := startDesk(t)
	for range 3 {
		before := c.Version
		refused := r.node.configsRefused.Load()
		c.Version++
		site.PublishInvalid(c)
		eventually(t, "a version is refused", func() bool { return r.node.configsRefused.Load() > refused })
		if got := r.node.view.Load().version(); got != before {
			t.Errorf("version %d is in force after %d was refused, want %d", got, c.Version, before)
		}
		c.Version++
		site.Publish(c)
		eventually(t, "the next version is in force", func() bool { return r.node.view.Load().version() == c.Version })
	}
}

// TestSlowLinkToTheStore has the store's answers come slowly all the time, but without
// a pause: a node that has to read a whole configuration over such a link gets it. A
// limit on the whole answer let none through that takes longer, at whatever try; on 61
// processes with links of their own a node never got 1,400 routes that way.
func TestSlowLinkToTheStore(t *testing.T) {
	site, c := desk(t)
	site.AddWorkers("desk", 1)
	c.Version = 2
	for i := range 20 {
		c.Routes = append(c.Routes, platformtest.Route{Prefix: fmt.Sprintf("/more-%d/", i), Kind: "safe", Service: "desk"})
	}
	site.Publish(c)
	door := site.AddStoreProxy()
	door.Disrupt(platformtest.ConfigCalls, platformtest.Throttle)
	r := startNodeOn(t, site, platformtest.Instance{Zone: "zone-a", MemoryMB: 284, Store: door.Address})
	r.awaitReady(t)
}
