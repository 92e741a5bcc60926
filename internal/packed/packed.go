// Package packed compresses configurations for transfer between processes and for the store.
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

// maxUnpacked is the maximum size of a decompressed configuration in bytes, so that a small message
// cannot exhaust memory.
const maxUnpacked = 8 << 20

// Pack compresses a configuration. Configurations are always sent in full: at 670 changes a day they
// are most of the control traffic of a process, and a node that starts waits for one.
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

// Unpack decompresses a configuration that was compressed by Pack.
func Unpack(packed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, fmt.Errorf("decompress configuration: %w", err)
	}
	data, err := io.ReadAll(io.LimitReader(r, maxUnpacked+1))
	if err != nil {
		return nil, fmt.Errorf("decompress configuration: %w", err)
	}
	if len(data) > maxUnpacked {
		return nil, fmt.Errorf("decompress configuration: more than %d bytes", maxUnpacked)
	}
	return data, nil
}
