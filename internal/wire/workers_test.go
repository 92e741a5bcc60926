package wire

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
)

func unpack(data []byte) ([]Worker, error) {
	r, err := NewWorkerReader(data)
	if err != nil {
		return nil, err
	}
	var list []Worker
	for range r.Len() {
		w, err := r.Next()
		if err != nil {
			return nil, err
		}
		list = append(list, w)
	}
	return list, nil
}

// TestPackedWorkers checks that a compressed list is decoded as it was, that it is much smaller, and
// that truncated or altered ones are refused.
func TestPackedWorkers(t *testing.T) {
	var list []Worker
	for i := range 3000 {
		list = append(list, Worker{ID: fmt.Sprintf("i-%08x@%d", i*2654435761, i), Service: "model", Address: fmt.Sprintf("10.0.%d.%d:80", i>>8, i&255), Domain: "hall-a", Slots: 16, Draining: i%7 == 0, Version: "v1"})
	}
	data, err := PackWorkers(list)
	if err != nil {
		t.Fatal(err)
	}
	plain, err := Append(nil, View{Changed: list})
	if err != nil || len(data) > len(plain)/3 {
		t.Errorf("%d bytes compressed to %d, want a third at most; %v", len(plain), len(data), err)
	}
	got, err := unpack(data)
	if err != nil || !slices.Equal(got, list) {
		t.Errorf("%d endpoints decoded, want %d; %v", len(got), len(list), err)
	}
	for _, bad := range [][]byte{nil, data[:len(data)/2], append([]byte("x"), data...)} {
		if _, err := unpack(bad); !errors.Is(err, ErrFrame) {
			t.Errorf("%d altered bytes: %v, want ErrFrame", len(bad), err)
		}
	}
}

// TestUnpackedWorkersAreBounded guards against a small message that unpacks to more than an instance's memory.
func TestUnpackedWorkersAreBounded(t *testing.T) {
	data, err := PackWorkers([]Worker{{ID: "i-1"}, {ID: "i-2", Version: strings.Repeat("x", maxUnpackedWorkers)}})
	if err != nil || len(data) > 1<<20 {
		t.Fatalf("%d bytes packed, %v", len(data), err)
	}
	if list, err := unpack(data); !errors.Is(err, ErrFrame) {
		t.Errorf("%d endpoints unpacked, %v; want an error", len(list), err)
	}
	var large []Worker
	for i := range maxElements {
		large = append(large, Worker{ID: fmt.Sprintf("i-%08x@%d", i*2654435761, i), Service: "model", Address: fmt.Sprintf("10.0.%d.%d:80", i>>8, i&255), Domain: "hall-a", Slots: 16, Version: "v1"})
	}
	if data, err = PackWorkers(large); err != nil {
		t.Fatal(err)
	}
	if list, err := unpack(data); err != nil || len(list) != maxElements {
		t.Errorf("%d of %d endpoints unpacked, %v", len(list), maxElements, err)
	}
}
