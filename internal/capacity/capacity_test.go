package capacity

import (
	"os"
	"testing"

	"github.com/sebdah/goldie/v2"
)

// TestArithmetic compares the tables for fixed measurements with a golden file. It measures nothing.
func TestArithmetic(t *testing.T) {
	f, err := os.Open("testdata/benchmarks.txt")
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	m, err := ParseBenchmarks(f)
	if err != nil {
		t.Fatal(err)
	}
	out := Table(m, Target) + Table(m, Today) + StormTable(m) + SlopeTable(m)
	goldie.New(t).Assert(t, "tables", []byte(out))
}

// TestFit checks that the line through collinear points is exact.
func TestFit(t *testing.T) {
	l := Fit([]Point{{1, 5}, {2, 7}, {10, 23}})
	if l.At(100) < 202.999 || l.At(100) > 203.001 {
		t.Fatalf("line %+v", l)
	}
}
