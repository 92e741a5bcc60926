package endpoints

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"gradetiller.example/internal/bounded"
	"gradetiller.example/internal/httpstrict"
)

// State is the state that an endpoint reports.
type State struct {
	// Draining is true if the endpoint is draining and accepts no new calls.
	Draining bool `json:"leaving"`
	// Busy is the number of calls that are running or queued at the endpoint.
	Busy float64 `json:"busy"`
	// Versions are the model versions that an engine holds or is loading.
	Versions []string `json:"versions"`
	// Loading is true while an engine executes a load order.
	Loading bool `json:"loading"`
}

// StateReader reads the state of endpoints. HTTP implements it.
type StateReader interface {
	State(ctx context.Context, address string) (State, error)
}

const maxStateBytes = 64 << 10

// State implements StateReader.
func (h *HTTP) State(ctx context.Context, address string) (State, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/state", nil)
	if err != nil {
		return State{}, err
	}
	resp, err := httpstrict.Transport(h.pooled).RoundTrip(req)
	if err != nil {
		return State{}, fmt.Errorf("state of %s: %w", address, err)
	}
	defer resp.Body.Close()
	data, err := bounded.ReadAll(resp.Body, maxStateBytes)
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
