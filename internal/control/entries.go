package control

import (
	"cmp"
	"context"
	"slices"
	"time"

	"gradetiller.example/internal/core/member"
	"gradetiller.example/internal/peer"
	"gradetiller.example/internal/platform"
	"gradetiller.example/internal/wire"
)

const (
	snapshotInterval = time.Second
	// settleTime is how long a new control process may need to meet its peers.
	// A fleet of 380 that starts at once takes 40 s (BenchmarkStorm).
	settleTime = 45 * time.Second
	// silentEntry is how long an entry may be silent before it no longer
	// counts as linked.
	silentEntry = 2 * time.Second
)

// entryLink is one linked entry process.
type entryLink struct {
	conn   *peer.Conn
	status wire.EntryStatus
	wake   chan struct{}
	// entries and endpoints are what the last snapshot held.
	entries   []wire.Entry
	endpoints []wire.Endpoint
}

// serveEntry follows one entry process until its connection ends.
func (c *Control) serveEntry(conn *peer.Conn) {
	link := &entryLink{conn: conn, wake: make(chan struct{}, 1)}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer c.unlink(link)
	go c.feedEntry(ctx, link)
	for {
		conn.SetReceiveTimeout(silentEntry)
		m, err := conn.Receive()
		if err != nil {
			return
		}
		switch m := m.(type) {
		case *wire.EntryStatus:
			c.tookStatus(link, *m)
		case *wire.ExplainResponse:
			c.stories.answered(*m)
		default:
			return
		}
	}
}

func (c *Control) tookStatus(link *entryLink, s wire.EntryStatus) {
	c.mu.Lock()
	defer c.mu.Unlock()
	link.status = s
	c.entries[s.Entry.Node] = link
	c.publishEntries()
}

// unlink forgets an entry unless it has linked anew meanwhile.
func (c *Control) unlink(link *entryLink) {
	c.mu.Lock()
	defer c.mu.Unlock()
	node := link.status.Entry.Node
	if c.entries[node] == link {
		delete(c.entries, node)
		c.publishEntries()
	}
}

func (c *Control) publishEntries() {
	list := make([]wire.Entry, 0, len(c.entries))
	for _, l := range c.entries {
		list = append(list, l.status.Entry)
	}
	slices.SortFunc(list, func(a, b wire.Entry) int { return cmp.Compare(a.Node, b.Node) })
	c.member.SetEntries(list)
}

// feedEntry sends snapshots: whole, at every change and each second, so that
// a lost one heals with the next.
func (c *Control) feedEntry(ctx context.Context, link *entryLink) {
	t := time.NewTicker(snapshotInterval)
	defer t.Stop()
	for {
		if link.conn.Send(c.snapshot(link)) != nil {
			_ = link.conn.Close()
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-link.wake:
		}
	}
}

// snapshot builds what an entry needs. The file goes along until the entry's
// status shows that the version is in force there.
func (c *Control) snapshot(link *entryLink) wire.Snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := wire.Snapshot{Entries: c.member.Entries(), Endpoints: c.member.Endpoints(), Settled: time.Since(c.started) > settleTime}
	if link.status.ConfigVersion < c.inForce.Version {
		s.Config = c.inForce
	}
	if slices.Equal(s.Entries, link.entries) && slices.Equal(s.Endpoints, link.endpoints) {
		s.Same, s.Entries, s.Endpoints = true, nil, nil
		return s
	}
	link.entries, link.endpoints = s.Entries, s.Endpoints
	return s
}

// snapshotLoop wakes the feeders of all entries after a change.
func (c *Control) snapshotLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
		}
		c.mu.Lock()
		for _, l := range c.entries {
			select {
			case l.wake <- struct{}{}:
			default:
			}
		}
		c.mu.Unlock()
	}
}

func seedsOf(list []platform.Instance) []member.Seed {
	seeds := make([]member.Seed, len(list))
	for i, in := range list {
		seeds[i] = member.Seed{Node: in.Node, Address: in.Address}
	}
	return seeds
}
