package node

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/iotest"

	"gradetiller.example/internal/bounded"
	"gradetiller.example/internal/core/membudget"
)

// parsedEvent is an event as a client sees it.
type parsedEvent struct{ text, id string }

// splitEvents returns the complete events of a stream and what follows the last one.
func splitEvents(text string) (events []parsedEvent, rest string) {
	event := ""
	for line := range strings.Lines(text) {
		event += line
		if strings.HasSuffix(line, "\n") && strings.Trim(line, "\r\n") == "" {
			id := ""
			for l := range strings.Lines(event) {
				if after, ok := strings.CutPrefix(l, "id:"); ok {
					id = strings.TrimSpace(after)
					break
				}
			}
			events, event = append(events, parsedEvent{event, id}), ""
		}
	}
	return events, event
}

// readStream reads a stream to its end.
func readStream(r *eventReader) (events []parsedEvent, err error) {
	for {
		if err := r.next(); err != nil {
			return events, err
		}
		var text bytes.Buffer
		if _, err := r.event.WriteTo(&text); err != nil {
			return events, err
		}
		events = append(events, parsedEvent{text.String(), r.id})
	}
}

// TestEventsAreReadWhole guards against events that are altered, split or joined because of where reads, buffers and
// chunks end, and against a stream that ends inside an event and looks complete.
func TestEventsAreReadWhole(t *testing.T) {
	parts := []string{"id: 7\n", "id:8\r\n", "id:\n", "data: x\n", "\n", "\r\n", ": comment\n", "data: " + strings.Repeat("y", 4090), strings.Repeat("z", 5000) + "\n", " \n", "\r", "event"}
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 1))
		var text strings.Builder
		for range 1 + random.IntN(20) {
			text.WriteString(parts[random.IntN(len(parts))])
		}
		want, rest := splitEvents(text.String())
		for name, wrap := range map[string]func(io.Reader) io.Reader{"whole": func(r io.Reader) io.Reader { return r }, "bytes": iotest.OneByteReader, "halves": iotest.HalfReader} {
			budget := membudget.New(1 << 20)
			reserved := budget.Reservation(membudget.Events)
			r := newEventReader(wrap(strings.NewReader(text.String())), reserved)
			got, err := readStream(r)
			if fmt.Sprint(got) != fmt.Sprint(want) || !errors.Is(err, io.EOF) {
				t.Fatalf("seed %d %s: %q reads as %q, %v; want %q", seed, name, text.String(), got, err, want)
			}
			if r.isBlank() != (strings.TrimSpace(rest) == "") {
				t.Fatalf("seed %d %s: blank %t after %q", seed, name, r.isBlank(), rest)
			}
			if reserved.Release(); budget.Held() != 0 {
				t.Fatalf("seed %d %s: %d bytes are held", seed, name, budget.Held())
			}
		}
	}
}

// TestEventsAreBounded guards against an event, a line or an ID without an end, of which a node holds more than the
// bound of one event, and against the memory of a large event that is kept for the small ones after it.
func TestEventsAreBounded(t *testing.T) {
	endless := func(block string) io.Reader { return &repeatingReader{block: block} }
	for name, c := range map[string]struct {
		body io.Reader
		want error
	}{
		"line":  {endless("x"), bounded.ErrLimit},
		"lines": {endless("data: x\n"), bounded.ErrLimit},
		"id":    {io.MultiReader(strings.NewReader("id: "), endless("x")), errEventIDTooLarge},
	} {
		budget := membudget.New(64 << 20)
		in := &countingReader{from: c.body}
		r := newEventReader(in, budget.Reservation(membudget.Events))
		if err := r.next(); !errors.Is(err, c.want) {
			t.Errorf("%s: %v, want %v", name, err, c.want)
		}
		if in.count > maxEventBytes+8<<10 || budget.Held() > maxEventBytes {
			t.Errorf("%s: %d bytes read and %d held, the bound of an event is %d", name, in.count, budget.Held(), maxEventBytes)
		}
	}
	budget := membudget.New(64 << 20)
	reserved := budget.Reservation(membudget.Events)
	r := newEventReader(strings.NewReader("data: "+strings.Repeat("x", 900_000)+"\n\ndata: y\n\n"), reserved)
	for range 2 {
		if err := r.next(); err != nil {
			t.Fatal(err)
		}
	}
	if reserved.Size() > 4<<10 {
		t.Errorf("%d bytes are held for a small event after a large one", reserved.Size())
	}
	budget.Reserve(64 << 20)
	r = newEventReader(endless("x"), budget.Reservation(membudget.Events))
	if err := r.next(); !errors.Is(err, bounded.ErrNoRoom) {
		t.Errorf("without memory: %v, want ErrNoRoom", err)
	}
}

// repeatingReader repeats a block without an end.
type repeatingReader struct {
	block string
	at    int
}

func (r *repeatingReader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = r.block[r.at]
		r.at = (r.at + 1) % len(r.block)
	}
	return len(p), nil
}

// countingReader counts the bytes read.
type countingReader struct {
	from  io.Reader
	count int
}

func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.from.Read(p)
	r.count += n
	return n, err
}
