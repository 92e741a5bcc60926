package bounded

import (
	"bytes"
	"errors"
	"io"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/iotest"

	"gradetiller.example/internal/core/membudget"
)

const testBudget = 1 << 20

func newBuffer(limit int64) (*Buffer, *membudget.Budget) {
	budget := membudget.New(testBudget)
	return NewBuffer(budget.Reservation(membudget.Responses), limit), budget
}

func randomBytes(n int) []byte {
	r, b := rand.New(rand.NewPCG(uint64(n), 1)), make([]byte, n)
	for i := range b {
		b[i] = byte(r.Uint32())
	}
	return b
}

// checkCounted checks that a buffer holds no more memory than it has reserved.
func checkCounted(t *testing.T, b *Buffer, budget *membudget.Budget) {
	t.Helper()
	allocated := 0
	for _, c := range b.chunks {
		allocated += cap(c)
	}
	if int64(allocated) != budget.Held() || budget.Held() != budget.HeldOf(membudget.Responses) {
		t.Errorf("%d bytes allocated, %d reserved, %d of this kind", allocated, budget.Held(), budget.HeldOf(membudget.Responses))
	}
}

// TestFillLosesNothing guards against bytes that are lost, doubled or held beyond the limit when a body turns out to
// be larger than may be held: what is held and the rest are the body.
func TestFillLosesNothing(t *testing.T) {
	const limit = 100_000
	for _, size := range []int{0, 1, 4095, 4096, 4097, 12_288, limit - 1, limit, limit + 1, 300_000} {
		for name, wrap := range map[string]func(io.Reader) io.Reader{"whole": func(r io.Reader) io.Reader { return r }, "halves": iotest.HalfReader, "with end": iotest.DataErrReader} {
			for _, expected := range []int64{math.MinInt64, -1, 0, int64(size), 1 << 50, math.MaxInt64 - 1, math.MaxInt64} {
				body := randomBytes(size)
				b, budget := newBuffer(limit)
				b.Expect(expected)
				in := wrap(bytes.NewReader(body))
				err := b.Fill(in)
				checkCounted(t, b, budget)
				if want := size >= limit; errors.Is(err, ErrLimit) != want && size != limit || err != nil && !errors.Is(err, ErrLimit) || b.Len() > limit {
					t.Fatalf("%d bytes %s: Fill holds %d bytes: %v", size, name, b.Len(), err)
				}
				var out bytes.Buffer
				if _, err := b.WriteTo(&out); err != nil {
					t.Fatal(err)
				}
				if passed, err := b.Pass(&out, in); err != nil || passed != int64(size)-min(int64(size), limit) {
					t.Fatalf("%d bytes %s: %d bytes passed on: %v", size, name, passed, err)
				}
				if !bytes.Equal(out.Bytes(), body) {
					t.Fatalf("%d bytes %s: %d bytes differ from the body", size, name, out.Len())
				}
				checkCounted(t, b, budget)
				if budget.Held() > maxChunk || size > 2*maxChunk && budget.Held() < maxChunk {
					t.Errorf("%d bytes %s: %d bytes are held to pass on the rest, want one chunk of full size", size, name, budget.Held())
				}
				if b.Release(); budget.Held() != 0 {
					t.Errorf("%d bytes %s: %d bytes are held after Release", size, name, budget.Held())
				}
			}
		}
	}
}

// TestFillStopsWithoutRoom guards against a body that is held although the memory for all bodies is used up, and
// against a small one that is not held for the sake of large ones.
func TestFillStopsWithoutRoom(t *testing.T) {
	b, budget := newBuffer(1 << 20)
	budget.Reserve(testBudget)
	if err := b.Fill(bytes.NewReader(make([]byte, 500_000))); !errors.Is(err, ErrNoRoom) || b.Len() == 0 || b.Len() > maxChunk {
		t.Errorf("a large body: %d bytes held, %v; want the first ones and ErrNoRoom", b.Len(), err)
	}
	small := NewBuffer(budget.Reservation(membudget.Responses), 1<<20)
	if err := small.Fill(strings.NewReader(strings.Repeat("x", 20_000))); err != nil || small.Len() != 20_000 {
		t.Errorf("a small body: %d bytes held, %v; want all", small.Len(), err)
	}
}

// TestFillReportsBrokenBodies guards against a body that broke off and counts as one that is too large or whole.
func TestFillReportsBrokenBodies(t *testing.T) {
	b, _ := newBuffer(1000)
	if err := b.Fill(io.MultiReader(strings.NewReader("part"), iotest.ErrReader(io.ErrUnexpectedEOF))); !errors.Is(err, io.ErrUnexpectedEOF) || b.Len() != 4 {
		t.Errorf("%d bytes held, %v; want 4 and the error of the body", b.Len(), err)
	}
}

// failingWriter fails once it has taken some bytes.
type failingWriter struct{ left int }

func (w *failingWriter) Write(p []byte) (int, error) {
	n := min(len(p), w.left)
	if w.left -= n; n < len(p) {
		return n, io.ErrClosedPipe
	}
	return n, nil
}

// TestPassStops guards against a body that is read on after its receiver has left, and against one that broke off and
// looks whole.
func TestPassStops(t *testing.T) {
	b, _ := newBuffer(1000)
	in := bytes.NewReader(make([]byte, 1<<20))
	if passed, err := b.Pass(&failingWriter{left: 50_000}, in); !errors.Is(err, io.ErrClosedPipe) || passed != 50_000 || in.Len() < 900_000 {
		t.Errorf("%d bytes passed on, %d left unread, %v", passed, in.Len(), err)
	}
	if _, err := b.Pass(io.Discard, iotest.ErrReader(io.ErrUnexpectedEOF)); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("a body that broke off: %v", err)
	}
}

// TestReadAllReturnsNoPart guards against the first bytes of a response that are taken for the whole of it.
func TestReadAllReturnsNoPart(t *testing.T) {
	const limit = 50_000
	for _, size := range []int{0, 1, 4096, 5000, limit - 1, limit, limit + 1, 2 * limit} {
		body := randomBytes(size)
		budget := membudget.New(testBudget)
		reserved := budget.Reservation(membudget.Calls)
		data, err := ReadAll(iotest.HalfReader(bytes.NewReader(body)), limit, WithReservation(reserved))
		var tooLarge *LimitError
		switch {
		case size > limit:
			if !errors.As(err, &tooLarge) || tooLarge.Limit != limit || data != nil {
				t.Errorf("%d bytes: %d bytes and %v, want a *LimitError", size, len(data), err)
			}
		case err != nil || !bytes.Equal(data, body):
			t.Errorf("%d bytes: %d bytes and %v, want the body", size, len(data), err)
		case budget.HeldOf(membudget.Calls) < int64(size):
			t.Errorf("%d bytes: %d bytes reserved", size, budget.HeldOf(membudget.Calls))
		}
		if reserved.Release(); budget.Held() != 0 {
			t.Errorf("%d bytes: %d bytes reserved after Release", size, budget.Held())
		}
	}
	if _, err := ReadAll(io.MultiReader(bytes.NewReader(make([]byte, limit)), iotest.ErrReader(io.ErrUnexpectedEOF)), limit); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("a response that broke off at the limit: %v", err)
	}
	full := membudget.New(testBudget)
	full.Reserve(testBudget)
	if _, err := ReadAll(bytes.NewReader(make([]byte, 45_000)), limit, WithReservation(full.Reservation(membudget.Calls))); !errors.Is(err, ErrNoRoom) {
		t.Errorf("without room: %v, want ErrNoRoom", err)
	}
}
