// Package contain turns a panic of code that handles what another process sent into an error, so that it costs the one
// request or message and not the process with all others.
//
// It is meant for the functions that read and decode. Code that changes shared state under a lock must release it with
// defer, since it may be left in the middle.
//
// # Usage
//
//	err := contain.Call(func() error {
//		var err error
//		update, err = parse(data)
//		return err
//	})
//	var p *contain.PanicError
//	if errors.As(err, &p) {
//		log.Error("panic", zap.ByteString("stack", p.Stack()))
//	}
package contain

import (
	"fmt"
	"net/http"
	"runtime/debug"
)

// maxStack bounds the stack of a PanicError in bytes.
const maxStack = 4 << 10

// PanicError is the error of a function that panicked.
type PanicError struct {
	value any
	stack []byte
}

// Error implements error.
func (p *PanicError) Error() string { return fmt.Sprintf("panic: %v", p.value) }

// Stack returns the beginning of the stack of the goroutine at the panic.
func (p *PanicError) Stack() []byte { return p.stack }

// Call calls f and returns its error, which is a *PanicError if f panicked. A panic with http.ErrAbortHandler, which is how a
// handler closes its connection, is passed on.
func Call(f func() error) (err error) {
	defer func() {
		switch value := recover(); value {
		case nil:
		case http.ErrAbortHandler:
			panic(value)
		default:
			stack := debug.Stack()
			err = &PanicError{value: value, stack: stack[:min(len(stack), maxStack)]}
		}
	}()
	return f()
}
