package wire

// RelayOpen asks a node to open a connection to an endpoint and to relay what is sent on the
// connection on which it arrives, which carries nothing else afterwards. Nodes of an earlier version
// don't know this message and are not sent it.
type RelayOpen struct {
	Endpoint string
}

// RelayOpened answers a RelayOpen. If Result is not RelayConnected, the connection is closed.
type RelayOpened struct {
	Result RelayResult
}

// RelayResult is the result of a RelayOpen.
type RelayResult uint8

const (
	// RelayConnected means that the connection is open. Frames follow in both directions.
	RelayConnected RelayResult = iota
	// RelayNoPath means that the endpoint can't be reached from the node, although it reaches
	// others.
	RelayNoPath
	// RelayUnavailable means that the node does not relay to the endpoint now.
	RelayUnavailable
)

// String returns the name of the result as used in metrics.
func (r RelayResult) String() string {
	if r > RelayUnavailable {
		return "invalid"
	}
	return [...]string{"connected", "no_path", "unavailable"}[r]
}

// RelayBackoff tells a node that an endpoint asked for a backoff in an answer that the node relayed.
// The endpoint can't tell the nodes apart whose requests it gets from there.
type RelayBackoff struct {
	Endpoint string
	// Remaining is in milliseconds.
	Remaining int64
}

func (RelayOpen) kind() kind    { return kindRelayOpen }
func (RelayOpened) kind() kind  { return kindRelayOpened }
func (RelayBackoff) kind() kind { return kindRelayBackoff }
