package explain

import (
	"errors"
	"fmt"
	"io"
	"runtime"
	"strings"
	"testing"
	"testing/iotest"
)

const noiseBytes = 64 << 20

// TestReadSkipsLongLines guards against a line without an end that is held until the memory is used up, and against
// lines beside it that are lost.
func TestReadSkipsLongLines(t *testing.T) {
	const line = "ts=2026-12-04T09:15:33.520Z level=info msg=request id=%s\n"
	log := io.MultiReader(
		strings.NewReader(fmt.Sprintf(line, "a")), &noise{left: noiseBytes}, strings.NewReader("\n"+fmt.Sprintf(line, "b")),
		strings.NewReader("ts=2026-12-04T09:15:33.520Z level=info msg=started node=n1\n"+strings.TrimSuffix(fmt.Sprintf(line, "c"), "\n")),
	)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	lines, err := Read(log, "file")
	runtime.ReadMemStats(&after)
	if n := after.TotalAlloc - before.TotalAlloc; n > 16*maxLineBytes {
		t.Errorf("%d bytes were allocated to read a log with a line of %d", n, noiseBytes)
	}
	if err != nil || len(lines) != 4 {
		t.Fatalf("%d lines, %v; want 4", len(lines), err)
	}
	for i, want := range []string{"a", "b", "", "c"} {
		if lines[i].fields["id"] != want {
			t.Errorf("line %d is %v, want ID %q", i, lines[i], want)
		}
	}
	if lines[0].source != "file" || lines[3].source != "n1" {
		t.Errorf("sources %q and %q, want file and n1", lines[0].source, lines[3].source)
	}
	if _, err := Read(io.MultiReader(strings.NewReader(fmt.Sprintf(line, "a")), iotest.ErrReader(io.ErrUnexpectedEOF)), "file"); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("a log that cannot be read: %v", err)
	}
}

// noise is bytes without the end of a line.
type noise struct{ left int }

func (n *noise) Read(p []byte) (int, error) {
	if n.left == 0 {
		return 0, io.EOF
	}
	k := min(n.left, len(p))
	for i := range p[:k] {
		p[i] = 'x'
	}
	n.left -= k
	return k, nil
}
