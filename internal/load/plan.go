package load

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"gradetiller.example/client"
	"gradetiller.example/internal/standin"
)

// Account is a client account and its weight in the load.
type Account struct {
	Name   string
	Key    string
	Weight int
}

// Pipeline is a pipeline and its weight in the load.
type Pipeline struct {
	Name   string
	Weight int
	// Once marks all requests of the pipeline as run at most once.
	Once bool
}

// Fault is a fault that is injected at the stand-in at a time after the start of the load.
type Fault struct {
	At   time.Duration
	Spec standin.FaultSpec
}

// Options describes the load.
type Options struct {
	Entries   []string
	Accounts  []Account
	Pipelines []Pipeline
	Requests  int
	// Rate is in requests per second (open loop); 0 means a closed loop of
	// Concurrency concurrent requests.
	Rate        float64
	Concurrency int
	// BurstAt, BurstFor and BurstFactor are the start, duration and rate factor of a
	// burst.
	BurstAt     time.Duration
	BurstFor    time.Duration
	BurstFactor float64
	Deadline    time.Duration
	// OnceShare and StreamShare are the shares of requests that run at most once and
	// that are streamed.
	OnceShare   float64
	StreamShare float64
	// Prefixes is the number of prompt prefixes that requests share; 0 means that
	// prompts have no shared prefix.
	Prefixes int
	Retries  int
	Seed     uint64
	// Faults are injected at the stand-in while the load runs.
	Faults []Fault
	// FaultAt is the start of the fault from which the recovery time is measured.
	FaultAt time.Duration
	// Measured names the accounts whose attainment is reported; all if empty.
	Measured []string
	// Standin is the stand-in's admin address; if empty, its counts are not checked.
	Standin string
}

// plannedRequest is one request and the time at which it is sent.
type plannedRequest struct {
	at      time.Duration
	account int
	request client.Request
	stream  bool
	marker  string
}

// plan derives all requests of the load from the seed.
func plan(o Options) []plannedRequest {
	r := rand.New(rand.NewPCG(o.Seed, 0))
	list := make([]plannedRequest, o.Requests)
	var at time.Duration
	for i := range list {
		account := pickWeighted(r, len(o.Accounts), func(i int) int { return o.Accounts[i].Weight })
		pipeline := o.Pipelines[pickWeighted(r, len(o.Pipelines), func(i int) int { return o.Pipelines[i].Weight })]
		marker := fmt.Sprintf("r%d-%d", o.Seed, i)
		list[i] = plannedRequest{
			at: at, account: account, marker: marker, stream: r.Float64() < o.StreamShare,
			request: client.Request{
				Pipeline: pipeline.Name,
				ID:       marker,
				Input:    buildInput(r, o, marker),
				Deadline: o.Deadline,
				Once:     pipeline.Once || r.Float64() < o.OnceShare,
				Class:    "interactive",
			},
		}
		if o.Rate > 0 {
			at += time.Duration(r.ExpFloat64() / o.rate(at) * float64(time.Second))
		}
	}
	return list
}

// rate returns the request rate at a time after the start of the load.
func (o Options) rate(at time.Duration) float64 {
	if o.BurstFactor > 0 && at >= o.BurstAt && at < o.BurstAt+o.BurstFor {
		return o.Rate * o.BurstFactor
	}
	return o.Rate
}

// pickWeighted returns a random index below n with probability proportional to its weight.
func pickWeighted(r *rand.Rand, n int, weight func(int) int) int {
	total := 0
	for i := range n {
		total += weight(i)
	}
	point := r.IntN(max(total, 1))
	for i := range n {
		if point < weight(i) {
			return i
		}
		point -= weight(i)
	}
	return n - 1
}

// buildInput builds a prompt: a prefix that other requests may share, then the marker
// that every result must contain.
func buildInput(r *rand.Rand, o Options, marker string) string {
	prefix := ""
	if o.Prefixes > 0 {
		prefix = fmt.Sprintf("%-70s", fmt.Sprintf("prompt %d of clinic rosters and slot plans ", r.IntN(o.Prefixes)))
		prefix = strings.ReplaceAll(prefix, " ", "_")
	}
	return prefix + "req=" + marker + ";plan the week"
}
