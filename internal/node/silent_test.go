package node

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gradetiller.example/internal/wire"
)

// silentOnFirst answers nothing on the connection that it was asked on first, as if
// its bytes were lost for good, and everything on later ones.
func silentOnFirst(t *testing.T, name string) (*stub, *atomic.Int64) {
	var connections atomic.Int64
	s := startStubOn(t, name, func() func(*wire.StagesSubmit) wire.Message {
		if connections.Add(1) == 1 {
			return func(*wire.StagesSubmit) wire.Message { return nil }
		}
		return makes
	})
	return s, &connections
}

// TestSilentConnectionKeepsLeader has the connection to the leader fall silent while
// the leader lives: the work is sent again on a new one, nobody else is asked, and
// the leader is not passed over.
func TestSilentConnectionKeepsLeader(t *testing.T) {
	names := inRank(2)
	first, connections := silentOnFirst(t, names[0])
	second := startStub(t, names[1], makes)
	n := submitter(t, first, second)
	// The connection has been there for a while.
	n.links.Send(first.PeerAddress, wire.StagesPing{ID: 1})
	eventually(t, "the connection is open", func() bool { return connections.Load() == 1 })
	n.verdictTimeouts.afterReconnect = time.Minute
	for range 5 {
		got, err := n.runStages(context.Background(), shortWork())
		if err != nil {
			t.Fatal(err)
		}
		if got.leader != first.Node {
			t.Errorf("%s did the work, want %s", got.leader, first.Node)
		}
		n.verdictTimeouts.first = time.Minute
	}
	if second.submits.Load() > 0 || n.submissions.suspected(time.Now(), first.PeerAddress) {
		t.Error("the leader is passed over")
	}
	if c := connections.Load(); c != 2 {
		t.Errorf("%d connections were opened, want 2", c)
	}
}

// shortWork is some work with time enough.
func shortWork() stageWork {
	now := time.Now()
	return stageWork{softDeadline: now.Add(time.Minute), deadline: now.Add(time.Minute), submit: wire.StagesSubmit{RequestID: "r"}}
}
