package stagepool

import (
	"testing"
	"time"

	"gradetiller.example/internal/core/mechanism"
)

// outcomes summarizes the tasks that a pool admitted in the measured period.
type outcomes struct {
	accepted, late int
	// predictionError is by how much results came later than predicted, on average.
	predictionError time.Duration
}

// steadyLoad is a constant load on five endpoints per service.
type steadyLoad struct {
	seed      uint64
	perSecond float64
	// foreign is the fraction of each endpoint's room that results of a previous leader occupy
	// until they expire.
	foreign float64
	// from and to select the tasks to measure by when they were submitted.
	from, to time.Duration
}

// run applies the load to a pool with the given mechanisms disabled.
func (l steadyLoad) run(t *testing.T, off mechanism.Disabled) outcomes {
	const softDeadline = 1900 * time.Millisecond
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
	for _, id := range w.load(l.perSecond, l.to, softDeadline) {
		done, ok := w.done[id]
		if w.acceptedAt[id].Sub(begun) < l.from {
			continue
		}
		o.accepted++
		took := done.Sub(w.acceptedAt[id])
		if !ok || took > softDeadline {
			o.late++
		}
		if ok {
			sum += took - w.predicted[id]
		}
	}
	o.predictionError = sum / time.Duration(max(o.accepted, 1))
	return o
}

// TestForecastMatchesMeasuredTimes guards against predictions that are too short when a pool is
// overloaded. With learned overruns the average prediction error is below a twentieth of the soft
// deadline, and fewer of the admitted tasks are late; estimates alone are far too short.
func TestForecastMatchesMeasuredTimes(t *testing.T) {
	for seed := range uint64(3) {
		load := steadyLoad{seed: seed, perSecond: 45, from: 5 * time.Second, to: 30 * time.Second}
		with := load.run(t, nil)
		without := load.run(t, mechanism.Disabled{mechanism.Forecast: true})
		t.Logf("seed %d: with %+v, without %+v", seed, with, without)
		if with.predictionError.Abs() > 95*time.Millisecond || with.predictionError.Abs() >= without.predictionError.Abs() {
			t.Errorf("seed %d: results come %v after the prediction, %v without the forecast", seed, with.predictionError, without.predictionError)
		}
		if with.late*without.accepted > without.late*with.accepted {
			t.Errorf("seed %d: %d of %d are late, %d of %d without the forecast", seed, with.late, with.accepted, without.late, without.accepted)
		}
	}
}

// TestRoomBoundsAdmission guards against admitting tasks that will be late because results of a
// previous leader occupy most of the endpoints' room.
func TestRoomBoundsAdmission(t *testing.T) {
	for seed := range uint64(3) {
		takeover := steadyLoad{seed: seed, perSecond: 30, foreign: 0.7, to: 4 * time.Second}
		with := takeover.run(t, mechanism.Disabled{mechanism.Forecast: true})
		without := takeover.run(t, mechanism.Disabled{mechanism.Forecast: true, mechanism.RoomRate: true})
		t.Logf("seed %d: with %+v, without %+v", seed, with, without)
		if with.late*without.accepted > without.late*with.accepted {
			t.Errorf("seed %d: %d of %d are late, %d of %d without", seed, with.late, with.accepted, without.late, without.accepted)
		}
	}
}
