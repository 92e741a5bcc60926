package wire

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"

	"github.com/vmihailenco/msgpack/v5"
)

// maxUnpackedWorkers bounds the size of a decompressed list of endpoints in bytes, so that a small
// message cannot exhaust memory. The largest list, of maxElements, has 256 for each.
const maxUnpackedWorkers = 16 << 20

// PackWorkers compresses a whole list of endpoints, which a node sends to every other that starts.
func PackWorkers(list []Worker) ([]byte, error) {
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	enc := msgpack.NewEncoder(w)
	enc.UseArrayEncodedStructs(true)
	enc.UseCompactInts(true)
	if err := enc.Encode(list); err != nil {
		return nil, fmt.Errorf("encode endpoints: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress endpoints: %w", err)
	}
	return out.Bytes(), nil
}

// WorkerReader decodes a list that was compressed by PackWorkers, one endpoint at a time, without
// holding the decompressed bytes.
type WorkerReader struct {
	dec   *msgpack.Decoder
	count int
}

// NewWorkerReader returns a reader of a compressed list. The error wraps ErrFrame.
func NewWorkerReader(data []byte) (*WorkerReader, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, fmt.Errorf("%w: decompress endpoints: %w", ErrFrame, err)
	}
	dec := msgpack.NewDecoder(io.LimitReader(r, maxUnpackedWorkers))
	count, err := dec.DecodeArrayLen()
	if err != nil || count < 0 || count > maxElements {
		return nil, fmt.Errorf("%w: list of %d endpoints, the maximum is %d: %v", ErrFrame, count, maxElements, err)
	}
	return &WorkerReader{dec: dec, count: count}, nil
}

// Len returns the number of endpoints that the list declares.
func (r *WorkerReader) Len() int { return r.count }

// Next decodes the next endpoint. The error wraps ErrFrame.
func (r *WorkerReader) Next() (Worker, error) {
	var w Worker
	if err := r.dec.Decode(&w); err != nil {
		return Worker{}, fmt.Errorf("%w: endpoint: %w", ErrFrame, err)
	}
	return w, nil
}
