// Package packed compresses configurations for the way between processes and to
// the store.
//
// # Usage
//
//	small, err := packed.Pack(data)
//	data, err = packed.Unpack(small)
package packed

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
)

// maxUnpacked bounds a configuration after unpacking, so that a small message
// cannot fill the memory.
const maxUnpacked = 8 << 20

// Pack compresses a configuration. Whole files are most of what a process sends for
// control at 670 changes a day, and what a node waits for that has just started.
func Pack(data []byte) ([]byte, error) {
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// Unpack returns what was packed.
func Unpack(packed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, fmt.Errorf("unpack configuration: %w", err)
	}
	data, err := io.ReadAll(io.LimitReader(r, maxUnpacked+1))
	if err != nil {
		return nil, fmt.Errorf("unpack configuration: %w", err)
	}
	if len(data) > maxUnpacked {
		return nil, fmt.Errorf("unpack configuration: more than %d bytes", maxUnpacked)
	}
	return data, nil
}
