package workqueue

// fairUnit is the virtual time that one call costs an account of weight 1.
const fairUnit = 1 << 20

// VirtualTime holds the virtual time of start-time fair queueing: every call costs
// its account fairUnit/weight, and an account that was idle starts again at
// the queue's present virtual time, so that no credit is saved up.
type VirtualTime struct {
	now     int64
	account map[int]int64
	// peek is true while a key is computed for an item that is not queued.
	peek bool
}

func newFair() *VirtualTime { return &VirtualTime{account: make(map[int]int64)} }

func (f *VirtualTime) tag(account, weight int) int64 {
	start := max(f.now, f.account[account])
	if !f.peek {
		f.account[account] = start + fairUnit/int64(max(weight, 1))
	}
	return start
}

// served moves the virtual time up to the tag of a call that leaves the queue.
func (f *VirtualTime) served(tag int64) { f.now = max(f.now, tag) }

// idle forgets accounts once the queue is empty: all tags then lie at or
// before a common start, and the map stays bounded by the queue's length.
func (f *VirtualTime) idle() {
	clear(f.account)
	f.now = 0
}
