package cmd

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"testing"
	"time"

	"gradetiller.example/internal/control"
	"gradetiller.example/internal/settings"
)

const (
	// signalGap is how long a signal has to take effect before the next is sent.
	signalGap = 2 * time.Second
	// longEnough is far more than a process needs to end.
	longEnough = 20 * time.Second

	testFile = `
format: 1
name: test
accounts: [{name: a, key_sha256: "0000000000000000000000000000000000000000000000000000000000000001"}]
pools: [{name: p, kind: service, endpoints: [{name: e, address: "127.0.0.1:1", failure_domain: d}]}]
pipelines: [{name: l, deadline: 1s, stages: [{name: s, pool: p}]}]
`
)

// TestSecondSignalEnds stops a control process, with two signals, while one
// operator's file does not come to its end and another's waits for the store.
//
// What an operator sees: the process goes on, whatever it is sent, until it is
// killed; an operator whose file was on its way to the store then sees a closed
// connection, and nothing tells whether the file is in force.
// How it comes about: a caller is slow or has gone without a word, or the store
// hangs.
// The cause: the process waits for operators' requests without any end, and the
// second signal is taken and not looked at.
// What proves it: the process ends, and the operator whose file had come gets
// an answer that tells what became of it.
func TestSecondSignalEnds(t *testing.T) {
	store := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	}))
	t.Cleanup(store.Close)
	c := &cli{
		Common: settings.Common{System: "test", Node: "n", FailureDomain: "d", PeerListen: "127.0.0.1:0", Platform: store.URL, LogLevel: "error"},
		Listen: freeAddress(t),
	}
	ended := make(chan error, 1)
	go func() { ended <- c.run() }()
	send(t, c.Listen, 100, "{")
	file, err := json.Marshal(control.ApplyRequest{Operator: "o", Data: testFile})
	if err != nil {
		t.Fatal(err)
	}
	waiting := send(t, c.Listen, len(file), string(file))
	// Connections are accepted in their order, so the two before are open.
	resp, err := http.Get("http://" + c.Listen.String() + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	signalUntil(t, ended)
	answer, err := io.ReadAll(waiting)
	if err != nil || !strings.Contains(string(answer), "nothing was changed") {
		t.Errorf("answer %q, error %v; want one that tells that nothing was changed", answer, err)
	}
}

func freeAddress(t *testing.T) settings.Address {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return settings.Address(l.Addr().String())
}

// send begins to apply a file whose length is told, as soon as the process
// listens.
func send(t *testing.T, to settings.Address, length int, body string) net.Conn {
	t.Helper()
	for end := time.Now().Add(longEnough); ; time.Sleep(10 * time.Millisecond) {
		conn, err := net.Dial("tcp", to.String())
		if err != nil && time.Now().Before(end) {
			continue
		}
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		_, err = fmt.Fprintf(conn, "POST /v1/config HTTP/1.1\r\nHost: control\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", length, body)
		if err != nil {
			t.Fatal(err)
		}
		return conn
	}
}

// signalUntil sends signals until the process has ended, and fails when it does
// not.
func signalUntil(t *testing.T, ended chan error) {
	t.Helper()
	kept := make(chan os.Signal, 1) // the test itself outlives the signals
	signal.Notify(kept, syscall.SIGTERM)
	defer signal.Stop(kept)
	for sent := time.Duration(0); sent < longEnough; sent += signalGap {
		_ = syscall.Kill(os.Getpid(), syscall.SIGTERM)
		select {
		case err := <-ended:
			if err != nil {
				t.Errorf("the process ended with %v", err)
			}
			return
		case <-time.After(signalGap):
		}
	}
	t.Fatalf("the process goes on after %v and a signal each %v", longEnough, signalGap)
}
