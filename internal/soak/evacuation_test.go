package soak

import (
	"sync"
	"time"

	"gradetiller.example/platform/platformtest"
)

const (
	// evacuatedZone is the zone that is evacuated. Two in five of the initial workers run
	// there.
	evacuatedZone = "zone-b"
	// restoresSeed separates the draws of restorations from the others.
	restoresSeed = 17
	// One in restoreOdds faults is accompanied by a restoration of the store. Its snapshot is
	// at most maxSnapshotAge faults old.
	restoreOdds    = 5
	maxSnapshotAge = 4
	// storeDowntime is how long the store is unavailable before it is restored. rewriteDelay is
	// the time after which the operator and the workers write the lost data again.
	storeDowntime = 150 * time.Millisecond
	rewriteDelay  = 250 * time.Millisecond
	// evacuationGap is the time between the first request for the evacuation, its cancellation,
	// and the second request.
	evacuationGap = 150 * time.Millisecond
	// maxEvacuationTime is the time after the acknowledgement of the evacuation from which
	// nothing may reach the zone. The value is generous because the machine may be busy.
	maxEvacuationTime = 6 * time.Second
)

// operator is the state of the evacuation and the snapshots of the store.
type operator struct {
	mu        sync.Mutex
	snapshots []platformtest.Snapshot
	// evacuated reports whether the evacuation is in force. It was in force between from and
	// to.
	evacuated bool
	from, to  time.Time
}

// addInitialWorkers adds the initial workers of a service.
func (r *run) addInitialWorkers(service string) []*platformtest.Worker {
	list := r.site.AddWorkers(service, 3)
	if r.faults >= evacuationFaults {
		list = append(list, r.site.AddWorkersIn(evacuatedZone, service, 2)...)
	}
	if service == "model" && r.faults >= versionFaults {
		for _, version := range softwareVersions[1:] {
			list = append(list, r.site.AddWorkersOfVersion(version, service, 2)...)
		}
	}
	return list
}

// evacuate requests the evacuation of a zone, cancels it at once, and requests it again.
func (r *run) evacuate() {
	r.operator.mu.Lock()
	defer r.operator.mu.Unlock()
	r.site.Store.Evacuate(evacuatedZone)
	time.Sleep(evacuationGap)
	r.site.Store.EndEvacuation(evacuatedZone)
	time.Sleep(evacuationGap)
	r.site.Store.Evacuate(evacuatedZone)
	r.operator.evacuated, r.operator.from = true, time.Now()
}

func (r *run) endEvacuation() {
	r.operator.mu.Lock()
	defer r.operator.mu.Unlock()
	r.operator.evacuated, r.operator.to = false, time.Now()
	r.site.Store.EndEvacuation(evacuatedZone)
}

// maybeRestoreStore takes a snapshot of the store and, with a probability of 1/restoreOdds,
// restores the store from a recent snapshot. The operator and the workers then write the lost
// data again.
func (r *run) maybeRestoreStore() {
	r.operator.mu.Lock()
	defer r.operator.mu.Unlock()
	o := &r.operator
	o.snapshots = append(o.snapshots, r.site.Store.Snapshot())
	o.snapshots = o.snapshots[max(len(o.snapshots)-maxSnapshotAge, 0):]
	if r.restoreRand.IntN(restoreOdds) > 0 {
		return
	}
	from := o.snapshots[r.restoreRand.IntN(len(o.snapshots))]
	o.snapshots = nil
	r.beginUnplanned()
	defer r.endUnplanned()
	began := time.Now()
	defer func() { r.storeFaults.add(began, time.Now()) }()
	r.site.Store.SetDown(true)
	time.Sleep(storeDowntime)
	r.site.Store.Restore(from)
	r.site.Store.SetDown(false)
	time.Sleep(rewriteDelay)
	r.site.Publish(r.config)
	if o.evacuated {
		r.site.Store.Evacuate(evacuatedZone)
	} else {
		r.site.Store.EndEvacuation(evacuatedZone)
	}
	for _, list := range r.workers {
		for _, w := range list {
			w.RepublishEntry()
		}
	}
}

// checkEvacuation verifies that nothing reached the evacuated zone from maxEvacuationTime after
// the acknowledgement until the end of the evacuation.
func (r *run) checkEvacuation() {
	if r.faults < evacuationFaults {
		return
	}
	o := &r.operator
	late, before := 0, 0
	for _, list := range r.workers {
		for _, w := range list {
			for _, at := range w.ArrivalTimes() {
				switch {
				case w.Zone != evacuatedZone || at.After(o.to):
				case at.Before(o.from):
					before++
				case at.Sub(o.from) > maxEvacuationTime:
					late++
				}
			}
		}
	}
	if before == 0 {
		r.fail("nothing reached the zone before its evacuation, so the check is ineffective")
	}
	if late > 0 {
		r.fail("%d requests and calls reached the evacuated zone later than %v after the acknowledgement", late, maxEvacuationTime)
	}
	r.t.Logf("evacuated for %v, %d requests and calls reached the zone before", o.to.Sub(o.from).Round(time.Millisecond), before)
}
