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

// The tests of this file guard against a leader that accepts stage work while it stops. When the
// leader of a cell was told to stop, 43 of 60 waiting requests were refused because no leader of
// the stage pool answered, although another node was ready to lead and all engines were free.
//
// The leader returned the work that had not started, as it should. The submitting node had not yet
// learned that the leader leaves, so it ranked that node first again and submitted there. The
// leader accepted the work, claimed the cell again, asked every engine for its cache contents, and
// returned the work 0.1 s later. After three tries the request was refused.
//
// The later the submitting node learns of the stop, the more requests are refused; if it learns in
// time, none is.

const (
	// longGracePeriod is above longTimeout, so that a request accepted before or soon after the
	// node is told to stop finishes in time on any machine.
	longGracePeriod = 40 * time.Second
	longTimeout     = 20 * time.Second
	// stagedRequests is how many requests are in flight when a node is told to stop. Their stages
	// take seconds, since each call takes 20 ms.
	stagedRequests = 60
	// submitDelay gives the first of these requests time to reach the leader.
	submitDelay = 300 * time.Millisecond
)

// newStageSite returns a site with long route timeouts and one worker of each stage and of the
// model.
func newStageSite(t *testing.T) *platformtest.Site {
	t.Helper()
	site, c := newSite(t)
	for i := range c.Routes {
		c.Routes[i].Timeout = longTimeout
		c.Routes[i].Objective = longTimeout
	}
	c.Version = 2
	site.Publish(c)
	site.AddWorkers("encode", 1)
	site.AddWorkers("rank", 1)
	site.AddWorkers("model", 1)
	return site
}

// startStageNode starts a node with a long grace period and waits until it knows all endpoints.
func startStageNode(t *testing.T, site *platformtest.Site, seeds ...string) *testNode {
	t.Helper()
	n := startNode(t, site, seeds...)
	n.node.settings.GracePeriod = longGracePeriod
	n.awaitReady(t)
	eventually(t, "all endpoints are listed", func() bool { return n.node.view.Load().endpoints.Len() == 3 })
	return n
}

// startLeaderAndPeer starts two nodes that know each other; the first leads the cell.
func startLeaderAndPeer(t *testing.T, site *platformtest.Site) (leader, peer *testNode) {
	t.Helper()
	leader = startStageNode(t, site)
	peer = startStageNode(t, site, leader.Peer)
	eventually(t, "the nodes know each other", func() bool { return leader.knowsNodes(2) && peer.knowsNodes(2) })
	leader.node.claim(0)
	eventually(t, "the peer knows the leader", func() bool { return peer.node.isCellShared(0) })
	return leader, peer
}

func (r *testNode) knowsNodes(nodes int) bool { return len(*r.node.entries.Load()) == nodes }

func (r *testNode) sendStaged(id string) platformtest.Response {
	return do(r.Front, platformtest.Request{ID: id, Path: "/staged/", Streaming: true, Pieces: []int{6, 4}, Prefix: "aa:1", Deadline: longTimeout})
}

// requestStop tells a node to stop and waits until it has begun to.
func (r *testNode) requestStop(t *testing.T) {
	t.Helper()
	r.stop()
	eventually(t, "the node stops", r.node.stopping)
}

// freezeEntries holds a node's list of nodes at the given entries until the returned function is
// called.
func (r *testNode) freezeEntries(entries *[]wire.Entry) (end func()) {
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

// sendStagedRequests sends requests with stages to the nodes in turn, calls meanwhile while they
// are in flight, and checks that all are served.
func sendStagedRequests(t *testing.T, to []*testNode, meanwhile func()) {
	t.Helper()
	var refused atomic.Int64
	var wait sync.WaitGroup
	for i := range stagedRequests {
		wait.Go(func() {
			if a := to[i%len(to)].sendStaged(fmt.Sprintf("staged-%d", i)); !isComplete(a) {
				refused.Add(1)
			}
		})
	}
	time.Sleep(submitDelay)
	meanwhile()
	wait.Wait()
	if n := refused.Load(); n > 0 {
		t.Errorf("%d of %d requests were not served", n, stagedRequests)
	}
}

// TestLeavingLeaderBeforeGossip guards against refused requests when a leader stops and the
// submitting node never learns of it by gossip.
func TestLeavingLeaderBeforeGossip(t *testing.T) {
	site := newStageSite(t)
	leads, other := startLeaderAndPeer(t, site)
	before := other.node.entries.Load()
	end := func() {}
	sendStagedRequests(t, []*testNode{other}, func() {
		end = other.freezeEntries(before)
		leads.requestStop(t)
	})
	end()
}

// messageRecorder records the messages with which a node answers.
type messageRecorder struct {
	mu   sync.Mutex
	list []wire.Message
}

func (a *messageRecorder) record(m wire.Message) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list = append(a.list, m)
	return nil
}

// all returns the messages recorded so far.
func (a *messageRecorder) all() []wire.Message {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.list)
}

// TestStoppingNodeDeclinesSubmissions guards against a stopping node that accepts work and claims
// the cell again. It answers at once that the work moves elsewhere and for how long, whether it led
// the cell or not, claims nothing and so asks no engine for its cache contents. Nodes of an earlier
// version ignore the time and would submit three times before they learn of the stop, so a gossip
// message that the node leaves precedes the answer.
func TestStoppingNodeDeclinesSubmissions(t *testing.T) {
	for _, c := range []struct {
		name string
		led  bool
	}{{"it led the cell", true}, {"it led nothing", false}} {
		t.Run(c.name, func(t *testing.T) {
			site := newStageSite(t)
			stopping, submitting := startLeaderAndPeer(t, site)
			if !c.led {
				stopping, submitting = submitting, stopping
			}
			stopping.requestStop(t)
			eventually(t, "the stopping node releases its claim", func() bool { return stopping.node.claimedCells.Load() == 0 })
			var got messageRecorder
			stopping.node.handleMessage(submitting.node.hello(), &wire.StagesSubmit{ID: 7, RequestID: "late", SoftDeadline: longTimeout.Milliseconds(), Deadline: longTimeout.Milliseconds()}, got.record)
			list := got.all()
			if len(list) != 2 || !announcesLeaving(list[0], stopping.node.settings.Node) || !movesTemporarily(list[1], 7) {
				t.Errorf("answers %+v, want gossip that the node leaves, then work moved for a limited time", list)
			}
			if stopping.node.claimedCells.Load() != 0 {
				t.Error("the stopping node claims the cell")
			}
		})
	}
}

// announcesLeaving reports whether a message is gossip that a node leaves.
func announcesLeaving(m wire.Message, node string) bool {
	g, ok := m.(wire.Gossip)
	if !ok || g.Node != node || len(g.Members) != 1 {
		return false
	}
	e := g.Members[0].Entries
	return len(e) == 1 && e[0].Node == node && e[0].Leaving
}

// movesTemporarily reports whether a message answers that work moves elsewhere for a limited time.
func movesTemporarily(m wire.Message, id uint64) bool {
	d, ok := m.(wire.StagesDone)
	return ok && d.ID == id && d.FailureReason == stagepool.ReasonMoved && d.RetryAfter > 0 && d.RetryAfter <= longGracePeriod.Milliseconds()
}

// stubLeader is a peer that answers submissions with a function of the test.
type stubLeader struct {
	wire.Entry
	submits atomic.Int64
}

// startStub starts a stubLeader that answers each submission with answer.
func startStub(t *testing.T, name string, answer func(*wire.StagesSubmit) wire.Message) *stubLeader {
	t.Helper()
	return startStubOn(t, name, func() func(*wire.StagesSubmit) wire.Message { return answer })
}

// startStubOn starts a stubLeader whose answers may differ by connection. It sends nothing where
// the answer is nil.
func startStubOn(t *testing.T, name string, onConnection func() func(*wire.StagesSubmit) wire.Message) *stubLeader {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &stubLeader{Entry: wire.Entry{Node: name, Incarnation: 1, PeerAddress: listener.Addr().String()}}
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

func answerMoved(m *wire.StagesSubmit) wire.Message {
	return wire.StagesDone{ID: m.ID, FailureReason: stagepool.ReasonMoved, RetryAfter: longGracePeriod.Milliseconds()}
}

func answerHandedOff(m *wire.StagesSubmit) wire.Message {
	return wire.StagesDone{ID: m.ID, FailureReason: stagepool.ReasonMoved}
}

func answerDone(m *wire.StagesSubmit) wire.Message {
	return wire.StagesDone{ID: m.ID, Handles: []string{"made"}}
}

// newSubmitter returns a node that is not running and knows the stubs, ranked as leaders in the
// given order.
func newSubmitter(t *testing.T, stubs ...*stubLeader) *Node {
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

// rankedNames returns names of nodes in the order in which they rank as leaders of the cell.
func rankedNames(count int) []string {
	var entries []wire.Entry
	for i := range count {
		entries = append(entries, wire.Entry{Node: fmt.Sprintf("stub-%d", i)})
	}
	return nodeNames(lead.Rank(0, entries))
}

// TestMoreLeavingNodesThanTries guards against requests that use up their tries on nodes that
// leave. With more leaving nodes than tries, the node that stays does the work, and each leaving
// node is asked only once, also by later requests.
func TestMoreLeavingNodesThanTries(t *testing.T) {
	var stubs []*stubLeader
	names := rankedNames(maxLeaderAttempts + 3)
	for _, name := range names[1:] {
		stubs = append(stubs, startStub(t, name, answerMoved))
	}
	last := startStub(t, names[0], answerDone)
	// The node that stays ranks last because it does not claim the cell.
	for _, s := range stubs {
		s.Leads = lead.CellBit(0)
	}
	n := newSubmitter(t, append(stubs, last)...)
	for range 2 {
		got, err := n.runStages(context.Background(), stageWork{deadline: time.Now().Add(longTimeout), softDeadline: time.Now().Add(longTimeout)})
		if err != nil || got.leader != last.Node {
			t.Errorf("leader %q, %v; want %q", got.leader, err, last.Node)
		}
	}
	for _, s := range stubs {
		if asked := s.submits.Load(); asked != 1 {
			t.Errorf("leaving node %s was asked %d times, want once", s.Node, asked)
		}
	}
}

// TestOutrankedLeaderIsNotSkipped guards against a third node that claims the cell. A leader that
// stays returns work because a leader of higher rank, which the submitting node does not know yet,
// is active. No third node is asked, and the refusal does not say that no leader answers.
func TestOutrankedLeaderIsNotSkipped(t *testing.T) {
	names := rankedNames(2)
	outranked, third := startStub(t, names[0], answerHandedOff), startStub(t, names[1], answerDone)
	n := newSubmitter(t, outranked, third)
	_, err := n.runStages(context.Background(), stageWork{deadline: time.Now().Add(longTimeout), softDeadline: time.Now().Add(longTimeout)})
	var refused *refusal
	if !errors.As(err, &refused) || refused.reason != errHandedOff.Error() {
		t.Errorf("got %v, want a refusal with reason %q", err, errHandedOff)
	}
	if outranked.submits.Load() != maxLeaderAttempts || third.submits.Load() != 0 {
		t.Errorf("the outranked leader was asked %d times, the third node %d times, want 0", outranked.submits.Load(), third.submits.Load())
	}
}

// The tests below guard against refused requests with stages when all nodes, or the only one, are
// told to stop: every such request was refused, including those accepted long before, although the
// nodes ran on for most of their grace period with all engines available. With one of two nodes
// stopped all requests were served, with both 8 of 60.
//
// Leaving nodes were not ranked as leaders, not even by themselves, and a leader returned its work
// although the other nodes were leaving too. A leaving node can still lead; it must only rank
// behind nodes that stay.

// TestOnlyNodeRunsStagesWhileStopping guards against requests with stages that are refused because
// the only node has been told to stop.
func TestOnlyNodeRunsStagesWhileStopping(t *testing.T) {
	n := startStageNode(t, newStageSite(t))
	n.requestStop(t)
	if a := n.sendStaged("after"); !isComplete(a) {
		t.Errorf("%+v", a)
	}
}

// TestAllNodesStopTogether guards against requests with stages that are refused when both nodes
// stop while the requests are in flight.
func TestAllNodesStopTogether(t *testing.T) {
	leads, other := startLeaderAndPeer(t, newStageSite(t))
	sendStagedRequests(t, []*testNode{leads, other}, func() {
		leads.stop()
		other.stop()
	})
}

// TestLeavingNodesRankLast guards against a leaving node that leads although another one stays, and
// against cells without a leader because all nodes leave. It ranks nodes that stay, leave, have
// answered that they leave, or do not answer.
func TestLeavingNodesRankLast(t *testing.T) {
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
		n := newSubmitter(t)
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
