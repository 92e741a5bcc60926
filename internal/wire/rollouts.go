package wire

// Rollout is an ordered rollout. Revision is the store revision of the order, Duration the time from
// the order to its deadline in milliseconds, and Age the time since the sender learned of the order.
type Rollout struct {
	Service  string
	Version  string
	Duration int64
	Revision uint64
	Age      int64
}

// RolloutCounts counts the answers of one route in one arm of a rollout.
type RolloutCounts struct {
	Route     string
	Arm       int
	Answers   uint32
	Failures  uint32
	Latencies []uint32
}

// RolloutReport tells the node that decides about a rollout what its sender has counted since the
// order. It is answered with a RolloutStage.
type RolloutReport struct {
	Service  string
	Revision uint64
	Counts   []RolloutCounts
	// Unfinished is the number of requests that the sender has at endpoints of other versions.
	Unfinished int
	// Phase is the phase that the sender knows, and Age the time since it learned of the order, in
	// milliseconds.
	Phase int
	Age   int64
}

// RolloutStage states how far a rollout has come.
type RolloutStage struct {
	Service  string
	Revision uint64
	Phase    int
	Share    float64
}

func (RolloutReport) kind() kind { return kindRolloutReport }
func (RolloutStage) kind() kind  { return kindRolloutStage }
