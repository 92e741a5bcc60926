package poison

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gradetiller.example/internal/core/catalog"
)

const beat = time.Second

// lapsed is a time after which the entry of an ended endpoint has gone.
const lapsed = lapseBeats * beat

func lifeOf(born int64) catalog.Endpoint {
	return catalog.Endpoint{ID: catalog.IncarnationID("e1", born), Service: "model", Address: "10.0.0.1:80"}
}

// watching breaks a run of one request off at an endpoint and tells whether its address
// refuses connections then.
func watching(refuses bool) (*Watch, []Finding) {
	w := NewWatch(beat)
	if !w.Broke(start, lifeOf(1), Lasting, idOf(1)) {
		panic("nobody asks the endpoint")
	}
	return w, w.Probed(start.Add(5*time.Millisecond), lifeOf(1).ID, refuses)
}

// ended tells what was found of request 1.
func ended(found []Finding) string {
	if len(found) != 1 || !slices.Equal(found[0].Requests, []ID{idOf(1)}) {
		return fmt.Sprint("found ", len(found))
	}
	return fmt.Sprintf("ended %v", found[0].Ended)
}

// TestWatch tells ends of endpoints from what only looks so.
func TestWatch(t *testing.T) {
	draining := lifeOf(1)
	draining.Draining = true
	elsewhere := lifeOf(2)
	elsewhere.Address = "10.0.0.9:80"
	successor := catalog.Endpoint{ID: "e7/3", Service: "model", Address: "10.0.0.1:80"}
	other := catalog.Endpoint{ID: "e7/3", Service: "desk", Address: "10.0.0.1:80"}
	cases := map[string]struct {
		refuses bool
		// list is the list after some time.
		list  []catalog.Endpoint
		after time.Duration
		// probed and listed are what is found by the address and by the list.
		probed, listed string
	}{
		"its address refuses connections":                 {refuses: true, probed: "ended true", listed: "found 0", after: beat},
		"its connection was reset":                        {list: []catalog.Endpoint{lifeOf(1)}, after: lapsed, probed: "found 0", listed: "found 0"},
		"another life of it is listed":                    {list: []catalog.Endpoint{lifeOf(2)}, after: 2 * beat, probed: "found 0", listed: "ended true"},
		"another life of it is listed elsewhere":          {list: []catalog.Endpoint{elsewhere}, after: 2 * beat, probed: "found 0", listed: "ended true"},
		"a successor has its address":                     {list: []catalog.Endpoint{successor}, after: 2 * beat, probed: "found 0", listed: "ended true"},
		"an endpoint of another service has its address":  {list: []catalog.Endpoint{other}, after: 2 * beat, probed: "found 0", listed: "found 0"},
		"its entry has gone, and nothing has its address": {after: 2 * beat, probed: "found 0", listed: "found 0"},
		"another life of it is listed much later":         {list: []catalog.Endpoint{lifeOf(2)}, after: replacedWithin + 40*time.Second, probed: "found 0", listed: "found 0"},
		"it leaves": {list: []catalog.Endpoint{draining}, after: beat, probed: "found 0", listed: "found 0"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w, found := watching(c.refuses)
			if got := ended(found); got != c.probed {
				t.Errorf("by its address: %s, want %s", got, c.probed)
			}
			if c.after > replacedWithin {
				// Lists come all the time.
				w.Listed(start.Add(lapsed), start.Add(lapsed), []catalog.Endpoint{lifeOf(1)})
			}
			now := start.Add(c.after)
			found, ask := w.Listed(now, now, c.list)
			if got := ended(found); got != c.listed || len(ask) > 0 {
				t.Errorf("by the list: %s, asks %d, want %s", got, len(ask), c.listed)
			}
		})
	}
}

// TestEndTakenBack refuses connections for a while: the endpoint is still listed after its
// entry would have gone, and takes connections then, so its end was none.
func TestEndTakenBack(t *testing.T) {
	for _, alive := range []bool{true, false} {
		w, _ := watching(true)
		list := []catalog.Endpoint{lifeOf(1)}
		early := start.Add(lapsed / 2)
		if found, ask := w.Listed(early, early, list); len(found)+len(ask) > 0 {
			t.Error("the endpoint is asked before its entry would have gone")
		}
		late := start.Add(lapsed)
		if _, ask := w.Listed(late, early, list); len(ask) > 0 {
			t.Error("the endpoint is asked by a list that is not current")
		}
		_, ask := w.Listed(late, late, list)
		if len(ask) != 1 {
			t.Fatalf("%d endpoints are asked", len(ask))
		}
		if _, again := w.Listed(late, late, list); len(again) > 0 {
			t.Error("it is asked again before it has answered")
		}
		found := w.Probed(late, ask[0].ID, !alive)
		want := "found 0"
		if alive {
			want = "ended false"
		}
		if got := ended(found); got != want || w.Watching() {
			t.Errorf("alive %v: %s, want %s; watching %v", alive, got, want, w.Watching())
		}
	}
}

// TestWatchIsBounded breaks runs off at more endpoints, and more at one, than are watched.
func TestWatchIsBounded(t *testing.T) {
	w := NewWatch(beat)
	for i := range 2 * mostWatched {
		e := catalog.Endpoint{ID: fmt.Sprint(i)}
		w.Broke(start.Add(time.Duration(i)*time.Millisecond), e, Lasting, idOf(i))
	}
	if len(w.watched) != mostWatched {
		t.Errorf("%d endpoints are watched", len(w.watched))
	}
	e := catalog.Endpoint{ID: fmt.Sprint(2*mostWatched - 1)}
	for i := range 3 * mostBreaks {
		w.Broke(start.Add(time.Minute), e, Lasting, idOf(i))
	}
	if n := len(w.watched[e.ID].breaks); n != mostBreaks {
		t.Errorf("%d breaks are remembered", n)
	}
}

// TestOneNodeAloneIsNotBelieved has one node find addresses that refuse its connections,
// of endpoints that live: no owner agrees, and the request is refused nowhere. An owner
// that finds the same agrees.
func TestOneNodeAloneIsNotBelieved(t *testing.T) {
	for _, alive := range []bool{true, false} {
		one, owner := NewGuard(beat), NewGuard(beat)
		one.SetAlone(false)
		owner.SetAlone(false)
		refused := 0
		for i := range mostEnds {
			e := catalog.Endpoint{ID: fmt.Sprint(i), Service: "model", Address: fmt.Sprintf("10.0.0.%d:80", i)}
			one.Broke(start, e, Lasting, idOf(1))
			out := one.Probed(start, e.ID, true)
			refused += len(out.Refused)
			told := owner.Reported(start, out.Tell)
			for _, asked := range told.Check {
				refused += len(owner.Probed(start, asked.ID, !alive).Refused)
			}
		}
		if alive && refused > 0 || !alive && refused != 1 {
			t.Errorf("alive %v: the request was refused %d times", alive, refused)
		}
	}
}
