package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

// TestCheck parses each file under testdata/check and compares its problems, or
// the resulting configuration, with the golden file; go test -update rewrites the
// golden files.
func TestCheck(t *testing.T) {
	files, err := filepath.Glob("testdata/check/*.yaml")
	if err != nil || len(files) == 0 {
		t.Fatalf("no files under testdata/check: %v", err)
	}
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".yaml")
		t.Run(name, func(t *testing.T) {
			data, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			cfg, warnings, err := ParseWithWarnings(name+".yaml", data)
			var out strings.Builder
			for _, w := range warnings {
				out.WriteString("warning: " + w.Error() + "\n")
			}
			if err != nil {
				out.WriteString(err.Error() + "\n")
			} else {
				out.WriteString(strings.Join(Diff(nil, cfg), "\n") + "\n")
			}
			goldie.New(t, goldie.WithFixtureDir("testdata/check")).Assert(t, name, []byte(out.String()))
		})
	}
}

// TestExamples checks that the examples are accepted without warnings.
func TestExamples(t *testing.T) {
	for _, file := range []string{"../examples/whitmore.yaml", "../examples/pwani.yaml"} {
		data, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		if _, warnings, err := ParseWithWarnings(file, data); err != nil || len(warnings) > 0 {
			t.Errorf("%s: %v %v", file, err, warnings)
		}
	}
}

// TestVersionWeights checks that Version splits hashes in proportion to the weights.
func TestVersionWeights(t *testing.T) {
	s := Stage{f: fileStage{Versions: []fileVersion{{Name: "old", Weight: 9}, {Name: "new", Weight: 1}}}}
	counts := make(map[string]int)
	for h := range uint64(1000) {
		counts[s.Version(h)]++
	}
	if counts["old"] != 900 || counts["new"] != 100 {
		t.Fatalf("counts %v", counts)
	}
}

// FuzzParse checks that Parse does not panic on any input, and that every problem
// has a position and a fix.
func FuzzParse(f *testing.F) {
	for _, file := range []string{"testdata/check/broken.yaml", "../examples/pwani.yaml"} {
		data, err := os.ReadFile(file)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		cfg, err := Parse("f", data)
		if (cfg == nil) == (err == nil) {
			t.Fatalf("config %v and error %v", cfg, err)
		}
		if problems, ok := err.(Problems); ok {
			for _, p := range problems {
				if p.line < 1 || p.col < 1 || p.fix == "" {
					t.Fatalf("problem without position or fix: %+v", p)
				}
			}
		}
	})
}
