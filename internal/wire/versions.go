package wire

import (
	"bytes"
	"fmt"
	"reflect"

	"github.com/vmihailenco/msgpack/v5"
)

// unmarshal reads a message's body, also one of a version whose messages have fewer fields
// or more: fields are only ever added at the end, and structs are arrays on the wire. The
// codec refuses arrays of another length, so these are fitted first.
func unmarshal(body []byte, m Message) error {
	err := decode(body, m)
	if err == nil {
		return nil
	}
	fitted, fitErr := fit(body, reflect.TypeOf(m).Elem())
	if fitErr != nil || bytes.Equal(fitted, body) {
		return fmt.Errorf("%w: %v", ErrFrame, err)
	}
	// What the first try has read is read anew.
	reflect.ValueOf(m).Elem().SetZero()
	if err := msgpack.Unmarshal(fitted, m); err != nil {
		return fmt.Errorf("%w: %v", ErrFrame, err)
	}
	return nil
}

// encode writes a message. A heartbeat that tells of no draining endpoint has the length of the
// version before: a byte more delays the start of hundreds of nodes on small links.
func encode(enc *msgpack.Encoder, m Message) error {
	g, ok := m.(Gossip)
	if !ok || g.Draining != nil {
		return enc.Encode(m)
	}
	v := reflect.ValueOf(g)
	fields := v.NumField() - 1
	if err := enc.EncodeArrayLen(fields); err != nil {
		return err
	}
	for i := range fields {
		if err := enc.EncodeValue(v.Field(i)); err != nil {
			return err
		}
	}
	return nil
}

// decode reads a message that has all fields of its type or lacks the last ones.
func decode(body []byte, m Message) error {
	in := msgpack.NewDecoder(bytes.NewReader(body))
	n, err := in.DecodeArrayLen()
	if err != nil {
		return err
	}
	v := reflect.ValueOf(m).Elem()
	if n < 0 || n >= v.NumField() {
		return msgpack.Unmarshal(body, m)
	}
	for i := range n {
		if err := in.DecodeValue(v.Field(i)); err != nil {
			return err
		}
	}
	return nil
}

// fit returns a body in which every struct has as many fields as its type here: further
// ones are left out, missing ones are nil, which the codec reads as zero.
func fit(body []byte, t reflect.Type) ([]byte, error) {
	var out bytes.Buffer
	f := fitter{in: msgpack.NewDecoder(bytes.NewReader(body)), out: msgpack.NewEncoder(&out)}
	if err := f.value(t); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

type fitter struct {
	in  *msgpack.Decoder
	out *msgpack.Encoder
}

func (f *fitter) value(t reflect.Type) error {
	switch {
	case t.Kind() == reflect.Struct:
		return f.fields(t)
	case t.Kind() == reflect.Slice && t.Elem().Kind() == reflect.Struct:
		return f.elements(t.Elem())
	}
	raw, err := f.in.DecodeRaw()
	if err != nil {
		return err
	}
	return f.out.Encode(raw)
}

func (f *fitter) fields(t reflect.Type) error {
	n, err := f.in.DecodeArrayLen()
	if err != nil {
		return err
	}
	if err := f.out.EncodeArrayLen(t.NumField()); err != nil {
		return err
	}
	for i := range max(n, t.NumField()) {
		switch {
		case i >= t.NumField():
			err = f.in.Skip()
		case i >= n:
			err = f.out.EncodeNil()
		default:
			err = f.value(t.Field(i).Type)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func (f *fitter) elements(t reflect.Type) error {
	n, err := f.in.DecodeArrayLen()
	if err != nil {
		return err
	}
	if n < 0 {
		return f.out.EncodeNil()
	}
	if err := f.out.EncodeArrayLen(n); err != nil {
		return err
	}
	for range n {
		if err := f.value(t); err != nil {
			return err
		}
	}
	return nil
}
