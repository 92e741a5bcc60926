package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"
)

const loadTime = 200 * time.Millisecond

// OrderCounts counts what orders did to one engine.
type OrderCounts struct {
	Loads   int `json:"loads"`
	Stale   int `json:"stale"`   // carried out although a higher epoch was seen
	Refused int `json:"refused"` // refused for that reason
}

type orderBody struct {
	Op       string   `json:"op"`
	Epoch    uint64   `json:"epoch"`
	Versions []string `json:"versions"`
}

// models is the part of an engine that takes orders.
type models struct {
	checks   bool
	versions []string
	op       string
	epoch    uint64
	ready    time.Time
	orders   OrderCounts
}

func (m *models) loading() bool { return time.Now().Before(m.ready) }

func (m *models) take(o orderBody) bool {
	if o.Epoch < m.epoch {
		if m.checks {
			m.orders.Refused++
			return false
		}
		m.orders.Stale++
	}
	m.epoch = max(m.epoch, o.Epoch)
	if o.Op == m.op && slices.Equal(m.versions, o.Versions) {
		return true
	}
	m.orders.Loads++
	m.op, m.versions, m.ready = o.Op, o.Versions, time.Now().Add(loadTime)
	return true
}

// SetEpochCheck makes the engine refuse orders of an earlier epoch.
func (e *Endpoint) SetEpochCheck(checks bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.models.checks = checks
}

// Restart makes the engine lose its models, as a new process would.
func (e *Endpoint) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.models = models{checks: e.models.checks, orders: e.models.orders}
}

// Orders returns the counts.
func (e *Endpoint) Orders() OrderCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.models.orders
}

// Versions returns the models that are loaded.
func (e *Endpoint) Versions() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.models.loading() {
		return nil
	}
	return e.models.versions
}

func (e *Endpoint) order(w http.ResponseWriter, r *http.Request) {
	var o orderBody
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	taken := e.models.take(o)
	e.mu.Unlock()
	if !taken {
		w.WriteHeader(http.StatusConflict)
	}
}
