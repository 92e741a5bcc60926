package fleet

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	_ "gradetiller.example/internal/fixedseed"
)

// TestPlanConverges runs rounds against engines that load slowly and lose
// their models at random: no more than MaxLoads load at once, an engine is
// never ordered while it loads, a settled fleet gets no orders, and in the end
// every engine holds what it should.
func TestPlanConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var engines []Engine
		seen := make(map[string]Status)
		for i := range rapid.IntRange(1, 8).Draw(t, "engines") {
			e := Engine{Name: fmt.Sprint("e", i), Wanted: []string{fmt.Sprint("m", i%3), "base"}}
			engines = append(engines, e)
			seen[e.Name] = Status{}
		}
		round := func() int {
			orders := Plan(1, engines, seen)
			for _, o := range orders {
				if seen[o.Engine.Name].Loading {
					t.Fatalf("%s was ordered while it loads", o.Engine.Name)
				}
				seen[o.Engine.Name] = Status{Loading: true}
			}
			loading := 0
			for _, s := range seen {
				if s.Loading {
					loading++
				}
			}
			if loading > MaxLoads {
				t.Fatalf("%d engines load at once", loading)
			}
			return len(orders)
		}
		finish := func(e Engine) {
			if seen[e.Name].Loading {
				seen[e.Name] = Status{Versions: e.Wanted}
			}
		}
		for range rapid.IntRange(0, 30).Draw(t, "rounds") {
			round()
			e := engines[rapid.IntRange(0, len(engines)-1).Draw(t, "engine")]
			if rapid.Bool().Draw(t, "restart") {
				seen[e.Name] = Status{}
			} else {
				finish(e)
			}
		}
		for range 2 * len(engines) {
			round()
			for _, e := range engines {
				finish(e)
			}
		}
		if n := round(); n != 0 {
			t.Fatalf("a settled fleet got %d orders", n)
		}
	})
}
