package endpoints

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// State is what an endpoint tells of itself.
type State struct {
	// Leaving endpoints take no new work.
	Leaving bool `json:"leaving"`
	// Busy is the number of calls that run or wait there.
	Busy float64 `json:"busy"`
	// Versions are the models that an engine holds or loads.
	Versions []string `json:"versions"`
	// Loading is true while an engine carries an order out.
	Loading bool `json:"loading"`
}

// StateReader asks endpoints for their state; HTTP is the one adapter so far.
type StateReader interface {
	State(ctx context.Context, address string) (State, error)
}

const maxState = 64 << 10

// State implements StateReader.
func (h *HTTP) State(ctx context.Context, address string) (State, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/state", nil)
	if err != nil {
		return State{}, err
	}
	resp, err := h.reuse.RoundTrip(req)
	if err != nil {
		return State{}, fmt.Errorf("state of %s: %w", address, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxState))
	if err != nil {
		return State{}, fmt.Errorf("state of %s: %w", address, err)
	}
	if resp.StatusCode != http.StatusOK {
		return State{}, fmt.Errorf("state of %s: status %d", address, resp.StatusCode)
	}
	var s State
	if err := json.Unmarshal(data, &s); err != nil {
		return State{}, fmt.Errorf("state of %s: %w", address, err)
	}
	return s, nil
}
