// Package brittle divides the slots of endpoints that fail if they must reject too many requests.
//
// At times, the endpoints of a service let few requests or none wait, and fail if they have to reject
// more than some in a second. Nodes can't see each other's requests, and a rate says little about how
// many of them run at the same time. So each node is given slots of its own: all nodes together never
// send an endpoint more than it works on, and it rejects nothing. Requests that find no slot wait at
// their node.
//
// All endpoints of a service are brittle at the same time, also those that have just restarted and have
// not answered yet, so the state is kept by service. A node learns it from its first answer; until then
// it sends an endpoint little.
//
// # Usage
//
//	services := brittle.NewServices()
//	changed := services.Observe(now, service, isBrittle)
//	if services.Active(now, service) {
//		slots := brittle.NodeSlots(all, index, rank, nodes)
//	}
package brittle

import "time"

// activePeriod is how long a service counts as brittle after the last answer that said so. Answers end
// it sooner; a node that gets none needs no more than its slots.
const activePeriod = 30 * time.Second

// Services holds the services whose endpoints are brittle. It is not safe for concurrent use.
type Services struct {
	seen  map[string]time.Time
	known bool
}

// NewServices returns an empty set.
func NewServices() *Services { return &Services{seen: make(map[string]time.Time)} }

// Observe records whether an answer says that the endpoints of a service are brittle, and reports whether
// that has changed.
func (s *Services) Observe(now time.Time, service string, isBrittle bool) (changed bool) {
	before := s.Active(now, service)
	if isBrittle {
		s.seen[service], s.known = now, true
	} else {
		delete(s.seen, service)
	}
	return before != isBrittle
}

// Active reports whether the endpoints of a service are brittle.
func (s *Services) Active(now time.Time, service string) bool {
	at, ok := s.seen[service]
	return ok && now.Sub(at) < activePeriod
}

// Known reports whether any answer said that its endpoint is brittle.
func (s *Services) Known() bool { return s.known }

// Len returns the number of services whose endpoints are brittle.
func (s *Services) Len(now time.Time) int {
	n := 0
	for service := range s.seen {
		if s.Active(now, service) {
			n++
		}
	}
	return n
}

// NodeSlots returns how many requests one of some nodes may have in flight at an endpoint of which all
// nodes together use slots. The index is that of the endpoint in an order of its service that all nodes
// agree on, and rank that of the node. Slots are dealt to the nodes in turn over all endpoints, so that
// each node has as many as any other, or one more or less.
func NodeSlots(slots, index, rank, nodes int) int {
	nodes = max(nodes, 1)
	first := (rank - index*slots%nodes + nodes) % nodes
	if first >= slots {
		return 0
	}
	return 1 + (slots-1-first)/nodes
}

const (
	// leadersShare is the part of the slots that leaders use if they place all requests of a service,
	// and mixedShare if nodes place some.
	leadersShare = 0.9
	mixedShare   = 0.5
)

// LeaderSlots returns how many of an endpoint's slots the leaders of all cells use together. The nodes
// use the others for what they place themselves.
func LeaderSlots(slots int, placeAll bool) int {
	if placeAll {
		return int(leadersShare * float64(slots))
	}
	return int(mixedShare * float64(slots))
}

const (
	// minPause and maxPause bound Pause.
	minPause = 400 * time.Millisecond
	maxPause = 5 * time.Second
	// pauseSenders is how many leaders may call a stage endpoint at the same time.
	pauseSenders = 2
)

// Pause returns how long a leader leaves a brittle stage endpoint alone that rejected a call, so that the
// endpoint doesn't reject more than it bears in a second.
func Pause(maxRejected float64) time.Duration {
	if maxRejected <= 0 {
		return maxPause
	}
	return min(max(time.Duration(pauseSenders/maxRejected*float64(time.Second)), minPause), maxPause)
}
