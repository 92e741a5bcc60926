package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gradetiller.example/internal/core/lead"
	"gradetiller.example/internal/core/stagepool"
	"gradetiller.example/internal/peer"
	"gradetiller.example/internal/wire"
	"gradetiller.example/platform/platformtest"
)

// The tests of this file tell of one incident. The node that led a cell of the
// stage pool was told to stop. Of 60 requests whose stages waited, 43 were refused
// within moments, although another node was ready to lead and all of the engines
// were free; the clients were told that no leader of the stage pool answers.
//
// It came about without any other fault. The leader gave back what had not begun,
// as it should. The node that had submitted the work did not know yet that the
// leader leaves, so it ranked the same node first, and submitted there again. The
// leader took the work, claimed the cell anew, asked every engine what it holds,
// and gave the work back a tenth of a second later. After three times the request
// was refused. The cause: a node that knew that it would end took work without
// asking whether it would do it.
//
// Proof: the later the news reach the submitting node, the more requests are
// refused; with the news in time none is.

const (
	// longGrace is above longWait, so that a request that is taken before or soon
	// after the order to stop is done in time on any machine.
	longGrace = 40 * time.Second
	longWait  = 20 * time.Second
	// waiting is how many requests are under way when a node is told to stop:
	// their stages take seconds, since each call takes 20 ms.
	waiting = 60
	// firstWaits lets the first of them reach the leader.
	firstWaits = 300 * time.Millisecond
)

// stageSite is a site on which all requests have a long time.
func stageSite(t *testing.T) *platformtest.Site {
	t.Helper()
	site, c := desk(t)
	for i := range c.Routes {
		c.Routes[i].Timeout = longWait
		c.Routes[i].Objective = longWait
	}
	c.Version = 2
	site.Publish(c)
	site.AddWorkers("encode", 1)
	site.AddWorkers("rank", 1)
	site.AddWorkers("model", 1)
	return site
}

// startLeaving starts a node that knows all endpoints and may be told to stop.
func startLeaving(t *testing.T, site *platformtest.Site, seeds ...string) *running {
	t.Helper()
	n := startNode(t, site, seeds...)
	n.node.settings.GracePeriod = longGrace
	n.awaitReady(t)
	eventually(t, "all endpoints are listed", func() bool { return len(n.node.view.Load().endpoints) == 3 })
	return n
}

// startPair starts two nodes that know each other; the first leads the cell.
func startPair(t *testing.T, site *platformtest.Site) (leads, other *running) {
	t.Helper()
	leads = startLeaving(t, site)
	other = startLeaving(t, site, leads.Peer)
	eventually(t, "the nodes know each other", func() bool { return leads.knows(2) && other.knows(2) })
	leads.node.claim(0)
	eventually(t, "the other node knows the leader", func() bool { return other.node.isCellShared(0) })
	return leads, other
}

func (r *running) knows(nodes int) bool { return len(*r.node.entries.Load()) == nodes }

func (r *running) staged(id string) platformtest.Response {
	return do(r.Front, platformtest.Request{ID: id, Path: "/staged/", Streaming: true, Pieces: []int{6, 4}, Prefix: "aa:1", Deadline: longWait})
}

// tellStop tells a node to stop, and returns when it stops.
func (r *running) tellStop(t *testing.T) {
	t.Helper()
	r.stop()
	eventually(t, "the node stops", r.node.stopping)
}

// keepNews has a node believe in a list of nodes until the function that it
// returns is called.
func (r *running) keepNews(entries *[]wire.Entry) (end func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	wait.Go(func() {
		for ctx.Err() == nil {
			r.node.entries.Store(entries)
			time.Sleep(time.Millisecond)
		}
	})
	return func() {
		cancel()
		wait.Wait()
	}
}

// sendStaged sends requests to the nodes in turn, has something done while they
// are under way, and checks that all are served.
func sendStaged(t *testing.T, to []*running, meanwhile func()) {
	t.Helper()
	var refused atomic.Int64
	var wait sync.WaitGroup
	for i := range waiting {
		wait.Go(func() {
			if a := to[i%len(to)].staged(fmt.Sprintf("staged-%d", i)); !whole(a) {
				refused.Add(1)
			}
		})
	}
	time.Sleep(firstWaits)
	meanwhile()
	wait.Wait()
	if n := refused.Load(); n > 0 {
		t.Errorf("%d of %d requests were not served", n, waiting)
	}
}

// TestNewsOfLeavingLeaderAreLate is the incident, with news that never come.
func TestNewsOfLeavingLeaderAreLate(t *testing.T) {
	site := stageSite(t)
	leads, other := startPair(t, site)
	before := other.node.entries.Load()
	end := func() {}
	sendStaged(t, []*running{other}, func() {
		end = other.keepNews(before)
		leads.tellStop(t)
	})
	end()
}

// answers collects what a node answers to a message.
type answers struct {
	mu   sync.Mutex
	list []wire.Message
}

func (a *answers) take(m wire.Message) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list = append(a.list, m)
	return nil
}

// all lists the answers that have come.
func (a *answers) all() []wire.Message {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.list)
}

// TestStoppingNodeTurnsWorkAway submits work to a node that stops, whether it led
// the cell or not. It claims nothing, so it asks no engine what it holds either,
// and answers at once that the work is to go elsewhere, and for how long. A node of
// an earlier version does not understand the time, and would ask three times before
// it hears of the stop; so the news that the node leaves come ahead of the answer.
func TestStoppingNodeTurnsWorkAway(t *testing.T) {
	for _, c := range []struct {
		name string
		led  bool
	}{{"it led the cell", true}, {"it led nothing", false}} {
		t.Run(c.name, func(t *testing.T) {
			site := stageSite(t)
			stops, asks := startPair(t, site)
			if !c.led {
				stops, asks = asks, stops
			}
			stops.tellStop(t)
			eventually(t, "it gives its claim back", func() bool { return stops.node.claimedCells.Load() == 0 })
			var got answers
			stops.node.handleMessage(asks.node.hello(), &wire.StagesSubmit{ID: 7, RequestID: "late", Aim: longWait.Milliseconds(), Deadline: longWait.Milliseconds()}, got.take)
			list := got.all()
			if len(list) != 2 || !tellsLeaving(list[0], stops.node.settings.Node) || !movesFor(list[1], 7) {
				t.Errorf("answers %+v, want the news that it leaves, and that the work moves for a time", list)
			}
			if stops.node.claimedCells.Load() != 0 {
				t.Error("it claims the cell")
			}
		})
	}
}

// tellsLeaving reports whether a message tells that a node leaves.
func tellsLeaving(m wire.Message, node string) bool {
	g, ok := m.(wire.Gossip)
	if !ok || g.Node != node || len(g.Members) != 1 {
		return false
	}
	e := g.Members[0].Entries
	return len(e) == 1 && e[0].Node == node && e[0].Leaving
}

// movesFor reports whether a message tells that work moves for a time.
func movesFor(m wire.Message, id uint64) bool {
	d, ok := m.(wire.StagesDone)
	return ok && d.ID == id && d.Failed == stagepool.ReasonMoved && d.Again > 0 && d.Again <= longGrace.Milliseconds()
}

// stub is a node that answers submissions as it is told to.
type stub struct {
	wire.Entry
	submits atomic.Int64
}

// startStub starts a stub.
func startStub(t *testing.T, name string, answer func(*wire.StagesSubmit) wire.Message) *stub {
	t.Helper()
	return startStubOn(t, name, func() func(*wire.StagesSubmit) wire.Message { return answer })
}

// startStubOn starts a stub that may answer differently on each connection, or not
// at all.
func startStubOn(t *testing.T, name string, onConnection func() func(*wire.StagesSubmit) wire.Message) *stub {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &stub{Entry: wire.Entry{Node: name, Incarnation: 1, PeerAddress: listener.Addr().String()}}
	self := wire.Hello{Version: wire.Version, System: systemName, Role: wire.RoleNode, Node: name, Incarnation: 1}
	server := peer.NewServer(listener, self, &peer.Security{}, []wire.Role{wire.RoleNode}, func(c *peer.Conn) {
		answer := onConnection()
		for {
			m, err := c.Receive()
			if err != nil {
				return
			}
			if submit, ok := m.(*wire.StagesSubmit); ok {
				s.submits.Add(1)
				if m := answer(submit); m != nil {
					_ = c.Send(m)
				}
			}
		}
	}, func(error) {})
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	wait.Go(func() { _ = server.Serve(ctx) })
	t.Cleanup(func() {
		cancel()
		wait.Wait()
	})
	return s
}

func movesAway(m *wire.StagesSubmit) wire.Message {
	return wire.StagesDone{ID: m.ID, Failed: stagepool.ReasonMoved, Again: longGrace.Milliseconds()}
}

func givesBack(m *wire.StagesSubmit) wire.Message {
	return wire.StagesDone{ID: m.ID, Failed: stagepool.ReasonMoved}
}

func makes(m *wire.StagesSubmit) wire.Message {
	return wire.StagesDone{ID: m.ID, Handles: []string{"made"}}
}

// submitter is a node, which does not run, that knows the stubs; they lead in
// the order in which they are given.
func submitter(t *testing.T, stubs ...*stub) *Node {
	t.Helper()
	n := newNode(t, platformtest.NewSite(t))
	n.hasJoined.Store(true)
	var entries []wire.Entry
	for _, s := range stubs {
		entries = append(entries, s.Entry)
	}
	n.setEntries(entries)
	return n
}

// inRank names entries so that they lead the cell in this order.
func inRank(count int) []string {
	var entries []wire.Entry
	for i := range count {
		entries = append(entries, wire.Entry{Node: fmt.Sprintf("stub-%d", i)})
	}
	return nodeNames(lead.Rank(0, entries))
}

// TestLeavingNodesInARow submits work while more nodes leave than a request has
// tries: it is done by the one that stays, and each of the others is asked once,
// also by the requests that follow.
func TestLeavingNodesInARow(t *testing.T) {
	var stubs []*stub
	names := inRank(maxLeaderAttempts + 3)
	for _, name := range names[1:] {
		stubs = append(stubs, startStub(t, name, movesAway))
	}
	last := startStub(t, names[0], makes)
	// The one that stays ranks last, because it does not claim the cell.
	for _, s := range stubs {
		s.Leads = lead.CellBit(0)
	}
	n := submitter(t, append(stubs, last)...)
	for range 2 {
		got, err := n.runStages(context.Background(), stageWork{deadline: time.Now().Add(longWait), softDeadline: time.Now().Add(longWait)})
		if err != nil || got.leader != last.Node {
			t.Errorf("leader %q, %v; want %q", got.leader, err, last.Node)
		}
	}
	for _, s := range stubs {
		if asked := s.submits.Load(); asked != 1 {
			t.Errorf("%s leaves and was asked %d times", s.Node, asked)
		}
	}
}

// TestOutrankedLeaderIsNotPassedOver submits work to a leader that stays and gives
// it back, because a leader of higher rank is at work that the submitting node has
// not heard of yet. No third node is asked, since it would claim the cell too; and
// the refusal does not say that no leader answers.
func TestOutrankedLeaderIsNotPassedOver(t *testing.T) {
	names := inRank(2)
	outranked, third := startStub(t, names[0], givesBack), startStub(t, names[1], makes)
	n := submitter(t, outranked, third)
	_, err := n.runStages(context.Background(), stageWork{deadline: time.Now().Add(longWait), softDeadline: time.Now().Add(longWait)})
	var refused *refusal
	if !errors.As(err, &refused) || refused.reason != errHandedOff.Error() {
		t.Errorf("got %v, want a refusal for %q", err, errHandedOff)
	}
	if outranked.submits.Load() != maxLeaderAttempts || third.submits.Load() != 0 {
		t.Errorf("the outranked leader was asked %d times, the third node %d times", outranked.submits.Load(), third.submits.Load())
	}
}

// The tests below tell of another incident of the same stop. All nodes, or the only
// one, were told to stop. From then on each request with stages was refused, also
// those that were taken long before, although the nodes ran on for most of their
// grace period with all engines at hand.
//
// It came about without any other fault. A node that leaves was not ranked among
// the leaders, itself included; and a leader gave its work back also when the other
// nodes were leaving as well, to submitters that found nobody to do it. The cause:
// that a node leaves was taken for that it can do nothing, where only a node that
// stays would do better.
//
// Proof: with one of two nodes stopped all requests are served, with both 8 of 60.

// TestLastNodeRunsStages sends a request with stages to the only node, after it was
// told to stop.
func TestLastNodeRunsStages(t *testing.T) {
	n := startLeaving(t, stageSite(t))
	n.tellStop(t)
	if a := n.staged("after"); !whole(a) {
		t.Errorf("%+v", a)
	}
}

// TestAllNodesStopAtOnce stops both nodes while requests are under way.
func TestAllNodesStopAtOnce(t *testing.T) {
	leads, other := startPair(t, stageSite(t))
	sendStaged(t, []*running{leads, other}, func() {
		leads.stop()
		other.stop()
	})
}

// TestLeaversLeadLast ranks nodes that stay, leave, answered that they leave, or
// don't answer.
func TestLeaversLeadLast(t *testing.T) {
	stays := func(name string) wire.Entry { return wire.Entry{Node: name, Incarnation: 2, PeerAddress: name} }
	leaves := func(name string) wire.Entry {
		e := stays(name)
		e.Leaving, e.Leads = true, lead.CellBit(0)
		return e
	}
	for _, c := range []struct {
		name    string
		entries []wire.Entry
		want    []string
	}{
		{"one stays", []wire.Entry{leaves("a"), stays("b")}, []string{"b"}},
		{"all leave", []wire.Entry{leaves("a"), leaves("b")}, []string{"a", "b"}},
		{"the one that stays does not answer", []wire.Entry{leaves("a"), stays("silent")}, []string{"a"}},
		{"the other one answered that it leaves", []wire.Entry{leaves("a"), stays("answered")}, []string{"a"}},
		{"no one is left", []wire.Entry{stays("silent"), leaves("answered")}, nil},
	} {
		n := submitter(t)
		n.setEntries(c.entries)
		n.submissions.suspect(time.Now().Add(time.Hour), "silent")
		n.submissions.markLeaving(stays("answered"))
		got := nodeNames(n.leaderCandidates(time.Now()))
		slices.Sort(got)
		if !slices.Equal(got, c.want) {
			t.Errorf("%s: %v may lead, want %v", c.name, got, c.want)
		}
	}
}
