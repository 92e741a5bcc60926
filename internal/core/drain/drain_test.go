package drain

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// TestScripts runs each script of testdata: "done D..." notes work that took
// so long, "ends D" sets the end of the process, "at D WANT" asks at a moment
// whether work of the kind is still taken. Times count from the request to stop.
func TestScripts(t *testing.T) {
	scripts, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(scripts) == 0 {
		t.Fatalf("no scripts: %v", err)
	}
	for _, name := range scripts {
		t.Run(filepath.Base(name), func(t *testing.T) { runScript(t, name) })
	}
}

func runScript(t *testing.T, name string) {
	file, err := os.Open(name)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	start := time.Unix(0, 0)
	var window Window
	var lately Durations
	lines := bufio.NewScanner(file)
	for n := 1; lines.Scan(); n++ {
		words := strings.Fields(lines.Text())
		if len(words) == 0 || strings.HasPrefix(words[0], "#") {
			continue
		}
		switch words[0] {
		case "done":
			for _, w := range words[1:] {
				lately.Add(duration(t, w))
			}
		case "ends":
			window = Until(start.Add(duration(t, words[1])))
		case "at":
			if got := answer(window, &lately, start.Add(duration(t, words[1]))); got != words[2] {
				t.Errorf("%s:%d: %s, want %s", name, n, got, words[2])
			}
		default:
			t.Fatalf("%s:%d: unknown step %q", name, n, words[0])
		}
	}
	if err := lines.Err(); err != nil {
		t.Fatal(err)
	}
}

func answer(w Window, d *Durations, now time.Time) string {
	takes, known := d.Likely()
	switch {
	case !known:
		return "unknown"
	case w.Fits(now, takes):
		return "taken"
	}
	return fmt.Sprintf("refused(%v)", takes)
}

func duration(t *testing.T, text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return d
}
