package cmd

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

const (
	smallFile = `format: 1
name: small
accounts:
  - {name: a, key_sha256: "0000000000000000000000000000000000000000000000000000000000000001"}
pools:
  - {name: p, kind: service, endpoints: [{name: e1, address: "10.0.0.1:80", failure_domain: d}]}
pipelines:
  - {name: x, deadline: 1s, stages: [{name: one, pool: p}]}
`
	// shortTimeout replaces requestTimeout in tests that wait for it to expire. It is
	// long enough to connect on a busy machine.
	shortTimeout = 2 * time.Second
	// digestPrefixLen is the length of the digests that history shows.
	digestPrefixLen = 12
	// responseTimeoutCase is the only test case that waits for requestTimeout.
	responseTimeoutCase = "no answer in time"
)

// applyResult is what an operator sees of an apply on version 1.
type applyResult struct {
	status         int
	stdout, stderr string
}

func runApply(t *testing.T, control string, flags ...string) applyResult {
	t.Helper()
	file := filepath.Join(t.TempDir(), "small.yaml")
	if err := os.WriteFile(file, []byte(smallFile), 0o600); err != nil {
		t.Fatal(err)
	}
	var stdout, stderr bytes.Buffer
	args := append([]string{"apply", "--control", control, file}, flags...)
	status := Run(args, strings.NewReader(""), &stdout, &stderr)
	return applyResult{status: status, stdout: stdout.String(), stderr: stderr.String()}
}

// check checks the exit status, and that the advice on finding out the outcome is
// printed with ExitUnknown and only then.
func (a applyResult) check(t *testing.T, control string, status int) {
	t.Helper()
	if a.status != status {
		t.Errorf("exit status %d, want %d; standard error: %s", a.status, status, a.stderr)
	}
	if a.stdout != "" {
		t.Errorf("standard output: %s", a.stdout)
	}
	sum := sha256.Sum256([]byte(smallFile))
	for _, part := range []string{
		"gradetiller history --control " + control,
		"version=2 digest=" + hex.EncodeToString(sum[:])[:digestPrefixLen],
		"--base 1",
	} {
		if strings.Contains(a.stderr, part) != (status == ExitUnknown) {
			t.Errorf("presence of %q in standard error does not match status %d: %s", part, status, a.stderr)
		}
	}
}

// newControl starts a fake control process with version 1 in force that responds to
// an apply with the given handler, and returns its address.
func newControl(t *testing.T, handler http.HandlerFunc) string {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/config", func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, `{"version":1}`)
	})
	mux.HandleFunc("POST /v1/config", func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		handler(w, r)
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func respondWith(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		fmt.Fprint(w, body)
	}
}

// writeAndClose returns a handler that writes raw text and closes the connection.
func writeAndClose(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		conn, _, _ := http.NewResponseController(w).Hijack()
		_, _ = io.WriteString(conn, text)
		_ = conn.Close()
	}
}

// neverRespond sends no response and returns when the client disconnects.
func neverRespond(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

func setRequestTimeout(t *testing.T, d time.Duration) {
	before := requestTimeout
	requestTimeout = d
	t.Cleanup(func() { requestTimeout = before })
}

// TestApplyReportsUnknownOutcome guards against an apply that is reported as refused or
// accepted although its outcome is unknown, so that the operator does not look at the
// history. It comes about when the control process or the network fails or is slow after
// the file was sent, or when another program responds, and only status 504 counts as
// unknown. Each such response must give ExitUnknown and the command that shows the
// outcome; definite refusals keep their exit status.
func TestApplyReportsUnknownOutcome(t *testing.T) {
	for _, c := range []struct {
		name    string
		handler http.HandlerFunc
		status  int
	}{
		{"no answer", writeAndClose(""), ExitUnknown},
		{responseTimeoutCase, neverRespond, ExitUnknown},
		{"header cut", writeAndClose("HTTP/1.1 200 OK\r\nContent-Le"), ExitUnknown},
		{"answer cut", writeAndClose("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n{\"version\":"), ExitUnknown},
		{"refusal cut", writeAndClose("HTTP/1.1 400 Bad Request\r\nContent-Length: 20\r\n\r\n{\"error\":"), ExitUnknown},
		{"not HTTP", writeAndClose("hello\r\n\r\n"), ExitUnknown},
		{"not JSON", respondWith(http.StatusOK, "<html>"), ExitUnknown},
		{"no version", respondWith(http.StatusOK, "{}"), ExitUnknown},
		{"another version", respondWith(http.StatusOK, `{"version":1}`), ExitUnknown},
		{"no body", respondWith(http.StatusNoContent, ""), ExitUnknown},
		{"redirect", func(w http.ResponseWriter, r *http.Request) { http.Redirect(w, r, "/v1/config", http.StatusSeeOther) }, ExitUnknown},
		{"not a control process's 404", respondWith(http.StatusNotFound, "404 page not found"), ExitUnknown},
		{"not a control process's 502", respondWith(http.StatusBadGateway, "<html>"), ExitUnknown},
		{"not a control process's 503", respondWith(http.StatusServiceUnavailable, "<html>"), ExitUnknown},
		{"an entry's 503", respondWith(http.StatusServiceUnavailable, `{"error":{"code":"draining"}}`), ExitUnknown},
		{"internal error of the control process", respondWith(http.StatusInternalServerError, `{"error":"fault"}`), ExitUnknown},
		{"the store did not say", respondWith(http.StatusGatewayTimeout, `{"error":"the store did not say"}`), ExitUnknown},

		{"bad file", respondWith(http.StatusBadRequest, `{"error":"bad file"}`), ExitFailed},
		{"bad token", respondWith(http.StatusUnauthorized, `{"error":"bad token"}`), ExitFailed},
		{"store away", respondWith(http.StatusServiceUnavailable, `{"error":"nothing was changed"}`), ExitFailed},
		{"concurrent apply", respondWith(http.StatusConflict, `{"error":"version 2 is in force"}`), ExitConflict},
	} {
		t.Run(c.name, func(t *testing.T) {
			if c.name == responseTimeoutCase {
				setRequestTimeout(t, shortTimeout)
			}
			control := newControl(t, c.handler)
			runApply(t, control).check(t, control, c.status)
		})
	}
}

// TestApplyReportsUnsentRequest guards against an apply that was never sent being
// reported as an unknown outcome.
func TestApplyReportsUnsentRequest(t *testing.T) {
	t.Run("nobody listens", func(t *testing.T) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		control := l.Addr().String()
		_ = l.Close()
		runApply(t, control, "--base", "1").check(t, control, ExitFailed)
	})
	t.Run("no connection in time", func(t *testing.T) {
		control := unresponsiveAddress(t)
		setRequestTimeout(t, shortTimeout)
		runApply(t, control, "--base", "1").check(t, control, ExitFailed)
	})
	t.Run("header that can't be sent", func(t *testing.T) {
		control := newControl(t, neverRespond)
		runApply(t, control, "--base", "1", "--token", "a\nb").check(t, control, ExitFailed)
	})
	t.Run("the version in force is unknown", func(t *testing.T) {
		server := httptest.NewServer(writeAndClose(""))
		t.Cleanup(server.Close)
		control := server.Listener.Addr().String()
		runApply(t, control).check(t, control, ExitFailed)
	})
}

// unresponsiveAddress returns the address of a listener whose accept queue is full, so
// that a dial to it times out.
func unresponsiveAddress(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address := fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
	for {
		conn, err := net.DialTimeout("tcp", address, shortTimeout)
		if err != nil {
			return address
		}
		t.Cleanup(func() { _ = conn.Close() })
	}
}
