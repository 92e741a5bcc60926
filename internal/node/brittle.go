package node

import (
	"cmp"
	"net/http"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"gradetiller.example/internal/core/brittle"
	"gradetiller.example/internal/core/catalog"
	"gradetiller.example/internal/core/intake"
	"gradetiller.example/internal/core/signal"
)

// brittleServices is a brittle.Services for concurrent use.
type brittleServices struct {
	mu       sync.Mutex
	services *brittle.Services
}

func newBrittleServices() *brittleServices { return &brittleServices{services: brittle.NewServices()} }

func (b *brittleServices) observe(now time.Time, service string, isBrittle bool) (changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.services.Observe(now, service, isBrittle)
}

func (b *brittleServices) active(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.services.Active(time.Now(), service)
}

// known reports whether the endpoints of any service are or were brittle.
func (b *brittleServices) known() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.services.Known()
}

// count returns the number of services whose endpoints are brittle.
func (b *brittleServices) count() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.services.Len(time.Now())
}

// observeBrittle records whether a response says that its endpoint is brittle. A failure that doesn't
// may come from a proxy in front of the endpoint.
func (n *Node) observeBrittle(endpoint string, status int, s signal.Brittle) {
	to, ok := n.targetOf(endpoint)
	if !ok || !s.Known && status >= http.StatusMultipleChoices {
		return
	}
	if n.brittle.observe(time.Now(), to.Service, s.Known) {
		n.log.Info(eventBrittleChanged, zap.String("service", to.Service), zap.Bool("brittle", s.Known), zap.Float64("max_rejected", s.MaxRejected))
		n.ratesChanged.Store(true)
	}
}

// slotSource returns how many calls may be in flight at each endpoint of a service in a view.
type slotSource func(v *view, service catalog.Service) func(*catalog.Endpoint) int

// ownSlots is the slotSource of calls that this node places for its own requests.
func (n *Node) ownSlots(v *view, service catalog.Service) func(*catalog.Endpoint) int {
	if !n.brittle.active(service.Name) {
		return allSlots
	}
	share, placing := n.share.Load(), v.config.Placing(service.Name)
	index := v.endpointIndex(service.Name)
	return func(e *catalog.Endpoint) int {
		slots := max(e.Slots, 1)
		if placing != intake.ByNodes {
			slots -= brittle.LeaderSlots(slots, placing == intake.ByLeaders)
		}
		own := brittle.NodeSlots(slots, index[e.ID], share.rank, share.nodes)
		if own == 0 && len(index)*slots < share.nodes && index[e.ID] == share.rank%len(index) {
			// There are fewer slots than nodes, and no other endpoint has one for this node.
			return 1
		}
		return own
	}
}

// leaderSlots is the slotSource of calls that this node places as a leader.
func (n *Node) leaderSlots(v *view, service catalog.Service) func(*catalog.Endpoint) int {
	if !n.brittle.active(service.Name) {
		return allSlots
	}
	all := v.config.Placing(service.Name) == intake.ByLeaders
	led, cells := max(n.cellsLed(), 1), v.cellCount()
	return func(e *catalog.Endpoint) int {
		return max(brittle.LeaderSlots(max(e.Slots, 1), all)*led/max(cells, led), 1)
	}
}

func allSlots(e *catalog.Endpoint) int { return max(e.Slots, 1) }

// endpointIndex returns the position of each endpoint of a service in the order of their IDs.
func (v *view) endpointIndex(service string) map[string]int {
	var list []*catalog.Endpoint
	for e := range v.endpoints.All() {
		if e.Service == service {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b *catalog.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	index := make(map[string]int, len(list))
	for k, e := range list {
		index[e.ID] = k
	}
	return index
}

// unsharedSlots is the slotSource of endpoints that are not brittle.
func unsharedSlots(*view, catalog.Service) func(*catalog.Endpoint) int { return allSlots }
