package place

import (
	"slices"
	"time"

	"gradetiller.example/internal/policy"
)

// Policy picks an endpoint of the pool, or None.
type Policy func(p *Pool, now time.Time, req Request) int

var policies = policy.NewRegistry[Policy]()

func init() {
	policies.Register("round_robin", roundRobin)
	policies.Register("least_outstanding", leastOutstanding)
	policies.Register("power_of_two", powerOfTwo)
	policies.Register("predicted_finish", predictedFinish)
}

// Names lists the registered policies.
func Names() []string { return policies.Names() }

// Lookup finds a policy by name.
func Lookup(name string) (Policy, bool) { return policies.Lookup(name) }

// sampleSize is how many endpoints a sampling policy looks at. Pools up to
// this size are looked at whole.
const sampleSize = 12

// Accepts reports whether endpoint i can take a call now that another node has placed there.
// If the endpoint bounds what it takes, that node has counted the call.
func (p *Pool) Accepts(now time.Time, i int, req Request) bool {
	return i != req.Exclude && !slices.Contains(req.Tried, i) && p.endpoints[i].available(now, req.Version)
}

// usable reports whether endpoint i can take a call now, by this node's own choice.
func (p *Pool) usable(now time.Time, i int, req Request) bool {
	e := &p.endpoints[i]
	return p.Accepts(now, i, req) && e.spec.Pace.Due(now, &e.sends)
}

// firstUsable returns the first usable endpoint from start on, going round once.
func (p *Pool) firstUsable(now time.Time, start int, req Request) int {
	n := len(p.endpoints)
	for k := range n {
		i := (start + k) % n
		if p.usable(now, i, req) {
			return i
		}
	}
	return None
}

func roundRobin(p *Pool, now time.Time, req Request) int {
	i := p.firstUsable(now, p.nextIndex%len(p.endpoints), req)
	if i != None {
		p.nextIndex = i + 1
	}
	return i
}

// scoreTolerance: endpoints whose scores differ less are taken as equal, and the
// random start decides. Without it, light load stayed on the one endpoint that
// was a little faster, and the others were never measured again.
const scoreTolerance = 0.9

// bestOfSample returns the usable endpoint of lowest score in a sample of the given
// size that starts anywhere. A sample without a usable endpoint falls back to
// the first usable one behind it.
func (p *Pool) bestOfSample(now time.Time, size int, req Request, score func(*Pool, time.Time, int, Request) float64) int {
	n := len(p.endpoints)
	start := p.rand.IntN(n)
	stride := 1
	if n > size {
		stride = 1 + p.rand.IntN(n/size)
	}
	chosen, lowest := None, 0.0
	for k := range min(size, n) {
		i := (start + k*stride) % n
		if !p.usable(now, i, req) {
			continue
		}
		if s := score(p, now, i, req); chosen == None || s < scoreTolerance*lowest {
			chosen, lowest = i, s
		}
	}
	if chosen == None {
		return p.firstUsable(now, start, req)
	}
	return chosen
}

// maxLeastOutstandingSample bounds the scan of leastOutstanding, so that its time is bounded
// too: 8.2 µs for a whole pool of 600 was over the 5 µs that a choice may take.
const maxLeastOutstandingSample = 64

func leastOutstanding(p *Pool, now time.Time, req Request) int {
	return p.bestOfSample(now, maxLeastOutstandingSample, req, outstandingScore)
}

func powerOfTwo(p *Pool, now time.Time, req Request) int {
	return p.bestOfSample(now, 2, req, outstandingScore)
}

func outstandingScore(p *Pool, _ time.Time, i int, _ Request) float64 {
	e := &p.endpoints[i]
	return float64(e.outstanding) / float64(max(e.spec.Slots, 1))
}
