package wire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/vmihailenco/msgpack/v5"
)

// MaxFrame is the maximum size of a frame's type and body in bytes. A full configuration must
// fit.
const MaxFrame = 8 << 20

const (
	lengthSize = 4
	headerSize = lengthSize + 1
)

// ErrFrame is wrapped by every error about the content of a frame.
var ErrFrame = errors.New("invalid frame")

// Append appends the frame of a message to buf.
func Append(buf []byte, m Message) ([]byte, error) {
	body := bytes.NewBuffer(buf)
	body.Write([]byte{0, 0, 0, 0, byte(m.kind())})
	enc := msgpack.GetEncoder()
	defer msgpack.PutEncoder(enc)
	enc.Reset(body)
	enc.UseArrayEncodedStructs(true)
	enc.UseCompactInts(true)
	if err := encode(enc, m); err != nil {
		return buf, fmt.Errorf("encode message: %w", err)
	}
	frame := body.Bytes()
	size := len(frame) - len(buf) - lengthSize
	if size > MaxFrame {
		return buf, fmt.Errorf("%w: %d bytes, the maximum is %d", ErrFrame, size, MaxFrame)
	}
	binary.BigEndian.PutUint32(frame[len(buf):], uint32(size))
	return frame, nil
}

// Write writes a message as one frame, in a single call of w.Write.
func Write(w io.Writer, m Message) error {
	buf, err := Append(nil, m)
	if err != nil {
		return err
	}
	if _, err := w.Write(buf); err != nil {
		return fmt.Errorf("write frame: %w", err)
	}
	return nil
}

// Read reads one frame and returns a pointer to the message that it holds.
func Read(r io.Reader) (Message, error) {
	var header [headerSize]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, fmt.Errorf("read frame header: %w", err)
	}
	size := binary.BigEndian.Uint32(header[:lengthSize])
	if size < 1 || size > MaxFrame {
		return nil, fmt.Errorf("%w: length %d, expected 1 to %d bytes", ErrFrame, size, MaxFrame)
	}
	m := newMessage(kind(header[4]))
	if m == nil {
		return nil, fmt.Errorf("%w: unknown message type %d", ErrFrame, header[4])
	}
	body, err := readBody(r, int(size)-1)
	if err != nil {
		return nil, err
	}
	if err := checkBody(body); err != nil {
		return nil, err
	}
	if err := unmarshal(body, m); err != nil {
		return nil, err
	}
	return m, nil
}

// readBody reads size bytes. It grows its buffer as bytes arrive, so that a frame that declares
// a false length costs no memory.
func readBody(r io.Reader, size int) ([]byte, error) {
	const step = 64 << 10
	body := make([]byte, 0, min(size, step))
	for len(body) < size {
		n := min(size-len(body), step)
		start := len(body)
		body = append(body, make([]byte, n)...)
		if _, err := io.ReadFull(r, body[start:]); err != nil {
			return nil, fmt.Errorf("read frame body: %w", err)
		}
	}
	return body, nil
}
