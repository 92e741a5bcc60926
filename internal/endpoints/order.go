package endpoints

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"gradetiller.example/internal/httpstrict"
)

// LoadOrder instructs an engine to hold exactly the given model versions.
type LoadOrder struct {
	// Op identifies the operation. An engine executes an operation once, however
	// often it receives the order.
	Op string `json:"op"`
	// Epoch is the epoch of the sender's lease. Engines that check it refuse an
	// order with a lower epoch than they have seen.
	Epoch    uint64   `json:"epoch"`
	Versions []string `json:"versions"`
}

// OrderSender sends load orders to engines. HTTP implements it.
type OrderSender interface {
	SendOrder(ctx context.Context, address string, o LoadOrder) error
}

// SendOrder implements OrderSender.
func (h *HTTP) SendOrder(ctx context.Context, address string, o LoadOrder) error {
	body, err := json.Marshal(o)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/order", bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", contentJSON)
	resp, err := httpstrict.Transport(h.unpooled).RoundTrip(req)
	if err != nil {
		return fmt.Errorf("order to %s: %w", address, err)
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxStateBytes))
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("order to %s: status %d", address, resp.StatusCode)
	}
	return nil
}
