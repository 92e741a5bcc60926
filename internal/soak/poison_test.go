package soak

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"gradetiller.example/platform/platformtest"
)

var poisonCount = flag.Int("poisons", 2, "requests in a run that crash the workers that run them; runs of old seeds have none")

const (
	// poisonMarker is the text in a request by which workers crash, poisonID begins the ids of
	// the tries of such requests.
	poisonMarker = "divide by zero"
	poisonPrefix = probePrefix + "poison-"
	// poisonInterval is how often such a request comes back.
	poisonInterval = 300 * time.Millisecond
	// crashExpiryDelay and crashBack are how long after a crash the worker's entry goes, and
	// it begins anew.
	crashExpiryDelay  = 900 * time.Millisecond
	crashRestartDelay = 1500 * time.Millisecond
	// poisonSeed parts what poisons draw from what the other troubles draw, so that these
	// are the same with and without.
	poisonSeed = 11
	// crashesToRefuse is after how many crashes a request is known to cause them; poisonLate
	// how many it may cause later than the contact time after that, by nodes to which
	// nothing was done.
	crashesToRefuse = 3
	maxLateCrashes  = 3
	// poisonContact is the contact time where no deployment gives one.
	poisonContact = 3 * time.Second
	// maxRetryAfter is more than anybody is told to wait whose request is not refused
	// because it crashes workers.
	maxRetryAfter = time.Minute
	// settleRounds is how often all nodes are asked in the end, with lastPause between.
	settleRounds = 6
	settlePause  = 2 * time.Second
)

// poisonKinds are the requests that crash workers: of a plain service, a model, and the
// stages before one.
var poisonKinds = []platformtest.Request{
	{Path: "/read/x"},
	{Path: "/book/x"},
	{Path: "/plain/x", Streaming: true, Prefix: "a1:10,b1:20"},
	{Path: "/once/x", Streaming: true, Prefix: "a1:10,b1:20"},
	{Path: "/staged/x", Streaming: true, Pieces: []int{2, 3}, Prefix: "a1:10,b1:20"},
}

// poisons sends requests that crash workers while other things happen.
type poisons struct {
	site *platformtest.Site
	// fronts are where nodes are reached.
	fronts   []string
	list     []platformtest.Request
	rand     *rand.Rand
	mu       sync.Mutex
	attempts map[string]poisonAttempt
}

// poisonAttempt is one try: which node it was sent to, and when.
type poisonAttempt struct {
	node    int
	at      time.Time
	refused bool
}

func newPoisons(site *platformtest.Site, fronts []string, seed uint64, count int) *poisons {
	p := &poisons{site: site, fronts: fronts, rand: rand.New(rand.NewPCG(seed, poisonSeed)), attempts: make(map[string]poisonAttempt)}
	for i := range count {
		q := poisonKinds[p.rand.IntN(len(poisonKinds))]
		q.Body = fmt.Sprintf("%s %d", poisonMarker, i)
		if len(q.Pieces) > 0 {
			q.PieceKey = q.Body
		}
		p.list = append(p.list, q)
	}
	if count > 0 {
		site.CrashOn(poisonMarker, crashExpiryDelay, crashRestartDelay)
	}
	return p
}

// send has each request come again and again from some moment on, until ctx ends.
func (p *poisons) send(ctx context.Context, within time.Duration) {
	var sending sync.WaitGroup
	for i := range p.list {
		first := time.Duration(p.rand.Int64N(int64(within)))
		draw := rand.New(rand.NewPCG(p.rand.Uint64(), poisonSeed))
		sending.Go(func() {
			sleep(ctx, first)
			for ctx.Err() == nil {
				p.attempt(ctx, i, draw.IntN(len(p.fronts)))
				sleep(ctx, poisonInterval)
			}
		})
	}
	sending.Wait()
}

// attempt sends a request to a node and reports whether it is refused since it crashes
// workers.
func (p *poisons) attempt(ctx context.Context, i, node int) bool {
	q := p.list[i]
	q.Key, q.Deadline = apiKey, 2*time.Second
	p.mu.Lock()
	q.ID = fmt.Sprintf("%s%d-%d", poisonPrefix, i, len(p.attempts))
	t := poisonAttempt{node: node, at: time.Now()}
	p.attempts[q.ID] = t
	p.mu.Unlock()
	limited, cancel := context.WithTimeout(ctx, q.Deadline)
	defer cancel()
	t.refused = refusedAsPoison(platformtest.Do(limited, p.fronts[node], q))
	p.mu.Lock()
	p.attempts[q.ID] = t
	p.mu.Unlock()
	return t.refused
}

// refusedAsPoison reports whether an answer tells that its request is refused because it
// crashes workers.
func refusedAsPoison(a platformtest.Response) bool {
	again, err := strconv.ParseFloat(a.RetryAfter, 64)
	return err == nil && time.Duration(again*float64(time.Second)) > maxRetryAfter
}

// crashes lists when a request crashed workers, and by which tries.
func (p *poisons) crashes(i int) (list []platformtest.Crash) {
	for _, c := range p.site.Crashes() {
		if c.Content == p.list[i].Body {
			list = append(list, c)
		}
	}
	return list
}

// settle asks all nodes for all requests that have crashed enough workers, until all nodes
// refuse them, and returns what is wrong in the end.
func (p *poisons) settle() (found []string) {
	for i := range p.list {
		if len(p.crashes(i)) < crashesToRefuse {
			continue
		}
		wrong := ""
		for round := range settleRounds {
			if round > 0 {
				time.Sleep(settlePause)
			}
			wrong = ""
			for node := range p.fronts {
				if !p.attempt(context.Background(), i, node) {
					wrong = fmt.Sprintf("POISON: request %d to %s is not refused in the end by node %d, and maybe others", i, p.list[i].Path, node+1)
				}
			}
			if wrong == "" {
				break
			}
		}
		if wrong != "" {
			found = append(found, wrong)
		}
	}
	return found
}

// lateCrashes finds the requests that crashed too many workers later than the contact time after
// they had crashed enough, by nodes that were in touch.
func (p *poisons) lateCrashes(contact time.Duration, inTouch func(t poisonAttempt) bool) (found, told []string) {
	for i, q := range p.list {
		list := p.crashes(i)
		late := 0
		for n, c := range list {
			p.mu.Lock()
			t := p.attempts[c.RequestID]
			p.mu.Unlock()
			if n >= crashesToRefuse && t.at.Sub(list[crashesToRefuse-1].At) > contact && inTouch(t) {
				late++
			}
		}
		told = append(told, fmt.Sprintf("%s crashed %d workers, %d late", q.Path, len(list), late))
		if late > maxLateCrashes {
			found = append(found, fmt.Sprintf("POISON: request %d to %s crashed %d workers, %d of them late by nodes in touch, %d are allowed", i, q.Path, len(list), late, maxLateCrashes))
		}
	}
	return found, told
}

// crashedDuring reports whether a worker crashed while a request was under way, or about then.
func (p *poisons) crashedDuring(from time.Time, took time.Duration) bool {
	const about = time.Second
	for _, c := range p.site.Crashes() {
		if c.At.After(from.Add(-about)) && c.At.Before(from.Add(took+about)) {
			return true
		}
	}
	return false
}
