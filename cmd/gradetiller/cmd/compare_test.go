package cmd

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// TestCompareFailsWithoutMetrics guards against a comparison that silently lacks the
// requests of one entry, because an error response without counts is read as zero counts.
// This happens if the address belongs to another program or the entry has a fault. The
// command must fail and name the entry and the status.
func TestCompareFailsWithoutMetrics(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(server.Close)
	entry := server.Listener.Addr().String()
	var stdout, stderr bytes.Buffer
	status := Run([]string{"compare", "--entries", entry, "x"}, strings.NewReader(""), &stdout, &stderr)
	if status != ExitFailed || !strings.Contains(stderr.String(), entry) || !strings.Contains(stderr.String(), "404") {
		t.Errorf("exit status %d, standard error: %s", status, stderr.String())
	}
}

// TestCompareBoundsMetrics guards against metrics without an end that are held until the memory is used up, or counted
// in part.
func TestCompareBoundsMetrics(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for lines := strings.Repeat("metric 1\n", 8<<10); ; {
			if _, err := io.WriteString(w, lines); err != nil {
				return
			}
		}
	}))
	t.Cleanup(server.Close)
	var stdout, stderr bytes.Buffer
	status := Run([]string{"compare", "--entries", server.Listener.Addr().String(), "x"}, strings.NewReader(""), &stdout, &stderr)
	if status != ExitFailed || !strings.Contains(stderr.String(), "more than") {
		t.Errorf("exit status %d, standard error: %s", status, stderr.String())
	}
}
