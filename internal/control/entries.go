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
	// convergenceTime is how long a new control process may need to learn of all its
	// peers. A fleet of 380 nodes that start together takes 40 s.
	convergenceTime = 45 * time.Second
	// entryReceiveTimeout is how long an entry may send nothing before its
	// connection is closed.
	entryReceiveTimeout = 2 * time.Second
)

// entryLink is the connection to one entry process.
type entryLink struct {
	conn   *peer.Conn
	status wire.EntryStatus
	wake   chan struct{}
	// sentEntries and sentEndpoints are the content of the last snapshot sent.
	sentEntries   []wire.Entry
	sentEndpoints []wire.Endpoint
}

// serveEntry serves one entry process until its connection ends.
func (c *Control) serveEntry(conn *peer.Conn) {
	link := &entryLink{conn: conn, wake: make(chan struct{}, 1)}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer c.unlink(link)
	go c.sendSnapshots(ctx, link)
	for {
		conn.SetReceiveTimeout(entryReceiveTimeout)
		m, err := conn.Receive()
		if err != nil {
			return
		}
		switch m := m.(type) {
		case *wire.EntryStatus:
			c.updateStatus(link, *m)
		case *wire.ExplainResponse:
			c.entryQueries.deliver(*m)
		default:
			return
		}
	}
}

func (c *Control) updateStatus(link *entryLink, s wire.EntryStatus) {
	c.mu.Lock()
	defer c.mu.Unlock()
	link.status = s
	c.entries[s.Entry.Node] = link
	c.publishEntries()
}

// unlink removes an entry unless it has reconnected in the meantime.
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

// sendSnapshots sends a full snapshot after every change and at each
// snapshotInterval, so that the next snapshot makes up for a lost one.
func (c *Control) sendSnapshots(ctx context.Context, link *entryLink) {
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

// snapshot returns the next snapshot for an entry. It includes the configuration
// file until the entry's status reports that version in force. Entries and
// endpoints are omitted if they are the same as in the last snapshot.
func (c *Control) snapshot(link *entryLink) wire.Snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := wire.Snapshot{Entries: c.member.Entries(), Endpoints: c.member.Endpoints(), Settled: time.Since(c.started) > convergenceTime}
	if link.status.ConfigVersion < c.inForce.Version {
		s.Config = c.inForce
	}
	if slices.Equal(s.Entries, link.sentEntries) && slices.Equal(s.Endpoints, link.sentEndpoints) {
		s.Unchanged, s.Entries, s.Endpoints = true, nil, nil
		return s
	}
	link.sentEntries, link.sentEndpoints = s.Entries, s.Endpoints
	return s
}

// wakeLoop wakes the snapshot senders of all entries after a change.
func (c *Control) wakeLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.changed:
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
