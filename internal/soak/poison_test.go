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
	// deadly is the text in a request by which workers crash, poisonID begins the ids of
	// the tries of such requests.
	deadly   = "divide by zero"
	poisonID = probeID + "poison-"
	// poisonEvery is how often such a request comes back.
	poisonEvery = 300 * time.Millisecond
	// crashLapses and crashBack are how long after a crash the worker's entry goes, and
	// it begins anew.
	crashLapses = 900 * time.Millisecond
	crashBack   = 1500 * time.Millisecond
	// poisonSeed parts what poisons draw from what the other troubles draw, so that these
	// are the same with and without.
	poisonSeed = 11
	// crashesKnown is after how many crashes a request is known to cause them; poisonLate
	// how many it may cause later than the contact time after that, by nodes to which
	// nothing was done.
	crashesKnown = 3
	poisonLate   = 3
	// poisonContact is the contact time where no deployment gives one.
	poisonContact = 3 * time.Second
	// longestAgain is more than anybody is told to wait whose request is not refused
	// because it crashes workers.
	longestAgain = time.Minute
	// lastRounds is how often all nodes are asked in the end, with lastPause between.
	lastRounds = 6
	lastPause  = 2 * time.Second
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
	fronts []string
	list   []platformtest.Request
	rand   *rand.Rand
	mu     sync.Mutex
	tries  map[string]poisonTry
}

// poisonTry is one try: which node it was sent to, and when.
type poisonTry struct {
	node    int
	at      time.Time
	refused bool
}

func newPoisons(site *platformtest.Site, fronts []string, seed uint64, count int) *poisons {
	p := &poisons{site: site, fronts: fronts, rand: rand.New(rand.NewPCG(seed, poisonSeed)), tries: make(map[string]poisonTry)}
	for i := range count {
		q := poisonKinds[p.rand.IntN(len(poisonKinds))]
		q.Body = fmt.Sprintf("%s %d", deadly, i)
		if len(q.Pieces) > 0 {
			q.PieceKey = q.Body
		}
		p.list = append(p.list, q)
	}
	if count > 0 {
		site.CrashOn(deadly, crashLapses, crashBack)
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
				p.try(ctx, i, draw.IntN(len(p.fronts)))
				sleep(ctx, poisonEvery)
			}
		})
	}
	sending.Wait()
}

// try sends a request to a node and reports whether it is refused since it crashes
// workers.
func (p *poisons) try(ctx context.Context, i, node int) bool {
	q := p.list[i]
	q.Key, q.Deadline = apiKey, 2*time.Second
	p.mu.Lock()
	q.ID = fmt.Sprintf("%s%d-%d", poisonID, i, len(p.tries))
	t := poisonTry{node: node, at: time.Now()}
	p.tries[q.ID] = t
	p.mu.Unlock()
	limited, cancel := context.WithTimeout(ctx, q.Deadline)
	defer cancel()
	t.refused = refusedForLong(platformtest.Do(limited, p.fronts[node], q))
	p.mu.Lock()
	p.tries[q.ID] = t
	p.mu.Unlock()
	return t.refused
}

// refusedForLong reports whether an answer tells that its request is refused because it
// crashes workers.
func refusedForLong(a platformtest.Response) bool {
	again, err := strconv.ParseFloat(a.RetryAfter, 64)
	return err == nil && time.Duration(again*float64(time.Second)) > longestAgain
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
		if len(p.crashes(i)) < crashesKnown {
			continue
		}
		wrong := ""
		for round := range lastRounds {
			if round > 0 {
				time.Sleep(lastPause)
			}
			wrong = ""
			for node := range p.fronts {
				if !p.try(context.Background(), i, node) {
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

// late finds the requests that crashed too many workers later than the contact time after
// they had crashed enough, by nodes that were in touch.
func (p *poisons) late(contact time.Duration, inTouch func(t poisonTry) bool) (found, told []string) {
	for i, q := range p.list {
		list := p.crashes(i)
		late := 0
		for n, c := range list {
			p.mu.Lock()
			t := p.tries[c.RequestID]
			p.mu.Unlock()
			if n >= crashesKnown && t.at.Sub(list[crashesKnown-1].At) > contact && inTouch(t) {
				late++
			}
		}
		told = append(told, fmt.Sprintf("%s crashed %d workers, %d late", q.Path, len(list), late))
		if late > poisonLate {
			found = append(found, fmt.Sprintf("POISON: request %d to %s crashed %d workers, %d of them late by nodes in touch, %d are allowed", i, q.Path, len(list), late, poisonLate))
		}
	}
	return found, told
}

// struck reports whether a worker crashed while a request was under way, or about then.
func (p *poisons) struck(from time.Time, took time.Duration) bool {
	const about = time.Second
	for _, c := range p.site.Crashes() {
		if c.At.After(from.Add(-about)) && c.At.Before(from.Add(took+about)) {
			return true
		}
	}
	return false
}
