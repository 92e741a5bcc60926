package node

import (
	"bytes"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gradetiller.example/internal/wire"
	"gradetiller.example/platform/platformtest"
)

// TestNumbersOfClients guards against a number in a client's request that ends the process of its node or of its leader, or that
// occupies them: the largest ones of each type, those beyond and negative ones.
func TestNumbersOfClients(t *testing.T) {
	site, _ := newSite(t)
	for _, service := range []string{"desk", "model", "encode", "rank"} {
		site.AddWorkers(service, 2)
	}
	n := startNode(t, site)
	n.awaitReady(t)
	numbers := []string{"9223372036854775807", "4611686018427387904", "2147483648", "99999999999999999999", "-1", "-9223372036854775808", "1e9", "18446744073709551615"}
	for _, number := range numbers {
		for _, head := range []string{
			"X-Pieces: " + number + "," + number, "X-Pieces: 1," + number, "X-Token-Count: " + number + "," + number, "X-Token-Count: 100," + number,
			"X-Prompt-Prefix: aa:" + number + ",bb:" + number + ",cc:" + number, "X-Length-Hint: " + number, "X-Request-Deadline: " + number, "Last-Event-Id: " + number,
		} {
			status := sendStaged(t, n.Front, head)
			if status == 0 {
				t.Errorf("%s: the connection was closed without an answer", head)
			}
		}
	}
	var page bytes.Buffer
	n.node.meters.set.WritePrometheus(&page)
	for line := range strings.Lines(page.String()) {
		if strings.HasPrefix(line, "gradetiller_panics_total") {
			t.Errorf("tasks panicked: %s", line)
		}
	}
	a := do(n.Front, platformtest.Request{ID: "after", Path: "/staged/x", Streaming: true, Pieces: []int{2, 2}})
	if a.Status != http.StatusOK || a.Body != events("after", 4) {
		t.Errorf("a usual request afterwards: %+v", a)
	}
}

// TestNumbersOfNodes guards against a number in another node's message that ends the process, or that lasts for good: the largest
// and the smallest ones.
func TestNumbersOfNodes(t *testing.T) {
	site, _ := newSite(t)
	for _, service := range []string{"desk", "model", "encode", "rank"} {
		site.AddWorkers(service, 2)
	}
	n := startNode(t, site)
	n.awaitReady(t)
	from, answer := wire.Hello{Node: "other", Incarnation: 7}, func(wire.Message) error { return nil }
	stage := func(pieces, after int) []wire.Stage {
		return []wire.Stage{{Service: "encode", Pieces: 1}, {Service: "rank", Pieces: pieces, After: []int{after}}}
	}
	for _, x := range []int64{math.MaxInt64, math.MinInt64, math.MaxInt64 / int64(time.Millisecond), math.MaxInt32, -1} {
		for i, m := range []wire.Message{
			&wire.StagesSubmit{ID: 1, Cell: int(min(x, 0)), Model: "model", Stages: stage(1, 0), SoftDeadline: 1000, Deadline: 1000},
			&wire.StagesSubmit{ID: 2, Model: "model", Stages: stage(int(x), 0), SoftDeadline: x, Deadline: x, Patience: x, Tokens: int(x), OutputTokens: int(x), ExtraTokens: int(x)},
			&wire.StagesSubmit{ID: 3, Model: "model", Stages: stage(1, int(x)), SoftDeadline: 1000, Deadline: 1000, Priority: int(x)},
			&wire.StagesSubmit{ID: 4, Model: "model", Stages: stage(1, 0), SoftDeadline: 1000, Deadline: 1000, NodePlaced: int(x), Avoid: []wire.Avoided{{Endpoint: "i-1", Remaining: x}}},
			&wire.StagesAdmission{ID: 5, Finish: x, RetryAfter: x}, &wire.StagesDone{ID: 6, RetryAfter: x},
			&wire.StreamOrigins{Origins: []wire.StreamOrigin{{Key: make([]byte, 16), Service: "model", Remaining: x}}},
			&wire.RelayBackoff{Endpoint: "i-0", Remaining: max(-x, math.MinInt64+1)},
			&wire.View{Age: x, ConfigAge: x, PrimariesAge: x, CandidatesAge: x, Revision: uint64(x), EvacuatedRevision: uint64(x), RolloutsRevision: uint64(x)},
			&wire.LeaderChanged{Cell: int(x)}, &wire.StandbyState{Cell: int(x)},
		} {
			err := n.node.contain(taskPeer, from.Node, func() error {
				n.node.handleMessage(from, m, answer)
				return nil
			})
			if err != nil {
				t.Errorf("message %d (%T) with %d: %v", i, m, x, err)
			}
		}
	}
	a := do(n.Front, platformtest.Request{ID: "after", Path: "/staged/x", Streaming: true, Pieces: []int{2, 2}})
	if a.Status != http.StatusOK || a.Body != events("after", 4) {
		t.Errorf("a usual request afterwards: %+v", a)
	}
}

// sendStaged sends a request of the route with stages, with one header replaced, and returns the status of its response, or 0.
func sendStaged(t *testing.T, address, replaced string) int {
	t.Helper()
	head := []string{"Host: " + platformtest.Host, "Authorization: Token " + key, "X-Request-Id: " + fmt.Sprint(time.Now().UnixNano()), "X-Model: m", "X-Piece-Key: k", "Content-Length: 0"}
	usual := map[string]string{"X-Pieces": "1,1", "X-Token-Count": "100,40", "X-Prompt-Prefix": "aa:10,cc:5", "X-Request-Deadline": "1000"}
	name, _, _ := strings.Cut(replaced, ":")
	delete(usual, name)
	for name, value := range usual {
		head = append(head, name+": "+value)
	}
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatalf("%s: %v", replaced, err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(8 * time.Second))
	_, _ = io.WriteString(conn, "POST /staged/x HTTP/1.1\r\n"+strings.Join(append(head, replaced), "\r\n")+"\r\nConnection: close\r\n\r\n")
	answer, _ := io.ReadAll(conn)
	status := 0
	_, _ = fmt.Sscanf(string(answer), "HTTP/1.1 %d", &status)
	return status
}
