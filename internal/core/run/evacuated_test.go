package run

import (
	"testing"
	"time"

	"gradetiller.example/config"
)

// TestEvacuatedEndpointsGetNoCalls applies a configuration that evacuates a failure
// domain: only endpoints of other failure domains may be chosen, until a configuration
// without the evacuation is applied.
func TestEvacuatedEndpointsGetNoCalls(t *testing.T) {
	now := time.Unix(1000, 0)
	open := parseConfig(t, "")
	data, err := open.Evacuate("d1", false)
	if err != nil {
		t.Fatal(err)
	}
	closed, err := config.Parse("evacuated.yaml", data)
	if err != nil {
		t.Fatal(err)
	}
	e := New(1)
	for _, step := range []struct {
		cfg  *config.Config
		want []string
	}{{closed, []string{"p2", "g2"}}, {open, []string{"p1", "p2", "p3", "g1", "g2"}}} {
		if err := e.Configure(now, step.cfg, 1); err != nil {
			t.Fatal(err)
		}
		used := make(map[string]bool)
		for _, p := range e.poolsByIndex {
			for i := range p.place.Len() {
				if name := p.place.At(i).Spec().Name; p.place.Find(name) == i {
					used[name] = true
				}
			}
		}
		if len(used) != len(step.want) {
			t.Errorf("eligible endpoints: %v, want %v", used, step.want)
		}
		for _, name := range step.want {
			if !used[name] {
				t.Errorf("%s is not eligible", name)
			}
		}
	}
}
