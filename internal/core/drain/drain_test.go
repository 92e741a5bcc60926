package drain

import (
	"bufio"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"
)

// TestScripts runs each script of testdata: "size N" sets the bound on the size of the
// work that follows, "done N D..." observes N times work of each duration, "ends D" sets
// the end of the process, "at D WANT" checks whether work is still accepted at that
// time. Times count from the request to stop.
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
	var predictor Predictor
	var size Size
	lines := bufio.NewScanner(file)
	for n := 1; lines.Scan(); n++ {
		words := strings.Fields(lines.Text())
		if len(words) == 0 || strings.HasPrefix(words[0], "#") {
			continue
		}
		switch words[0] {
		case "size":
			size = Bound(number(t, words[1]))
		case "done":
			observe(t, &predictor, size, words[1], words[2:])
		case "ends":
			window = Until(start.Add(duration(t, words[1])))
		case "at":
			if got := answer(window, &predictor, size, start.Add(duration(t, words[1]))); got != words[2] {
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

func observe(t *testing.T, d *Predictor, size Size, times string, list []string) {
	for range number(t, times) {
		for _, text := range list {
			d.Observe(size, duration(t, text))
		}
	}
}

func number(t *testing.T, text string) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

func answer(w Window, d *Predictor, size Size, now time.Time) string {
	takes, known := d.UpperEstimate(size)
	switch {
	case !known:
		return "unknown"
	case w.Fits(now, takes):
		return "taken"
	}
	return "refused"
}

// TestLikely draws from a distribution with rare long durations, like that of streams,
// with and without estimates of their sizes: about one in six takes longer than
// UpperEstimate, even after few observations.
func TestLikely(t *testing.T) {
	for _, known := range []bool{false, true} {
		if share := shareAbovePrediction(known); share < 0.10 || share > 0.22 {
			t.Errorf("sizes known %v: %.3f of the durations exceeded UpperEstimate", known, share)
		}
	}
}

func shareAbovePrediction(sizes bool) float64 {
	const predictors, observations = 400, 20
	random := rand.New(rand.NewPCG(1, 2))
	longer := 0
	for range predictors {
		var d Predictor
		for range observations {
			tokens := 300 * math.Exp(0.6*random.NormFloat64())
			var size Size
			if sizes {
				size = Estimate(int(tokens * math.Exp(0.5*random.NormFloat64())))
			}
			took := time.Duration(tokens * float64(7*time.Millisecond))
			if takes, known := d.UpperEstimate(size); known && took > takes {
				longer++
			}
			d.Observe(size, took)
		}
	}
	return float64(longer) / (predictors * (observations - 1))
}

func duration(t *testing.T, text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// TestFits checks work of several durations at several times of a stop.
func TestFits(t *testing.T) {
	start := time.Unix(1000, 0)
	stop := Until(start.Add(time.Second))
	for _, c := range []struct {
		name   string
		window Window
		at     time.Duration
		takes  time.Duration
		want   bool
	}{
		{"no stop", Window{}, time.Hour, time.Hour, true},
		{"done before", stop, 0, 999 * time.Millisecond, true},
		{"done at the end", stop, 0, time.Second, true},
		{"done after", stop, 0, 1001 * time.Millisecond, false},
		{"less is left later", stop, 2 * time.Millisecond, 999 * time.Millisecond, false},
		{"over", stop, 2 * time.Second, time.Millisecond, false},
	} {
		if got := c.window.Fits(start.Add(c.at), c.takes); got != c.want {
			t.Errorf("%s: fits %v, want %v", c.name, got, c.want)
		}
	}
}

// TestLongAfterManyShort observes streams of events at a fixed interval whose first event
// takes no time: 92 events take 2.275 s, four take 75 ms, which is less in proportion. After
// many short streams and a few long ones, UpperEstimate of a long one must not be less
// than its duration.
func TestLongAfterManyShort(t *testing.T) {
	const pause, tokens, long = 25 * time.Millisecond, 10, 92
	takes := func(events int) time.Duration { return time.Duration(events-1) * pause }
	var d Predictor
	for i := range 120 {
		events := 4
		if i%16 == 0 {
			events = 20 + i/2
		}
		d.Observe(Bound(events*tokens), takes(events))
	}
	if got, _ := d.UpperEstimate(Bound(long * tokens)); got < takes(long) {
		t.Errorf("a stream of %d events takes %v, UpperEstimate is %v", long, takes(long), got)
	}
}
