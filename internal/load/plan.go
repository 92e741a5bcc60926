package load

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"gradetiller.example/client"
	"gradetiller.example/internal/standin"
)

// Account is one client account and its part of the load.
type Account struct {
	Name   string
	Key    string
	Weight int
}

// Pipeline is one pipeline and its part of the load.
type Pipeline struct {
	Name   string
	Weight int
	// Once pipelines are always marked as not to be repeated.
	Once bool
}

// Fault is an order to the stand-in at a time of the load.
type Fault struct {
	At    time.Duration
	Spec standin.FaultSpec
}

// Options describe the load.
type Options struct {
	Entries   []string
	Accounts  []Account
	Pipelines []Pipeline
	Requests  int
	// Rate is in requests a second (open loop); 0 means a closed loop of
	// Concurrency callers.
	Rate        float64
	Concurrency int
	// BurstAt, BurstFor and BurstFactor raise the rate for a while.
	BurstAt     time.Duration
	BurstFor    time.Duration
	BurstFactor float64
	Deadline    time.Duration
	// OnceShare and StreamShare are shares of the requests.
	OnceShare   float64
	StreamShare float64
	// Prefixes is the number of prompt prefixes that requests share; 0 means
	// that every prompt is its own.
	Prefixes int
	Retries  int
	Seed     uint64
	// Faults are ordered at the stand-in while the load runs.
	Faults []Fault
	// FaultAt is when a fault begins, for the time of recovery.
	FaultAt time.Duration
	// Measured names the accounts whose attainment is reported; empty means
	// all.
	Measured []string
	// Standin is the stand-in's admin address; "" skips the outside counts.
	Standin string
}

// planned is one request to send.
type planned struct {
	at      time.Duration
	account int
	request client.Request
	stream  bool
	marker  string
}

// plan lays the whole load out from the seed.
func plan(o Options) []planned {
	r := rand.New(rand.NewPCG(o.Seed, 0))
	list := make([]planned, o.Requests)
	var at time.Duration
	for i := range list {
		account := pick(r, len(o.Accounts), func(i int) int { return o.Accounts[i].Weight })
		pipeline := o.Pipelines[pick(r, len(o.Pipelines), func(i int) int { return o.Pipelines[i].Weight })]
		marker := fmt.Sprintf("r%d-%d", o.Seed, i)
		list[i] = planned{
			at: at, account: account, marker: marker, stream: r.Float64() < o.StreamShare,
			request: client.Request{
				Pipeline: pipeline.Name,
				ID:       marker,
				Input:    input(r, o, marker),
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

func (o Options) rate(at time.Duration) float64 {
	if o.BurstFactor > 0 && at >= o.BurstAt && at < o.BurstAt+o.BurstFor {
		return o.Rate * o.BurstFactor
	}
	return o.Rate
}

func pick(r *rand.Rand, n int, weight func(int) int) int {
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

// input builds a prompt: a prefix that others may share, then the marker that
// every result must carry.
func input(r *rand.Rand, o Options, marker string) string {
	prefix := ""
	if o.Prefixes > 0 {
		prefix = fmt.Sprintf("%-70s", fmt.Sprintf("prompt %d of clinic rosters and slot plans ", r.IntN(o.Prefixes)))
		prefix = strings.ReplaceAll(prefix, " ", "_")
	}
	return prefix + "req=" + marker + ";plan the week"
}
