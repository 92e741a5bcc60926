package node

import (
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"gradetiller.example/platform/platformtest"
)

// TestContinuedStreamIsLogged guards against a stream that goes on at another endpoint without a line
// that tells the software versions at which it began and goes on.
func TestContinuedStreamIsLogged(t *testing.T) {
	site, _ := newSite(t)
	models := site.AddWorkers("model", 2)
	for _, m := range models {
		m.Events = 9
		m.InjectFaults(platformtest.TruncateEvent)
	}
	core, lines := observer.New(zap.InfoLevel)
	text, addresses := site.Settings()
	n := startNodeWith(t, text, addresses, WithLog(zap.New(core)))
	n.awaitReady(t)
	do(n.Front, platformtest.Request{ID: "first", Path: "/plain/", Streaming: true, Prefix: "aa:1"})
	do(n.Front, platformtest.Request{ID: "second", Path: "/plain/", Streaming: true, Prefix: "aa:1", Resumes: "first", LastEventID: "4"})
	eventually(t, "both requests are logged", func() bool { return lines.FilterMessage(eventRequest).Len() == 2 })
	continued := lines.FilterMessage(eventStreamContinued)
	first := continued.FilterField(zap.String("id", "first")).All()
	if len(first) != 1 {
		t.Fatalf("%d lines for the stream that broke, want 1", len(first))
	}
	got := first[0].ContextMap()
	for key, want := range map[string]any{"source": "response", "began": "v1", "version": "v1", "after": "2"} {
		if got[key] != want {
			t.Errorf("field %s is %v, want %v", key, got[key], want)
		}
	}
	second := continued.FilterField(zap.String("resumes", "first")).All()
	if len(second) != 1 || second[0].ContextMap()["after"] != "4" {
		t.Errorf("lines of the client's second attempt: %+v", second)
	}
	if age := time.Duration(got["list_age_ms"].(int64)) * time.Millisecond; age < 0 || age > time.Minute {
		t.Errorf("the age of the list is %v", age)
	}
}
