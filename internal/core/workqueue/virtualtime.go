package workqueue

// costUnit is the virtual time that one call costs an account of weight 1.
const costUnit = 1 << 20

// VirtualTime implements the clock of start-time fair queueing. Each call costs
// its account costUnit/weight of virtual time. An account that was idle resumes
// at the current virtual time of the queue, so that it accumulates no credit.
type VirtualTime struct {
	now        int64
	finishTags map[int]int64 // by account
	// dryRun is set while a key is computed for an item that is not queued.
	dryRun bool
}

func newVirtualTime() *VirtualTime { return &VirtualTime{finishTags: make(map[int]int64)} }

func (v *VirtualTime) startTag(account, weight int) int64 {
	start := max(v.now, v.finishTags[account])
	if !v.dryRun {
		v.finishTags[account] = start + costUnit/int64(max(weight, 1))
	}
	return start
}

// advance moves the virtual time to the start tag of a call that leaves the queue.
func (v *VirtualTime) advance(tag int64) { v.now = max(v.now, tag) }

// reset clears all accounts once the queue is empty. All start tags then lie at or
// before the same virtual time, so no account is owed service. Clearing bounds the
// size of the map.
func (v *VirtualTime) reset() {
	clear(v.finishTags)
	v.now = 0
}
