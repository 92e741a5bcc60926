package standin

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"time"

	"gradetiller.example/config"
	"gradetiller.example/internal/platform"
)

// World simulates a platform and all endpoints of a configuration.
type World struct {
	platform  *Platform
	counts    *Counts
	endpoints map[string]*Endpoint
}

// fullSpeedCost is the cost from which on an engine has full speed.
const fullSpeedCost = 4

// DefaultLatency is the default latency of an endpoint. Cheaper engines are
// slower, by the square root of the price ratio.
func DefaultLatency(pool *config.Pool, e *config.Endpoint) Latency {
	if pool.Kind() != config.KindEngine {
		return Latency{Base: 8 * time.Millisecond}
	}
	slower := max(1, math.Sqrt(fullSpeedCost/e.Cost()))
	return Latency{
		Base:          time.Duration(slower * float64(30*time.Millisecond)),
		Token:         time.Duration(slower * float64(2*time.Millisecond)),
		BatchSlowdown: 0.05,
		Cache:         8,
	}
}

// NewWorld returns stand-ins for the platform and for every endpoint of the configuration.
func NewWorld(seed uint64, cfg *config.Config, instances []platform.Instance, latency func(*config.Pool, *config.Endpoint) Latency) *World {
	w := &World{platform: NewPlatform(instances), counts: NewCounts(), endpoints: make(map[string]*Endpoint)}
	for i := range cfg.Pools() {
		pool := &cfg.Pools()[i]
		for j := range pool.Endpoints() {
			ep := &pool.Endpoints()[j]
			e := NewEndpoint(pool.Name(), ep.Name(), ep.Slots(), ep.Cost(), latency(pool, ep), seed+uint64(len(w.endpoints)), w.counts)
			e.SetEpochCheck(ep.ChecksOrders())
			w.endpoints[ep.Address()] = e
		}
	}
	return w
}

// Platform returns the simulated platform.
func (w *World) Platform() *Platform { return w.platform }

// Counts returns the counts of all endpoints.
func (w *World) Counts() *Counts { return w.counts }

// Endpoints returns the endpoints by address.
func (w *World) Endpoints() map[string]*Endpoint { return w.endpoints }

// InjectFault replaces the fault in force of the platform, of an endpoint by name, or
// of all endpoints of a pool.
func (w *World) InjectFault(spec FaultSpec) error {
	if err := spec.validate(); err != nil {
		return err
	}
	if spec.Target == "platform" {
		w.platform.InjectFault(spec)
		return nil
	}
	found := false
	for _, e := range w.endpoints {
		if e.name == spec.Target || e.pool == spec.Target {
			e.InjectFault(spec)
			found = true
		}
	}
	if !found {
		return fmt.Errorf("unknown target %q, expected platform, an endpoint or a pool", spec.Target)
	}
	return nil
}

// Admin returns the handler for the platform, the injection of faults and the counts.
func (w *World) Admin() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", w.platform.Handler())
	mux.HandleFunc("POST /admin/fault", func(rw http.ResponseWriter, r *http.Request) {
		var spec FaultSpec
		err := json.NewDecoder(r.Body).Decode(&spec)
		if err == nil {
			err = w.InjectFault(spec)
		}
		if err != nil {
			http.Error(rw, err.Error(), http.StatusBadRequest)
		}
	})
	mux.HandleFunc("GET /admin/counts", func(rw http.ResponseWriter, _ *http.Request) {
		writeJSON(rw, http.StatusOK, w.counts.All())
	})
	mux.HandleFunc("GET /admin/cost", func(rw http.ResponseWriter, _ *http.Request) {
		writeJSON(rw, http.StatusOK, w.counts.Cost())
	})
	mux.HandleFunc("GET /admin/orders", func(rw http.ResponseWriter, _ *http.Request) {
		var sum OrderCounts
		for _, e := range w.endpoints {
			o := e.Orders()
			sum.Loads += o.Loads
			sum.Stale += o.Stale
			sum.Refused += o.Refused
		}
		writeJSON(rw, http.StatusOK, sum)
	})
	mux.HandleFunc("GET /admin/usage", func(rw http.ResponseWriter, _ *http.Request) {
		writeJSON(rw, http.StatusOK, w.platform.Usage())
	})
	return mux
}
