package wire

import (
	"encoding/binary"
	"fmt"
)

const (
	// maxElements bounds an array or map of a message. The codec allocates an array by its
	// declared length before it reads the elements, so lengths are checked before decoding.
	maxElements = 1 << 16
	maxDepth    = 8
)

// checkBody checks that body is exactly one msgpack value, and that every length that it
// declares is bounded and covered by the bytes that follow.
func checkBody(body []byte) error {
	rest, err := skipValue(body, 0)
	if err != nil {
		return err
	}
	if len(rest) > 0 {
		return fmt.Errorf("%w: %d trailing bytes after the message", ErrFrame, len(rest))
	}
	return nil
}

// skipValue returns the bytes after the first value. The format bytes are those of the msgpack
// specification.
func skipValue(b []byte, depth int) ([]byte, error) {
	if len(b) == 0 || depth > maxDepth {
		return nil, fmt.Errorf("%w: value is truncated or nested too deeply", ErrFrame)
	}
	c, rest := b[0], b[1:]
	switch {
	case c <= 0x7f || c >= 0xe0 || c == 0xc0 || c == 0xc2 || c == 0xc3:
		return rest, nil
	case c <= 0x8f:
		return skipElements(rest, 2*int(c&0x0f), depth)
	case c <= 0x9f:
		return skipElements(rest, int(c&0x0f), depth)
	case c <= 0xbf:
		return skipBytes(rest, int(c&0x1f))
	}
	switch c {
	case 0xc4, 0xd9:
		return skipSized(rest, 1, 0)
	case 0xc5, 0xda:
		return skipSized(rest, 2, 0)
	case 0xc6, 0xdb:
		return skipSized(rest, 4, 0)
	case 0xc7:
		return skipSized(rest, 1, 1)
	case 0xc8:
		return skipSized(rest, 2, 1)
	case 0xc9:
		return skipSized(rest, 4, 1)
	case 0xcc, 0xd0:
		return skipBytes(rest, 1)
	case 0xcd, 0xd1, 0xd4:
		return skipBytes(rest, 2)
	case 0xd5:
		return skipBytes(rest, 3)
	case 0xca, 0xce, 0xd2:
		return skipBytes(rest, 4)
	case 0xd6:
		return skipBytes(rest, 5)
	case 0xcb, 0xcf, 0xd3:
		return skipBytes(rest, 8)
	case 0xd7:
		return skipBytes(rest, 9)
	case 0xd8:
		return skipBytes(rest, 17)
	case 0xdc, 0xdd, 0xde, 0xdf:
		return skipContainer(c, rest, depth)
	}
	return nil, fmt.Errorf("%w: unknown msgpack format %#x", ErrFrame, c)
}

func skipContainer(c byte, b []byte, depth int) ([]byte, error) {
	width := 2
	if c == 0xdd || c == 0xdf {
		width = 4
	}
	count, rest, err := readLength(b, width)
	if err != nil {
		return nil, err
	}
	if c == 0xde || c == 0xdf {
		count *= 2
	}
	return skipElements(rest, count, depth)
}

func skipElements(b []byte, count, depth int) ([]byte, error) {
	if count > maxElements || count > len(b) {
		return nil, fmt.Errorf("%w: %d elements declared in %d bytes, the maximum is %d", ErrFrame, count, len(b), maxElements)
	}
	var err error
	for range count {
		if b, err = skipValue(b, depth+1); err != nil {
			return nil, err
		}
	}
	return b, nil
}

// skipSized skips a length of the given width, and as many bytes as it declares plus extra.
func skipSized(b []byte, width, extra int) ([]byte, error) {
	size, rest, err := readLength(b, width)
	if err != nil {
		return nil, err
	}
	return skipBytes(rest, size+extra)
}

func readLength(b []byte, width int) (int, []byte, error) {
	if len(b) < width {
		return 0, nil, fmt.Errorf("%w: truncated length", ErrFrame)
	}
	switch width {
	case 1:
		return int(b[0]), b[1:], nil
	case 2:
		return int(binary.BigEndian.Uint16(b)), b[2:], nil
	}
	return int(binary.BigEndian.Uint32(b)), b[4:], nil
}

func skipBytes(b []byte, n int) ([]byte, error) {
	if n > len(b) {
		return nil, fmt.Errorf("%w: %d bytes declared, only %d present", ErrFrame, n, len(b))
	}
	return b[n:], nil
}
