package endpoints

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// LoadOrder asks an engine to hold exactly a set of versions.
type LoadOrder struct {
	// Op is the same for the same wish; an engine carries it out once.
	Op string `json:"op"`
	// Epoch is the holder's; engines that check refuse a lower one than seen.
	Epoch    uint64   `json:"epoch"`
	Versions []string `json:"versions"`
}

// Orderer gives orders to engines; HTTP is the one adapter so far.
type Orderer interface {
	Order(ctx context.Context, address string, o LoadOrder) error
}

// Order implements Orderer.
func (h *HTTP) Order(ctx context.Context, address string, o LoadOrder) error {
	body, err := json.Marshal(o)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/order", bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", contentJSON)
	resp, err := h.fresh.RoundTrip(req)
	if err != nil {
		return fmt.Errorf("order to %s: %w", address, err)
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxState))
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("order to %s: status %d", address, resp.StatusCode)
	}
	return nil
}
