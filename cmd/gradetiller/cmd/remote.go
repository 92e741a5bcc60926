package cmd

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"gradetiller.example/internal/control"
)

// askTimeout bounds an exchange, an apply too; a test shortens it.
var askTimeout = 30 * time.Second

// ask makes one exchange with a control process.
func (r *remote) ask(method, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return err
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequest(method, "http://"+r.Control.String()+path, body)
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+r.Token)
	client := &http.Client{Transport: &http.Transport{}, Timeout: askTimeout}
	resp, err := client.Do(req)
	if err != nil {
		return fmt.Errorf("control process %s does not answer: %w", r.Control, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return remoteError(resp.StatusCode, data)
	}
	return json.Unmarshal(data, out)
}

func remoteError(status int, data []byte) error {
	var body control.ErrorResponse
	if json.Unmarshal(data, &body) != nil || body.Error == "" {
		body.Error = fmt.Sprintf("control process answered status %d", status)
	}
	err := errors.New(body.Error)
	switch status {
	case http.StatusConflict:
		return &statusError{status: ExitConflict, err: err}
	case http.StatusGatewayTimeout:
		return &statusError{status: ExitUnknown, err: err}
	}
	return err
}
