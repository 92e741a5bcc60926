package load

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"gradetiller.example/client"
	"gradetiller.example/failure"
	"gradetiller.example/internal/standin"
)

// outcome is the result of one request as seen by the client.
type outcome struct {
	planned *plannedRequest
	latency time.Duration
	answer  *client.Answer
	err     error
	crossed bool
	partial bool
}

// lostTimeout is the time after its deadline at which a request without a response
// counts as lost.
const lostTimeout = 3 * time.Second

// Run sends the load and returns its results.
func Run(ctx context.Context, o Options) (*Report, error) {
	clients := make([]*client.Client, len(o.Accounts))
	for i, a := range o.Accounts {
		c, err := client.New(a.Key, o.Entries, client.WithRetries(o.Retries))
		if err != nil {
			return nil, err
		}
		defer c.Close()
		clients[i] = c
	}
	list := plan(o)
	outcomes := make([]outcome, len(list))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for _, f := range o.Faults {
		go injectFault(ctx, o.Standin, f)
	}
	started := time.Now()
	if o.Rate > 0 {
		openLoop(ctx, o, list, outcomes, clients)
	} else {
		closedLoop(ctx, o, list, outcomes, clients)
	}
	report := newReport(o, outcomes, time.Since(started))
	if o.Standin == "" {
		return report, nil
	}
	return report, report.addStandinCounts(ctx, o.Standin)
}

func openLoop(ctx context.Context, o Options, list []plannedRequest, outcomes []outcome, clients []*client.Client) {
	var wg sync.WaitGroup
	started := time.Now()
	for i := range list {
		time.Sleep(time.Until(started.Add(list[i].at)))
		wg.Go(func() { outcomes[i] = send(ctx, o, &list[i], clients[list[i].account]) })
	}
	wg.Wait()
}

func closedLoop(ctx context.Context, o Options, list []plannedRequest, outcomes []outcome, clients []*client.Client) {
	var wg sync.WaitGroup
	next := make(chan int)
	for range max(o.Concurrency, 1) {
		wg.Go(func() {
			for i := range next {
				outcomes[i] = send(ctx, o, &list[i], clients[list[i].account])
			}
		})
	}
	for i := range list {
		next <- i
	}
	close(next)
	wg.Wait()
}

func send(ctx context.Context, o Options, p *plannedRequest, c *client.Client) outcome {
	ctx, cancel := context.WithTimeout(ctx, o.Deadline+lostTimeout)
	defer cancel()
	out := outcome{planned: p}
	started := time.Now()
	if p.stream {
		out.answer, out.err = c.Stream(ctx, p.request, func(string) {})
	} else {
		out.answer, out.err = c.Run(ctx, p.request)
	}
	out.latency = time.Since(started)
	if out.err == nil {
		out.crossed, out.partial = checkOutput(out.answer.Output(), p.marker)
	}
	return out
}

// checkOutput reports whether an output belongs to another request (crossed), and
// whether tokens are missing, duplicated or out of order (partial).
func checkOutput(output, marker string) (crossed, partial bool) {
	if strings.Contains(output, "req=") {
		return standin.Marker(output) != marker, false
	}
	for i, token := range strings.Fields(output) {
		if !strings.HasPrefix(token, marker+".") {
			return true, false
		}
		if token != fmt.Sprintf("%s.%d", marker, i) {
			return false, true
		}
	}
	return false, output == ""
}

// lost reports whether the client got no complete final response.
func (o *outcome) lost() bool {
	if o.err == nil {
		return o.partial
	}
	return failure.KindOf(o.err) == failure.Internal
}
