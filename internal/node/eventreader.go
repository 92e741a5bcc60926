package node

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"gradetiller.example/internal/bounded"
	"gradetiller.example/internal/core/membudget"
)

// maxEventBytes bounds a single event of a stream.
const maxEventBytes = 1 << 20

// errEventIDTooLarge means that the line with an event's ID is longer than the read buffer.
var errEventIDTooLarge = errors.New("event ID exceeds 4 KiB")

// eventReader reads the events of a stream and holds one at a time. An event that is not complete within
// maxEventBytes, or finds no room in the memory, is an error.
type eventReader struct {
	in    *bufio.Reader
	event *bounded.Buffer
	// id is that of the event's first ID line, or "".
	id    string
	hasID bool
	// blank is true while only white space was read since the last event.
	blank bool
}

func newEventReader(body io.Reader, r *membudget.Reservation) *eventReader {
	return &eventReader{in: bufio.NewReader(body), event: bounded.NewBuffer(r, maxEventBytes), blank: true}
}

// next reads the next event, in place of the one before. The error is io.EOF if the stream ended, within an event
// unless isBlank.
func (r *eventReader) next() error {
	r.event.Reset()
	r.id, r.hasID, r.blank = "", false, true
	for {
		empty, err := r.readLine()
		if err != nil || empty {
			return err
		}
	}
}

// readLine adds a line to the event, and reports whether it is the empty one that ends the event.
func (r *eventReader) readLine() (empty bool, err error) {
	empty = true
	for first := true; ; first = false {
		part, err := r.in.ReadSlice('\n')
		if _, writeErr := r.event.Write(part); writeErr != nil {
			return false, writeErr
		}
		empty = empty && len(bytes.TrimRight(part, "\r\n")) == 0
		r.blank = r.blank && len(bytes.TrimSpace(part)) == 0
		isID := first && !r.hasID && bytes.HasPrefix(part, idField)
		if isID {
			r.id, r.hasID = string(bytes.TrimSpace(part[len(idField):])), true
		}
		switch {
		case err == nil:
			return empty, nil
		case !errors.Is(err, bufio.ErrBufferFull):
			return false, err
		case isID:
			return false, errEventIDTooLarge
		}
	}
}

// isBlank reports whether nothing but white space was read since the last event.
func (r *eventReader) isBlank() bool { return r.blank }

var idField = []byte("id:")
