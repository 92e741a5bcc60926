// Package logging builds the structured log, which has one line of key=value pairs for each event
// and goes to standard error or another stream. Lines are buffered and written in the background, so
// that logging never blocks. The buffer is bounded, and a part of it is reserved for lines at level
// warn and above.
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

// New returns a logger to standard error at a level (debug, info, warn or error), and a function that
// writes the buffered lines and stops the background writer.
func New(level string) (*zap.Logger, func(), error) {
	log, out, err := NewTo(os.Stderr, level)
	if err != nil {
		return nil, nil, err
	}
	return log, out.Stop, nil
}

// NewTo returns a logger to a stream at a level, and its background writer.
func NewTo(stream io.Writer, level string) (*zap.Logger, *AsyncWriter, error) {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, nil, fmt.Errorf("log level %q: expected debug, info, warn or error", level)
	}
	enc := zap.NewProductionEncoderConfig()
	enc.EncodeTime = zapcore.ISO8601TimeEncoder
	enc.EncodeDuration = zapcore.StringDurationEncoder
	out := NewAsyncWriter(stream)
	coreOf := func(p Priority) zapcore.Core {
		enabled := zap.LevelEnablerFunc(func(of zapcore.Level) bool { return l.Enabled(of) && priorityOf(of) == p })
		return zapcore.NewCore(zaplogfmt.NewEncoder(enc), out.WriterFor(p), enabled)
	}
	return zap.New(zapcore.NewTee(coreOf(Ordinary), coreOf(Urgent))), out, nil
}
