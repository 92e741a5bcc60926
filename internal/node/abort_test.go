package node

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"gradetiller.example/platform/platformtest"
)

// TestAbortedResponsesOfHTTP10 guards against a response that breaks off and looks whole to a client that speaks HTTP/1.0: without chunks,
// it ends with the connection, so that only a reset tells.
func TestAbortedResponsesOfHTTP10(t *testing.T) {
	site, _ := newSite(t)
	for _, service := range []string{"desk", "encode", "rank"} {
		site.AddWorkers(service, 1)
	}
	model := site.AddWorkers("model", 1)[0]
	r := startNode(t, site)
	r.awaitReady(t)
	for _, broken := range []bool{true, false} {
		id := fmt.Sprint("old-", broken)
		if broken {
			model.InjectFaults(platformtest.TruncateEvent)
		}
		conn, err := net.Dial("tcp", r.Front)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		_ = conn.SetDeadline(time.Now().Add(15 * time.Second))
		fmt.Fprintf(conn, "POST /once/x HTTP/1.0\r\nHost: %s\r\nAuthorization: Token %s\r\nX-Request-Id: %s\r\nX-Model: m\r\nX-Token-Count: 100,40\r\nContent-Length: 0\r\n\r\n", platformtest.Host, key, id)
		got, err := io.ReadAll(conn)
		if begun := bytes.Contains(got, []byte("200 OK")) && bytes.Contains(got, []byte("id: 1")); !broken && !begun {
			t.Errorf("%q is no stream", got)
		}
		if broken && !errors.Is(err, syscall.ECONNRESET) || !broken && err != nil {
			t.Errorf("broken %t: the connection ends with %v after %d bytes", broken, err, len(got))
		}
	}
}
