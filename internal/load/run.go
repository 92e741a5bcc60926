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

// outcome is what the caller saw of one request.
type outcome struct {
	planned *planned
	took    time.Duration
	answer  *client.Answer
	err     error
	crossed bool
	partial bool
}

// hardStop is how long after its deadline a request may stay without an
// answer before it counts as lost.
const hardStop = 3 * time.Second

// Run sends the load and returns what came of it.
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
		go orderFault(ctx, o.Standin, f)
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
	return report, report.addOutside(ctx, o.Standin)
}

func openLoop(ctx context.Context, o Options, list []planned, outcomes []outcome, clients []*client.Client) {
	var wait sync.WaitGroup
	started := time.Now()
	for i := range list {
		time.Sleep(time.Until(started.Add(list[i].at)))
		wait.Go(func() { outcomes[i] = send(ctx, o, &list[i], clients[list[i].account]) })
	}
	wait.Wait()
}

func closedLoop(ctx context.Context, o Options, list []planned, outcomes []outcome, clients []*client.Client) {
	var wait sync.WaitGroup
	next := make(chan int)
	for range max(o.Concurrency, 1) {
		wait.Go(func() {
			for i := range next {
				outcomes[i] = send(ctx, o, &list[i], clients[list[i].account])
			}
		})
	}
	for i := range list {
		next <- i
	}
	close(next)
	wait.Wait()
}

func send(ctx context.Context, o Options, p *planned, c *client.Client) outcome {
	ctx, cancel := context.WithTimeout(ctx, o.Deadline+hardStop)
	defer cancel()
	out := outcome{planned: p}
	started := time.Now()
	if p.stream {
		out.answer, out.err = c.Stream(ctx, p.request, func(string) {})
	} else {
		out.answer, out.err = c.Run(ctx, p.request)
	}
	out.took = time.Since(started)
	if out.err == nil {
		out.crossed, out.partial = inspect(out.answer.Output(), p.marker)
	}
	return out
}

// inspect reports whether an answer belongs to another request, and whether a
// part of it is missing, doubled or out of order.
func inspect(output, marker string) (crossed, partial bool) {
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

// lost reports whether the caller was left without a final answer.
func (o *outcome) lost() bool {
	if o.err == nil {
		return o.partial
	}
	return failure.KindOf(o.err) == failure.Internal
}
