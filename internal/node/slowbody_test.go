package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gradetiller.example/platform/platformtest"
)

// startShortTimeoutNode starts a node with a route "/short/" that has a short timeout, and its
// worker.
func startShortTimeoutNode(t *testing.T) (*testNode, *platformtest.Worker) {
	t.Helper()
	site, c := newSite(t)
	worker := site.AddWorkers("desk", 1)[0]
	c.Version = 2
	c.Routes = append(c.Routes, platformtest.Route{Prefix: "/short/", Kind: "unsafe", Service: "desk", Timeout: 300 * time.Millisecond})
	site.Publish(c)
	r := startNode(t, site)
	r.awaitReady(t)
	return r, worker
}

// TestSlowBodyTimesOut guards against waiting forever for a request body, whatever the timeout of
// its route. A client sends half of a body and then nothing: when the route's timeout ends, it
// gets the response that the request has not run.
func TestSlowBodyTimesOut(t *testing.T) {
	r, worker := startShortTimeoutNode(t)
	conn, err := net.Dial("tcp", r.Front)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	const whole = "the whole body"
	half := whole[:len(whole)/2]
	fmt.Fprintf(conn, "POST /short/x HTTP/1.1\r\nHost: %s\r\nAuthorization: Token %s\r\nX-Request-Id: slow-1\r\nContent-Length: %d\r\n\r\n%s", platformtest.Host, key, len(whole), half)
	// Bounds the wait for a missing response; no verdict depends on when it arrives.
	_ = conn.SetReadDeadline(time.Now().Add(15 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("no response: %v", err)
	}
	_, _ = io.Copy(io.Discard, response.Body)
	if response.StatusCode != http.StatusRequestTimeout || worker.Runs("slow-1") > 0 {
		t.Errorf("got %d, ran %d times; want 408 and no run", response.StatusCode, worker.Runs("slow-1"))
	}
}

// TestBodyDeadlineEndsWithBody guards against a read deadline for a body that stays on the
// connection and breaks later requests on it.
func TestBodyDeadlineEndsWithBody(t *testing.T) {
	r, worker := startShortTimeoutNode(t)
	transport := &http.Transport{MaxConnsPerHost: 1}
	defer transport.CloseIdleConnections()
	for i := range 3 {
		id := fmt.Sprintf("kept-%d", i)
		a := platformtest.DoOn(t.Context(), transport, r.Front, platformtest.Request{ID: id, Path: "/short/x", Key: key, Body: "body"})
		if a.Err != nil || a.Status != http.StatusOK || worker.Runs(id) != 1 {
			t.Errorf("%s: %d, %v, ran %d times", id, a.Status, a.Err, worker.Runs(id))
		}
		time.Sleep(400 * time.Millisecond)
	}
}
