package node

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"gradetiller.example/internal/core/catalog"
	"gradetiller.example/internal/core/discovery"
	"gradetiller.example/internal/core/origin"
	"gradetiller.example/platform"
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
	if n := lines.FilterMessage(eventRequest).FilterField(zap.String("resumes", "first")).Len(); n != 1 {
		t.Errorf("%d lines of requests name the attempt that began the stream, want 1", n)
	}
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

// TestUnknownStreamIsRefused guards against a stream that goes on although it is not known where it began, while endpoints of two versions
// serve: at once, as not run, and without a record that the client could fill the table with.
func TestUnknownStreamIsRefused(t *testing.T) {
	site, c := newSite(t)
	c.Version, c.Keys = 2, map[string]string{key: "barbers", "key-2": "clinics"}
	site.Publish(c)
	models := append(site.AddWorkers("model", 2), site.AddWorkersOfVersion("v2", "model", 1)...)
	text, addresses := site.Settings()
	n := startNodeWith(t, text, addresses, withPatientSearch)
	text, addresses = site.Settings(n.Peer)
	other := startNodeWith(t, text, addresses, withPatientSearch)
	for _, node := range []*testNode{n, other} {
		node.awaitReady(t)
		eventually(t, "the configuration is in force", func() bool { return node.node.view.Load().version() == 2 })
		eventually(t, "all endpoints are listed", func() bool { return len(listedEndpoints(node.node)) == 3 })
	}
	stream := platformtest.Request{ID: "first", Path: "/plain/", Streaming: true, Prefix: "aa:1"}
	if a := do(n.Front, stream); a.Status != 200 {
		t.Fatalf("the stream does not begin: %+v", a)
	}
	for name, q := range map[string]platformtest.Request{
		"unknown ID":             {Resumes: "never-sent", LastEventID: "2"},
		"another account's":      {Resumes: "first", LastEventID: "2", Key: "key-2"},
		"long ID":                {Resumes: strings.Repeat("x", 3000), LastEventID: "2"},
		"not a text":             {Resumes: "\xff\xfe", LastEventID: "2"},
		"unknown ID, no event":   {Resumes: "never-sent"},
		"its own ID":             {Resumes: "its own ID", LastEventID: "2"},
		"an ID of a refused one": {Resumes: "unknown ID", LastEventID: "2"},
	} {
		q.ID, q.Path, q.Streaming, q.Prefix = name, "/plain/", true, "aa:1"
		for _, node := range []*testNode{n, other} {
			a := do(node.Front, q)
			if a.Status != 503 || a.RetryAfter == "" {
				t.Errorf("%s: status %d, Retry-After %q; want 503 with a delay", name, a.Status, a.RetryAfter)
			}
		}
		if runs := models[0].Runs(name) + models[1].Runs(name) + models[2].Runs(name); runs > 0 {
			t.Errorf("%s ran %d times", name, runs)
		}
	}
	for _, node := range []*testNode{n, other} {
		if records, _ := node.node.origins.size(); records != 2 {
			t.Errorf("%d records, want 2", records)
		}
	}
	for _, resumes := range []string{"first", ""} {
		stream.ID, stream.Resumes, stream.LastEventID = "second"+resumes, resumes, "2"
		if a := do(other.Front, stream); a.Status != 200 {
			t.Errorf("the account's own stream does not go on if the client names %q: %+v", resumes, a)
		}
	}
}

// TestStreamStaysAtItsService guards against a stream that goes on at another service, since the ID of the
// client's attempt draws another one of the route's backends, or since the route has left it.
func TestStreamStaysAtItsService(t *testing.T) {
	n := New(platform.Settings{Node: "n"})
	began := origin.Origin{Service: "a", Version: "v1"}
	source := httptest.NewRequest(http.MethodPost, "/", nil)
	attempt := func(route *catalog.Route, service, id, resumes string) (*request, *httptest.ResponseRecorder, bool) {
		q := &request{view: n.view.Load(), route: route, service: service, arrived: time.Now(), source: source}
		q.in.RequestID, q.in.Resumes = id, resumes
		w := httptest.NewRecorder()
		ok := n.admitContinued(t.Context(), &stream{node: n, q: q, w: w})
		return q, w, ok
	}
	split := &catalog.Route{Name: "r", Resumable: true, Backends: []catalog.Backend{{Service: "a", Weight: 1}, {Service: "b", Weight: 1}}}
	n.recordOrigin(&request{in: platform.ClientRequest{RequestID: "first"}}, began)
	q, w, ok := attempt(split, "b", "second", "first")
	if ok || w.Code != http.StatusServiceUnavailable || q.service != "a" || q.outcome != noVersionReason {
		t.Errorf("admitted %v at %s with status %d and outcome %q; want it refused for want of endpoints of a", ok, q.service, w.Code, q.outcome)
	}
	moved := &catalog.Route{Name: "r", Resumable: true, Backends: []catalog.Backend{{Service: "b", Weight: 1}}}
	q, w, ok = attempt(moved, "b", "third", "first")
	if ok || w.Code != http.StatusServiceUnavailable || q.outcome != movedReason {
		t.Errorf("admitted %v with status %d and outcome %q after the route had left the service", ok, w.Code, q.outcome)
	}
}

// TestStreamGoesOnAtTheOnlyVersion guards against streams that are refused after all records were lost, although only one version serves,
// and against those that go on although there are several, whether or not clients name their first attempts. A client learns nothing by
// an ID of another account: it is treated as an unknown one.
func TestStreamGoesOnAtTheOnlyVersion(t *testing.T) {
	site, _ := newSite(t)
	site.AddWorkers("model", 2)
	n := startNode(t, site)
	n.awaitReady(t)
	send := func(id, resumes string) platformtest.Response {
		return do(n.Front, platformtest.Request{ID: id, Path: "/plain/", Streaming: true, Prefix: "aa:1", Body: id, LastEventID: "2", Resumes: resumes})
	}
	// The list must be fresh, and the version recorded.
	eventually(t, "a stream goes on where one version serves", func() bool { return send("one-version", "").Status == 200 })
	eventually(t, "a stream of an unknown attempt goes on there", func() bool { return send("one-version-named", "lost").Status == 200 })
	site.AddWorkersOfVersion("v2", "model", 1)
	eventually(t, "the second version is listed", func() bool { return len(listedEndpoints(n.node)) == 3 })
	for _, resumes := range []string{"", "lost-too"} {
		if a := send("two-versions"+resumes, resumes); a.Status != 503 {
			t.Errorf("with two versions, first attempt %q: status %d, want 503", resumes, a.Status)
		}
	}
}

// TestLaterDeadlineOfContinuedStreams guards against streams that are refused because their next event can't come within the objective of
// the first one, which their clients have, and against new ones that are admitted although they will be late.
func TestLaterDeadlineOfContinuedStreams(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		resumes string
		started bool
		left    time.Duration
		want    time.Time
	}{{"", false, 15 * time.Second, time.Time{}}, {"id", false, 7 * time.Second, now.Add(3500 * time.Millisecond)}, {"", true, 10 * time.Second, now.Add(5 * time.Second)}} {
		q := &request{arrived: now, deadline: now.Add(c.left), route: &catalog.Route{Objective: 2 * time.Second}, in: platform.ClientRequest{Resumes: c.resumes}}
		if got := (&stream{q: q, started: c.started}).laterDeadline(); !got.Equal(c.want) {
			t.Errorf("resumes %q, started %t, %v left: %v, want %v", c.resumes, c.started, c.left, got, c.want)
		}
	}
}

// TestNoServiceIsAssumed guards against a stream without a record that goes on at another service than it began at, because its route leads
// to several, of which the ID of the client's attempt draws one.
func TestNoServiceIsAssumed(t *testing.T) {
	n, now := New(platform.Settings{Node: "n"}), time.Now()
	v := &view{freshness: discovery.Freshness{List: now, Config: now}, endpoints: catalog.EndpointsOf([]catalog.Endpoint{{ID: "i-1", Service: "a", Version: "v1"}, {ID: "i-2", Service: "b", Version: "v1"}})}
	n.view.Store(v)
	for at := now.Add(-time.Minute); !at.After(now); at = at.Add(time.Second) {
		n.origins.followList(at)
	}
	for _, c := range []struct {
		backends []catalog.Backend
		want     origin.Result
	}{
		{[]catalog.Backend{{Service: "a", Weight: 1}}, origin.Found},
		{[]catalog.Backend{{Service: "a", Weight: 1}, {Service: "a", Weight: 2}}, origin.Found},
		{[]catalog.Backend{{Service: "a", Weight: 9}, {Service: "b", Weight: 1}}, origin.Unknown},
	} {
		q := &request{view: v, route: &catalog.Route{Resumable: true, Backends: c.backends}, service: "a", arrived: now}
		if got := n.assumeOrigin(q, originSearch{result: origin.Unknown}); got.result != c.want || got.result == origin.Found && got.record.Origin != (origin.Origin{Service: "a", Version: "v1"}) {
			t.Errorf("%v: %v at %+v, want %v", c.backends, got.result, got.record.Origin, c.want)
		}
	}
}
