package node

import (
	"context"
	"fmt"
	"maps"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gradetiller.example/internal/scripted"
	"gradetiller.example/platform/platformtest"
)

// responseScript is a test of responses of endpoints whose bytes it states, read from a file. Its lines, which have the
// defaults below:
//
//	path PATH           the path of the requests
//	service NAME        the service whose endpoints send such responses
//	call PATH           the calls that are answered so; "" for all requests and calls
//	line TEXT           a line of the response, which ends with CR LF. Go's escapes, {id} and {worker} are replaced
//	text TEXT           the same without the end of the line
//	end close|reset|open   what follows the response
//	upload BYTES        the length of the requests' bodies
//	read BYTES          how much of them the endpoint reads before the end, -1 for all
//	pause DURATION      the time between the response and the end
//	faulty N            endpoints of the service that answer so
//	sound N             endpoints of the service that answer as usual, beside them
//	slowdown PERCENT    what the endpoints state as their slowdown, "" for nothing
//	unframed 0|1        whether usual answers have neither a length nor chunks
//	events N            the number of events of a usual stream
//	relayed 0|1         whether the node reaches the endpoints through another node only
//	requests N          how many requests are sent, in one go for each client
//	clients N           how many clients send at once
//	served SHARE        the least share of requests that get a usual answer
//	seen WORD...        what clients may see otherwise: whole for a complete answer as the script states it, cut, none for a
//	                    connection that is closed without an answer, or a status
//	body TEXT           the body of a whole answer
//	judged failed|sound|any   whether the endpoint has to be ejected
type responseScript struct {
	words map[string]string
	raw   strings.Builder
}

var responseDefaults = map[string]string{
	"path": "/book/x", "service": "desk", "call": "", "end": "close", "upload": "0", "read": "-1", "pause": "0s", "faulty": "1", "sound": "1", "slowdown": "", "unframed": "0",
	"events": "4", "relayed": "0", "requests": "12", "clients": "3", "served": "1", "seen": "", "body": "", "judged": "any",
}

func (s *responseScript) parseLine(words []string) error {
	value := strings.Join(words[1:], " ")
	switch _, known := responseDefaults[words[0]]; {
	case words[0] == "line" || words[0] == "text":
		text, err := strconv.Unquote(`"` + value + `"`)
		if err != nil {
			return fmt.Errorf("%q: %w", value, err)
		}
		s.raw.WriteString(text)
		if words[0] == "line" {
			s.raw.WriteString("\r\n")
		}
	case !known:
		return fmt.Errorf("unknown line %q", strings.Join(words, " "))
	default:
		s.words[words[0]] = value
	}
	return nil
}

func (s *responseScript) text(name string) string {
	if v, ok := s.words[name]; ok {
		return v
	}
	return responseDefaults[name]
}

func (s *responseScript) number(name string) int {
	n, _ := strconv.Atoi(s.text(name))
	return n
}

func (s *responseScript) response() platformtest.RawResponse {
	pause, _ := time.ParseDuration(s.text("pause"))
	return platformtest.RawResponse{
		Path: s.text("call"), Text: s.raw.String(), ReadBody: int64(s.number("read")), Pause: pause,
		End: map[string]platformtest.RawEnd{"close": platformtest.EndClose, "reset": platformtest.EndReset, "open": platformtest.EndOpen}[s.text("end")],
	}
}

// responseRun is a script in progress.
type responseRun struct {
	t      *testing.T
	script *responseScript
	node   *testNode
	faulty []*platformtest.Worker
	models []*platformtest.Worker
	mu     sync.Mutex
	seen   map[string]int
}

func newResponseRun(t *testing.T, s *responseScript) *responseRun {
	r := &responseRun{t: t, script: s, seen: make(map[string]int)}
	site, _ := newSite(t)
	var all []*platformtest.Worker
	for _, service := range []string{"desk", "model", "encode", "rank"} {
		n := 2
		if service == s.text("service") {
			n = s.number("faulty") + s.number("sound")
		}
		workers := site.AddWorkers(service, n)
		all = append(all, workers...)
		if service == "model" {
			r.models = workers
		}
		if service == s.text("service") {
			r.faulty = workers[:s.number("faulty")]
			for _, w := range workers[s.number("faulty"):] {
				// Requests go to the others first.
				w.Delay(soundDelay)
			}
		}
	}
	for _, w := range all {
		w.Unframed, w.Events = s.number("unframed") > 0, s.number("events")
		if percent := s.text("slowdown"); percent != "" {
			w.AnnounceLoad("0,0,8," + percent)
		}
	}
	if s.number("relayed") > 0 {
		other := startNode(t, site)
		var p platformtest.Partition
		text, addresses := site.Settings(other.Peer)
		r.node = startNodeWith(t, text, addresses, withDial(&p))
		awaitSystem(t, []*testNode{other, r.node})
		p.Cut(platformtest.ConnectionsReset, func(address string) bool {
			return slices.ContainsFunc(all, func(w *platformtest.Worker) bool { return w.Address() == address })
		})
		eventually(t, "the node serves through the other one", func() bool { return r.request("first") == "served" })
	} else {
		r.node = startNode(t, site)
		r.node.awaitReady(t)
	}
	// All endpoints are known to be sound, and have stated their slowdown. Requests that come at once reach all of them.
	var usual sync.WaitGroup
	for i := range 12 {
		usual.Go(func() {
			for k := range 3 {
				r.request(fmt.Sprintf("usual-%d-%d", i, k))
			}
		})
	}
	usual.Wait()
	for _, w := range r.faulty {
		w.RespondRaw(s.response(), 1)
	}
	return r
}

// request sends a request and returns what the client saw.
func (r *responseRun) request(id string) string {
	path := r.script.text("path")
	q := platformtest.Request{ID: id, Path: path, Key: key, Deadline: 4 * time.Second, Body: strings.Repeat("u", r.script.number("upload"))}
	q.Streaming = !strings.HasPrefix(path, "/book/") && !strings.HasPrefix(path, "/read/")
	usual := fmt.Sprintf("POST %s %s", path, q.Body)
	if q.Streaming {
		usual = events(id, r.script.number("events"))
	}
	if strings.HasPrefix(path, "/staged/") {
		q.Pieces = []int{2, 2}
	}
	ctx, cancel := context.WithTimeout(context.Background(), q.Deadline+floodSlack)
	defer cancel()
	a := platformtest.Do(ctx, r.node.Front, q)
	body, err := strconv.Unquote(`"` + r.script.text("body") + `"`)
	if err != nil {
		r.t.Fatal(err)
	}
	switch {
	case a.Status == 0:
		return "none"
	case a.Err != nil:
		return "cut"
	case a.Status == 200 && a.Body == usual:
		return "served"
	case a.Status == 200 && body != "" && a.Body == strings.ReplaceAll(body, "{id}", id):
		return "whole"
	case a.Status == 200:
		return "part"
	}
	return strconv.Itoa(a.Status)
}

// record sends a request and records what the client saw.
func (r *responseRun) record(id string) {
	outcome := r.request(id)
	for _, w := range r.models {
		if slices.Contains(w.Inputs(id), spoiltHandle) {
			outcome = "spoilt input"
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seen[outcome]++
}

// spoiltHandle is the handle of a result in responses of scripts that are not to be used. maxResponseRequests bounds the
// requests of a run until the endpoint gets one.
const (
	spoiltHandle        = "spoilt"
	maxResponseRequests = 300
	// soundDelay is the time that a sound endpoint takes beside one that is faulty.
	soundDelay = 5 * time.Millisecond
)

func (r *responseRun) run() {
	var clients sync.WaitGroup
	for i := range r.script.number("clients") {
		clients.Go(func() {
			for k := range r.script.number("requests") {
				r.record(fmt.Sprintf("r-%d-%d", i, k))
			}
		})
	}
	clients.Wait()
	all := r.script.number("clients") * r.script.number("requests")
	for ; r.stated() == 0 && all < maxResponseRequests; all++ {
		r.record(fmt.Sprint("more-", all))
	}
	r.t.Logf("clients saw %v; %d responses as stated", r.seen, r.stated())
	if r.stated() == 0 {
		r.t.Error("no response was as stated: the test shows nothing")
	}
	allowed := append(strings.Fields(r.script.text("seen")), "served")
	for _, outcome := range slices.Sorted(maps.Keys(r.seen)) {
		if !slices.Contains(allowed, outcome) {
			r.t.Errorf("%d clients saw %q, want one of %v", r.seen[outcome], outcome, allowed)
		}
	}
	if share, _ := strconv.ParseFloat(r.script.text("served"), 64); float64(r.seen["served"]) < share*float64(all) {
		r.t.Errorf("%d of %d requests got a usual answer, want %.2f of them", r.seen["served"], all, share)
	}
	eventually(r.t, "nothing is held", func() bool { return r.node.node.memory.Held() == 0 })
	for _, w := range r.faulty {
		switch judged, n := r.script.text("judged"), w.RawResponses(); {
		case judged == "failed" && n > maxUntilEjected:
			r.t.Errorf("an endpoint sent %d such responses, want it ejected after %d", n, maxUntilEjected)
		case judged == "sound" && n < all/(8*len(r.faulty)):
			r.t.Errorf("an endpoint got %d of %d requests, it is ejected", n, all)
		}
	}
}

// stated returns the number of responses as the script states them.
func (r *responseRun) stated() int {
	n := 0
	for _, w := range r.faulty {
		n += w.RawResponses()
	}
	return n
}

// maxUntilEjected is how many failures in a row eject an endpoint, and as many again for requests that are in flight.
const maxUntilEjected = 12

// TestResponsesOfEndpoints guards against responses that end a process or its request without an answer, that clients
// get although they are none, and that are taken for whole although their connection was reset.
func TestResponsesOfEndpoints(t *testing.T) {
	scripts, err := filepath.Glob("testdata/responses/*.txt")
	if err != nil || len(scripts) == 0 {
		t.Fatalf("no scripts: %v", err)
	}
	for _, path := range scripts {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".txt"), func(t *testing.T) {
			t.Parallel()
			s := &responseScript{words: make(map[string]string)}
			scripted.Read(t, path, s.parseLine)
			newResponseRun(t, s).run()
		})
	}
}
