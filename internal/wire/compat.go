package wire

import (
	"bytes"
	"fmt"
	"reflect"

	"github.com/vmihailenco/msgpack/v5"
)

// unmarshal decodes the body of a message, which may come from a version whose messages have fewer
// or more fields: structs are arrays on the wire, and fields are only added at the end. The codec
// rejects arrays of another length, so they are first adapted to the types of this version.
func unmarshal(body []byte, m Message) error {
	err := decode(body, m)
	if err == nil {
		return nil
	}
	fitted, fitErr := fit(body, reflect.TypeOf(m).Elem())
	if fitErr != nil || bytes.Equal(fitted, body) {
		return fmt.Errorf("%w: %v", ErrFrame, err)
	}
	// The first attempt may have set some of the fields.
	reflect.ValueOf(m).Elem().SetZero()
	if err := msgpack.Unmarshal(fitted, m); err != nil {
		return fmt.Errorf("%w: %v", ErrFrame, err)
	}
	return nil
}

// encode encodes a message. A heartbeat without draining endpoints omits the field and is as long
// as in the version before: when hundreds of nodes on small links start at once, each additional
// byte delays them.
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

// decode decodes a message that has all fields of its type or lacks the last ones.
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

// fit returns the body with every struct adapted to the number of fields of its type in this
// version: additional fields are dropped, and missing ones are nil, which the codec decodes as
// zero values.
func fit(body []byte, t reflect.Type) ([]byte, error) {
	var out bytes.Buffer
	f := fitter{in: msgpack.NewDecoder(bytes.NewReader(body)), out: msgpack.NewEncoder(&out)}
	if err := f.value(t); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// fitter copies msgpack values from in to out and adapts the number of fields of structs.
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
