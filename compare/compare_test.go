package compare

import (
	"math/rand/v2"
	"os"
	"testing"

	"github.com/sebdah/goldie/v2"
)

// TestReport compares the report on the metrics of two nodes with a golden file.
func TestReport(t *testing.T) {
	var texts []string
	for _, file := range []string{"testdata/node-1.txt", "testdata/node-2.txt"} {
		data, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		texts = append(texts, string(data))
	}
	goldie.New(t).Assert(t, "report", []byte(Report(Read(texts, "trial"))))
}

// TestInterval checks that the 95% interval contains the true share in 93% to
// 97% of simulated experiments.
func TestInterval(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	draw := func(p float64) *Arm {
		a := &Arm{}
		for range 400 {
			if r.Float64() < p {
				a.onTime++
			} else {
				a.missed++
			}
		}
		return a
	}
	covered := 0
	const trials = 2000
	for range trials {
		_, low, high := draw(0.9).Attainment()
		if low <= 0.9 && 0.9 <= high {
			covered++
		}
	}
	if share := float64(covered) / trials; share < 0.93 || share > 0.97 {
		t.Fatalf("the interval contains the true share in %.3f of the trials, want 0.93 to 0.97", share)
	}
}
