package fleet

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	_ "gradetiller.example/internal/fixedseed"
)

// TestPlanConverges runs rounds against engines that load slowly and lose their
// models at random: at most MaxLoads load at once, a loading engine gets no order,
// and once restarts stop every engine soon holds its wanted versions and gets no
// more orders.
func TestPlanConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var engines []Engine
		statuses := make(map[string]Status)
		for i := range rapid.IntRange(1, 8).Draw(t, "engines") {
			e := Engine{Name: fmt.Sprint("e", i), Wanted: []string{fmt.Sprint("m", i%3), "base"}}
			engines = append(engines, e)
			statuses[e.Name] = Status{}
		}
		round := func() int {
			orders := Plan(1, engines, statuses)
			for _, o := range orders {
				if statuses[o.Engine.Name].Loading {
					t.Fatalf("%s got an order while loading", o.Engine.Name)
				}
				statuses[o.Engine.Name] = Status{Loading: true}
			}
			loading := 0
			for _, s := range statuses {
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
			if statuses[e.Name].Loading {
				statuses[e.Name] = Status{Versions: e.Wanted}
			}
		}
		for range rapid.IntRange(0, 30).Draw(t, "rounds") {
			round()
			e := engines[rapid.IntRange(0, len(engines)-1).Draw(t, "engine")]
			if rapid.Bool().Draw(t, "restart") {
				statuses[e.Name] = Status{}
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
			t.Fatalf("%d orders after all engines converged", n)
		}
	})
}
