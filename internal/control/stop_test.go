package control

import (
	"context"
	"net"
	"testing"

	"gradetiller.example/internal/endpoints"
	"gradetiller.example/internal/peer"
	"gradetiller.example/internal/platform"
)

// TestStopAcquiresNoLease guards against a placement job that acquires or renews
// its lease while the process gossips that it leaves. Engines would then get no
// orders until that lease expires, one lease term longer than necessary. The
// process here stops while nobody holds the lease; afterwards the table must
// still have no holder.
func TestStopAcquiresNoLease(t *testing.T) {
	f := newTestFleet(t, 1)
	p, err := platform.NewHTTP(f.url)
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
		t.Fatalf("a stopping process acquired the lease: %s", rows[0].Value)
	}
}

// stoppingSender stops the process while an order is in flight.
type stoppingSender struct {
	stop     context.CancelFunc
	orders   int
	canceled bool
}

func (o *stoppingSender) SendOrder(ctx context.Context, _ string, _ endpoints.LoadOrder) error {
	o.orders++
	o.stop()
	o.canceled = ctx.Err() != nil
	return nil
}

// TestStopFinishesOrderInFlight guards against a stop that cancels the order in
// flight or lets the job send further ones. The holder stops during the first of
// two orders.
func TestStopFinishesOrderInFlight(t *testing.T) {
	f := newTestFleet(t, 2)
	p, err := platform.NewHTTP(f.url)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c := New(Identity{System: "test", Node: "a", Incarnation: 1}, WithPlatform(p, p, p))
	if _, _, err := c.Apply(ctx, 0, f.cfg.Data(), "test"); err != nil {
		t.Fatal(err)
	}
	sender := &stoppingSender{stop: cancel}
	c.placement.orders, c.placement.epochWait = sender, 0
	f.waitFor("the lease is held", func() bool {
		c.placement.stepLease(ctx)
		return c.placement.updateEpoch()
	})
	c.placement.reconcile(ctx)
	if sender.orders != 1 || sender.canceled {
		t.Fatalf("%d orders, the last one canceled: %v; want one order that is not canceled", sender.orders, sender.canceled)
	}
}
