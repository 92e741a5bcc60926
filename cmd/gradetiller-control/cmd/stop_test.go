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
	// signalInterval is the time between two signals.
	signalInterval = 2 * time.Second
	// exitTimeout bounds the wait for the process to end.
	exitTimeout = 20 * time.Second

	testConfig = `
format: 1
name: test
accounts: [{name: a, key_sha256: "0000000000000000000000000000000000000000000000000000000000000001"}]
pools: [{name: p, kind: service, endpoints: [{name: e, address: "127.0.0.1:1", failure_domain: d}]}]
pipelines: [{name: l, deadline: 1s, stages: [{name: s, pool: p}]}]
`
)

// TestSecondSignalEndsProcess guards against a shutdown that waits for operators'
// requests forever and ignores the second signal, so that the process must be killed
// and an operator with an apply in progress sees a closed connection without an outcome.
// Here one operator never completes the request body, as a slow or vanished client, and
// another's apply waits for a store that hangs. The process must end, and the second
// operator must get a response that states the outcome.
func TestSecondSignalEndsProcess(t *testing.T) {
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
	sendApply(t, c.Listen, 100, "{")
	file, err := json.Marshal(control.ApplyRequest{Operator: "o", Data: testConfig})
	if err != nil {
		t.Fatal(err)
	}
	waiting := sendApply(t, c.Listen, len(file), string(file))
	// Connections are accepted in order, so the two earlier ones are open by now.
	resp, err := http.Get("http://" + c.Listen.String() + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	signalUntilExit(t, ended)
	answer, err := io.ReadAll(waiting)
	if err != nil || !strings.Contains(string(answer), "nothing was changed") {
		t.Errorf("answer %q, error %v; want one that says that nothing was changed", answer, err)
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

// sendApply connects as soon as the process listens, and sends an apply request
// with the given Content-Length and body.
func sendApply(t *testing.T, to settings.Address, length int, body string) net.Conn {
	t.Helper()
	for end := time.Now().Add(exitTimeout); ; time.Sleep(10 * time.Millisecond) {
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

// signalUntilExit sends a signal each signalInterval until the process ends, and
// fails the test after exitTimeout.
func signalUntilExit(t *testing.T, ended chan error) {
	t.Helper()
	signals := make(chan os.Signal, 1) // keeps the signals from ending the test process
	signal.Notify(signals, syscall.SIGTERM)
	defer signal.Stop(signals)
	for sent := time.Duration(0); sent < exitTimeout; sent += signalInterval {
		_ = syscall.Kill(os.Getpid(), syscall.SIGTERM)
		select {
		case err := <-ended:
			if err != nil {
				t.Errorf("the process ended with %v", err)
			}
			return
		case <-time.After(signalInterval):
		}
	}
	t.Fatalf("the process is still running after %v with a signal each %v", exitTimeout, signalInterval)
}
