package control

import (
	"context"
	"net"
	"testing"

	"gradetiller.example/internal/endpoints"
	"gradetiller.example/internal/peer"
	"gradetiller.example/internal/platform"
)

// TestStopTakesNoLease has a control process stop while nobody holds the lease
// of the placement job.
//
// What an operator sees: engines that need an order get none for a term longer
// than it takes to find a holder that is alive.
// How it comes about: the process spreads for a moment that it leaves, and its
// job goes on meanwhile: it takes the lease, or renews the one that it holds.
// The cause: the job does not ask whether the process will be there to do it.
// What proves it: when the process has ended, the table has no holder.
func TestStopTakesNoLease(t *testing.T) {
	w := newFleetWorld(t, 1)
	p, err := platform.NewHTTP(w.url)
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := New(Identity{System: "test", Node: "a", Incarnation: 1, PeerAddress: l.Addr().String(), Domain: "d"},
		WithPlatform(p, p, p), WithSecurity(&peer.Security{}), WithLeaseTerm(testTerm))
	stopped, cancel := context.WithCancel(context.Background())
	cancel()
	if err := c.Run(stopped, l); err != nil {
		t.Fatal(err)
	}
	rows, err := p.Read(context.Background(), placementKey)
	if err != nil {
		t.Fatal(err)
	}
	if rows[0].Version != 0 {
		t.Fatalf("a process that had been told to stop took the lease: %s", rows[0].Value)
	}
}

// stopOrderer has the process stop while an order is under way.
type stopOrderer struct {
	stop   context.CancelFunc
	orders int
	cut    bool
}

func (o *stopOrderer) Order(ctx context.Context, _ string, _ endpoints.LoadOrder) error {
	o.orders++
	o.stop()
	o.cut = ctx.Err() != nil
	return nil
}

// TestStopEndsOneOrder has a holder stop during the first of two orders: that
// one is not cut, and the other is not begun.
func TestStopEndsOneOrder(t *testing.T) {
	w := newFleetWorld(t, 2)
	p, err := platform.NewHTTP(w.url)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c := New(Identity{System: "test", Node: "a", Incarnation: 1}, WithPlatform(p, p, p))
	if _, _, err := c.Apply(ctx, 0, w.cfg.Data(), "test"); err != nil {
		t.Fatal(err)
	}
	orderer := &stopOrderer{stop: cancel}
	c.placement.orders, c.placement.wait = orderer, 0
	w.until("the lease is held", func() bool {
		c.placement.stepLease(ctx)
		return c.placement.holds()
	})
	c.placement.round(ctx)
	if orderer.orders != 1 || orderer.cut {
		t.Fatalf("%d orders, the last one cut: %v; want one that is not cut", orderer.orders, orderer.cut)
	}
}
