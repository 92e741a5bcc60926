package cmd

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// TestCompareNeedsEveryEntry asks an entry that refuses to tell its counts.
//
// What an operator sees: "no requests were counted yet", or figures that lack
// the requests of this entry.
// How it comes about: the address is another program's, or the entry has a fault.
// The cause: the answer's status was not looked at, and a text without counts
// reads as none.
// What proves it: the command fails and names the entry and the status.
func TestCompareNeedsEveryEntry(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(server.Close)
	entry := server.Listener.Addr().String()
	var stdout, stderr bytes.Buffer
	status := Run([]string{"compare", "--entries", entry, "x"}, strings.NewReader(""), &stdout, &stderr)
	if status != ExitFailed || !strings.Contains(stderr.String(), entry) || !strings.Contains(stderr.String(), "404") {
		t.Errorf("exit status %d, standard error: %s", status, stderr.String())
	}
}
