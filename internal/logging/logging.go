// Package logging builds the structured log: one line of key=value pairs for
// each event, on standard error or another stream.
//
// # Usage
//
//	log, flush, err := logging.New("info")
//	defer flush()
//	log.Info("listening", zap.String("address", a))
package logging

import (
	"fmt"
	"io"
	"os"
	"time"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const flushInterval = 200 * time.Millisecond

// New returns a log at a level (debug, info, warn, error) and the function
// that writes out what is buffered.
func New(level string) (*zap.Logger, func(), error) { return NewTo(os.Stderr, level) }

// NewTo is New for another stream.
func NewTo(stream io.Writer, level string) (*zap.Logger, func(), error) {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, nil, fmt.Errorf("log level %q: expected debug, info, warn or error", level)
	}
	enc := zap.NewProductionEncoderConfig()
	enc.EncodeTime = zapcore.ISO8601TimeEncoder
	enc.EncodeDuration = zapcore.StringDurationEncoder
	out := NewBounded(stream)
	log := zap.New(zapcore.NewCore(zaplogfmt.NewEncoder(enc), out, l))
	return log, out.Stop, nil
}
