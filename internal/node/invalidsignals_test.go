package node

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"gradetiller.example/internal/core/signal"
	"gradetiller.example/platform"
)

// TestInvalidSignalsAreCountedAndLogsBounded guards against endpoints whose unreadable answers fill
// the log, and against unreadable signals that no metric shows.
func TestInvalidSignalsAreCountedAndLogsBounded(t *testing.T) {
	core, lines := observer.New(zap.InfoLevel)
	n := New(platform.Settings{Node: "n"}, WithLog(zap.New(core)))
	for i := range 3000 {
		n.observeSignals(fmt.Sprint("e", i%30), "", 200, signal.Signals{Invalid: []*signal.InvalidError{signal.NewInvalidError(signal.NameSlowdown, errors.New("bad"))}})
	}
	if got := lines.FilterMessage(eventSignalInvalid).Len(); got != 20 {
		t.Errorf("%d lines, want 20", got)
	}
	var metrics bytes.Buffer
	n.meters.set.WritePrometheus(&metrics)
	if want := `gradetiller_signals_invalid_total{signal="slowdown"} 3000`; !strings.Contains(metrics.String(), want) {
		t.Errorf("metrics lack %s", want)
	}
}
