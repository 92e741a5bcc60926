// Package logging builds the structured log: one line of key=value pairs for
// each event, on standard error or another stream. What waits to be written is
// bounded, and nobody waits for it; lines at level warn and above find room that
// others leave to them.
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

// New returns a log at a level (debug, info, warn, error) on standard error and
// the function that writes out what is buffered.
func New(level string) (*zap.Logger, func(), error) {
	log, out, err := NewTo(os.Stderr, level)
	if err != nil {
		return nil, nil, err
	}
	return log, out.Stop, nil
}

// NewTo returns a log at a level on a stream, and what writes it.
func NewTo(stream io.Writer, level string) (*zap.Logger, *Bounded, error) {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, nil, fmt.Errorf("log level %q: expected debug, info, warn or error", level)
	}
	enc := zap.NewProductionEncoderConfig()
	enc.EncodeTime = zapcore.ISO8601TimeEncoder
	enc.EncodeDuration = zapcore.StringDurationEncoder
	out := NewBounded(stream)
	coreOf := func(k Kind) zapcore.Core {
		enabled := zap.LevelEnablerFunc(func(of zapcore.Level) bool { return l.Enabled(of) && kindOf(of) == k })
		return zapcore.NewCore(zaplogfmt.NewEncoder(enc), out.WriterFor(k), enabled)
	}
	return zap.New(zapcore.NewTee(coreOf(Ordinary), coreOf(Urgent))), out, nil
}
