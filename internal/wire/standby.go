package wire

// StandbyState tells the standby of a leader that the leader leads a cell, and what it would lose with
// the leader. Nodes of an earlier version don't know this message and are not sent it.
type StandbyState struct {
	Cell int
	// Tasks lists the tasks in flight.
	Tasks []StandbyTasks
	// Ended is true if the sender sends no more, since it leads no longer or has another standby.
	Ended bool
	// Snapshot is true if the fields below are set. They are not in every message.
	Snapshot bool
	// Shares and Bookings are the served shares and the open bookings, as encoded by the leader.
	Shares   []byte
	Bookings []byte
	// Retries holds the recent requests and retries of each stage service.
	Retries []StandbyRetries
}

// StandbyTasks lists the tasks that a node has in flight at a leader.
type StandbyTasks struct {
	Node        string
	Incarnation uint64
	// Packed holds the tasks as packed by standby.Pack.
	Packed []byte
}

// StandbyRetries holds the requests to a service and their retries within the window of the retry
// budget, by part of the window, the newest first.
type StandbyRetries struct {
	Service  string
	Requests []int
	Retries  []int
}

// LeaderChanged reports that its sender leads a cell in place of a leader that does not respond. Nodes
// of an earlier version don't know this message and are not sent it.
type LeaderChanged struct {
	Cell int
	// Lost and LostIncarnation identify the leader that does not respond.
	Lost            string
	LostIncarnation uint64
}

func (StandbyState) kind() kind  { return kindStandbyState }
func (LeaderChanged) kind() kind { return kindLeaderChanged }
