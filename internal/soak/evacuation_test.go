package soak

import (
	"sync"
	"time"

	"gradetiller.example/platform/platformtest"
)

const (
	// evacuatedZone is the zone that is evacuated. Two in five of the first workers run there.
	evacuatedZone = "zone-b"
	// restoresSeed parts the draws of restorations from the others.
	restoresSeed = 17
	// restoreOdds is how many troubles there are for one restoration, and copyAge how many
	// troubles old its copy is at most.
	restoreOdds    = 5
	maxSnapshotAge = 4
	// storeDowntime is how long the store is away before it comes back from a copy, and againTime
	// how long operator and workers take until they write again what is lost.
	storeDowntime = 150 * time.Millisecond
	rewriteDelay  = 250 * time.Millisecond
	// evacuationGap is how long the operator takes the evacuation back for after it was first
	// asked for.
	evacuationGap = 150 * time.Millisecond
	// maxEvacuationTime is how long after its evacuation was acknowledged nothing may reach a zone
	// any more; it is generous, since the machine may be busy.
	maxEvacuationTime = 6 * time.Second
)

// operator is what the operator has asked for, and the copies of the store.
type operator struct {
	mu        sync.Mutex
	snapshots []platformtest.Snapshot
	// evacuated tells that the evacuation is in force, from and to when it was.
	evacuated bool
	from, to  time.Time
}

// addInitialWorkers adds the workers of a service that are there from the beginning.
func (r *run) addInitialWorkers(service string) []*platformtest.Worker {
	list := r.site.AddWorkers(service, 3)
	if r.faults >= evacuationFaults {
		list = append(list, r.site.AddWorkersIn(evacuatedZone, service, 2)...)
	}
	return list
}

// evacuate asks that nothing further be sent to the other zone, takes that back at once, and
// asks for it again.
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

// maybeRestoreStore keeps a copy of the store with each trouble, and now and then has the
// store come back from one of them. The operator and the workers write again what is lost.
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

// checkEvacuation holds that nothing reached the evacuated zone from some time after its
// evacuation was acknowledged until it was taken back.
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
		r.fail("nothing reached the other zone before its evacuation: the check shows nothing")
	}
	if late > 0 {
		r.fail("%d requests and calls reached the evacuated zone later than %v after that was acknowledged", late, maxEvacuationTime)
	}
	r.t.Logf("evacuated for %v, %d requests and calls reached the zone before", o.to.Sub(o.from).Round(time.Millisecond), before)
}
