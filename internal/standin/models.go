package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"
)

const modelLoadTime = 200 * time.Millisecond

// OrderCounts counts the effects of orders on one engine.
type OrderCounts struct {
	Loads   int `json:"loads"`
	Stale   int `json:"stale"`   // carried out although a higher epoch had been seen
	Refused int `json:"refused"` // refused because a higher epoch had been seen
}

type orderRequest struct {
	Op       string   `json:"op"`
	Epoch    uint64   `json:"epoch"`
	Versions []string `json:"versions"`
}

// modelState holds the models of an engine, which orders load and unload.
type modelState struct {
	checkEpoch bool
	versions   []string
	lastOp     string
	epoch      uint64
	readyAt    time.Time
	orders     OrderCounts
}

func (m *modelState) loading() bool { return time.Now().Before(m.readyAt) }

// apply carries out an order and returns false if it is refused.
func (m *modelState) apply(o orderRequest) bool {
	if o.Epoch < m.epoch {
		if m.checkEpoch {
			m.orders.Refused++
			return false
		}
		m.orders.Stale++
	}
	m.epoch = max(m.epoch, o.Epoch)
	if o.Op == m.lastOp && slices.Equal(m.versions, o.Versions) {
		return true
	}
	m.orders.Loads++
	m.lastOp, m.versions, m.readyAt = o.Op, o.Versions, time.Now().Add(modelLoadTime)
	return true
}

// SetEpochCheck sets whether the engine refuses orders of an earlier epoch.
func (e *Endpoint) SetEpochCheck(enabled bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.models.checkEpoch = enabled
}

// Restart simulates a restart of the engine process, which loses its models.
func (e *Endpoint) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.models = modelState{checkEpoch: e.models.checkEpoch, orders: e.models.orders}
}

// Orders returns the counts of orders.
func (e *Endpoint) Orders() OrderCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.models.orders
}

// Versions returns the loaded model versions, or nil while they are loading.
func (e *Endpoint) Versions() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.models.loading() {
		return nil
	}
	return e.models.versions
}

func (e *Endpoint) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o orderRequest
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	accepted := e.models.apply(o)
	e.mu.Unlock()
	if !accepted {
		w.WriteHeader(http.StatusConflict)
	}
}
