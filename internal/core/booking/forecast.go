package booking

import (
	"math"
	"time"
)

const (
	// forecastDecay is the time constant with which the rate of the last second returns to the
	// average. Bursts last 4 to 7 s.
	forecastDecay = 3 * time.Second
	// averageSlots and recentSlots are the slots of the average and of the present rate.
	averageSlots = int64(20 * time.Second / slotLength)
	recentSlots  = int64(time.Second / slotLength)
	// ringSlots includes the present slot.
	ringSlots = averageSlots + 1
	// maxRoutes bounds the routes that are told apart. Further ones share one entry.
	maxRoutes  = 64
	otherRoute = ""
)

// forecast predicts the work of new requests.
type forecast struct {
	routes map[string]map[string]*history
	// since is the slot of the first request; the average covers no time before it.
	since int64
}

// history counts the pieces of one route and service in each slot.
type history struct {
	pieces [ringSlots]int
	// last is the latest slot that is counted.
	last int64
}

func newForecast() forecast { return forecast{routes: make(map[string]map[string]*history)} }

// observe records the work of a new request.
func (f *forecast) observe(now time.Time, route string, work []Work) {
	slot := slotOf(now)
	if len(f.routes) == 0 {
		f.since = slot
	}
	services, known := f.routes[route]
	if !known && len(f.routes) >= maxRoutes {
		route = otherRoute
		services = f.routes[route]
	}
	if services == nil {
		services = make(map[string]*history)
		f.routes[route] = services
	}
	for _, w := range work {
		h := services[w.Service]
		if h == nil {
			h = &history{last: slot}
			services[w.Service] = h
		}
		h.advance(slot)
		h.pieces[slot%ringSlots] += w.Pieces
	}
}

// outlook is the expected demand for a service, in pieces per second.
type outlook struct{ recent, average float64 }

// rate returns the expected rate at a time ahead of now.
func (o outlook) rate(ahead time.Duration) float64 {
	return o.average + (o.recent-o.average)*math.Exp(-ahead.Seconds()/forecastDecay.Seconds())
}

// pieces returns how many pieces are expected within the given time.
func (o outlook) pieces(within time.Duration) float64 {
	extra := (o.recent - o.average) * forecastDecay.Seconds()
	return o.average*within.Seconds() + extra*(1-math.Exp(-within.Seconds()/forecastDecay.Seconds()))
}

// outlook returns the expected demand of the new requests of all routes for a service.
func (f *forecast) outlook(now time.Time, service string) outlook {
	slot := slotOf(now)
	var sum outlook
	for _, services := range f.routes {
		if h := services[service]; h != nil {
			h.advance(slot)
			sum.recent += h.perSecond(slot, min(recentSlots, slot-f.since))
			sum.average += h.perSecond(slot, min(averageSlots, slot-f.since))
		}
	}
	return sum
}

// perSecond returns the average over the n slots before the given one, which is not over yet.
func (h *history) perSecond(slot, n int64) float64 {
	sum := 0
	for i := slot - n; i < slot; i++ {
		sum += h.pieces[i%ringSlots]
	}
	return float64(sum) / (float64(max(n, 1)) * slotLength.Seconds())
}

// advance clears the slots that have passed without a request.
func (h *history) advance(slot int64) {
	for i := max(h.last+1, slot-ringSlots+1); i <= slot; i++ {
		h.pieces[i%ringSlots] = 0
	}
	h.last = max(h.last, slot)
}
