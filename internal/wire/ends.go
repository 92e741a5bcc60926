package wire

// Refusal is a request that is refused since it crashes endpoints. Left is how long it is
// refused still, in milliseconds; the rest is poison.Refusal.
type Refusal struct {
	Request  []byte
	Version  uint64
	Left     int64
	Times    int
	Pardoned bool
}

// RequestEnds is what a node knows of the endpoints that ended under a request.
type RequestEnds struct {
	Request []byte
	// Ended endpoints ended while the request ran there; Alive ones were said to have and
	// did not.
	Ended []string
	Alive []string
	// Served tells that the request was served well, so that no end counts against it.
	Served bool
}

// Ends tells the nodes that count them of endpoints that ended under requests.
type Ends struct {
	Requests []RequestEnds
}

func (Ends) kind() kind { return kindEnds }
