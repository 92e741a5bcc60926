package node

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gradetiller.example/internal/wire"
)

// startUnresponsiveOnFirstConnection starts a stub that answers nothing on its first connection, as
// if all packets were lost, and everything on later ones.
func startUnresponsiveOnFirstConnection(t *testing.T, name string) (*stubLeader, *atomic.Int64) {
	var connections atomic.Int64
	s := startStubOn(t, name, func() func(*wire.StagesSubmit) wire.Message {
		if connections.Add(1) == 1 {
			return func(*wire.StagesSubmit) wire.Message { return nil }
		}
		return answerDone
	})
	return s, &connections
}

// TestUnresponsiveConnectionKeepsLeader guards against a leader that is skipped because one
// connection to it stopped delivering messages. The work is sent again on a new connection, no
// other node is asked, and the leader stays in use.
func TestUnresponsiveConnectionKeepsLeader(t *testing.T) {
	names := rankedNames(2)
	first, connections := startUnresponsiveOnFirstConnection(t, names[0])
	second := startStub(t, names[1], answerDone)
	n := newSubmitter(t, first, second)
	// Open the connection before the first submission.
	n.links.Send(first.PeerAddress, wire.StagesPing{ID: 1})
	eventually(t, "the connection is open", func() bool { return connections.Load() == 1 })
	n.verdictTimeouts.afterReconnect = time.Minute
	for range 5 {
		got, err := n.runStages(context.Background(), newStageWork())
		if err != nil {
			t.Fatal(err)
		}
		if got.leader != first.Node {
			t.Errorf("work was done by %s, want %s", got.leader, first.Node)
		}
		n.verdictTimeouts.first = time.Minute
	}
	if second.submits.Load() > 0 || n.submissions.suspected(time.Now(), first.PeerAddress) {
		t.Error("the leader is skipped or suspected")
	}
	if c := connections.Load(); c != 2 {
		t.Errorf("%d connections were opened, want 2", c)
	}
}

// newStageWork returns work with a deadline that it easily meets.
func newStageWork() stageWork {
	now := time.Now()
	return stageWork{softDeadline: now.Add(time.Minute), deadline: now.Add(time.Minute), submit: wire.StagesSubmit{RequestID: "r"}}
}
