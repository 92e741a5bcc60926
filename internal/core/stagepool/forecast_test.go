package stagepool

import (
	"testing"
	"time"

	"gradetiller.example/internal/core/mechanism"
)

// outcomes are what became of the tasks that a pool took in its steady state.
type outcomes struct {
	taken, late int
	// missed is by how much the results came later than predicted, on average.
	missed time.Duration
}

// load is a steady load on five endpoints a service.
type load struct {
	seed      uint64
	perSecond float64
	// foreign is the share of each endpoint's room that an earlier leader's results
	// take for their life.
	foreign float64
	// from and to bound the tasks that are looked at, by when they came.
	from, to time.Duration
}

// without puts a load on a pool without some mechanisms and returns what became of
// the tasks.
func (l load) without(t *testing.T, off mechanism.Disabled) outcomes {
	const aim = 1900 * time.Millisecond
	w := newWorld(t, l.seed, 5)
	w.pool.off = off
	for _, service := range w.pool.services {
		for _, e := range service.endpoints {
			e.off = off
		}
	}
	for _, s := range w.endpoints {
		held := int64(l.foreign * float64(s.conf.ResultCapacity))
		s.used += held
		w.after(s.conf.ResultTTL, func() { s.used -= held })
	}
	begun := w.now
	var o outcomes
	sum := time.Duration(0)
	for _, id := range w.load(l.perSecond, l.to, aim) {
		done, ok := w.done[id]
		if w.taken[id].Sub(begun) < l.from {
			continue
		}
		o.taken++
		took := done.Sub(w.taken[id])
		if !ok || took > aim {
			o.late++
		}
		if ok {
			sum += took - w.promised[id]
		}
	}
	o.missed = sum / time.Duration(max(o.taken, 1))
	return o
}

// TestForecastMeetsWhatHappens loads a pool beyond what its endpoints carry: with what
// tasks took beyond their plan the predictions are right on average, by less than a
// twentieth of the aim; the plans alone are far too short. Fewer of the tasks that are
// taken are late.
func TestForecastMeetsWhatHappens(t *testing.T) {
	for seed := range uint64(3) {
		steady := load{seed: seed, perSecond: 45, from: 5 * time.Second, to: 30 * time.Second}
		with := steady.without(t, nil)
		without := steady.without(t, mechanism.Disabled{mechanism.Forecast: true})
		t.Logf("seed %d: with %+v, without %+v", seed, with, without)
		if with.missed.Abs() > 95*time.Millisecond || with.missed.Abs() >= without.missed.Abs() {
			t.Errorf("seed %d: results come %v after the prediction, %v without the forecast", seed, with.missed, without.missed)
		}
		if with.late*without.taken > without.late*with.taken {
			t.Errorf("seed %d: %d of %d are late, %d of %d without the forecast", seed, with.late, with.taken, without.late, without.taken)
		}
	}
}

// TestRoomBoundsAdmission takes most of the endpoints' room away, as results of an
// earlier leader do: admission that knows it takes fewer tasks that will be late.
func TestRoomBoundsAdmission(t *testing.T) {
	for seed := range uint64(3) {
		takeover := load{seed: seed, perSecond: 30, foreign: 0.7, to: 4 * time.Second}
		with := takeover.without(t, mechanism.Disabled{mechanism.Forecast: true})
		without := takeover.without(t, mechanism.Disabled{mechanism.Forecast: true, mechanism.RoomRate: true})
		t.Logf("seed %d: with %+v, without %+v", seed, with, without)
		if with.late*without.taken > without.late*with.taken {
			t.Errorf("seed %d: %d of %d are late, %d of %d without", seed, with.late, with.taken, without.late, without.taken)
		}
	}
}
