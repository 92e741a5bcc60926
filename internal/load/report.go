package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"gradetiller.example/failure"
	"gradetiller.example/internal/standin"
)

const (
	maxLatencyMicros  = int64(time.Minute / time.Microsecond)
	significantDigits = 3
)

// Report holds the results of a load.
type Report struct {
	requests, answered, onTime, notRun, failed int
	lost, doubled, crossed                     int
	byKind                                     map[failure.Kind]int
	accounts                                   []accountReport
	latencies                                  *hdrhistogram.Histogram
	cost                                       map[string]float64
	duration                                   time.Duration
	outcomes                                   []outcome
	recovery                                   time.Duration
}

type accountReport struct {
	name             string
	requests, onTime int
	measured         bool
}

func newReport(o Options, outcomes []outcome, d time.Duration) *Report {
	r := &Report{
		byKind: make(map[failure.Kind]int), duration: d, outcomes: outcomes,
		latencies: hdrhistogram.New(1, maxLatencyMicros, significantDigits),
	}
	for _, a := range o.Accounts {
		r.accounts = append(r.accounts, accountReport{name: a.Name, measured: len(o.Measured) == 0 || slices.Contains(o.Measured, a.Name)})
	}
	for i := range outcomes {
		r.add(o, &outcomes[i])
	}
	return r
}

func (r *Report) add(o Options, out *outcome) {
	r.requests++
	if at := out.planned.at; !out.onTime(o) && at+out.latency > o.FaultAt {
		r.recovery = max(r.recovery, at-o.FaultAt)
	}
	account := &r.accounts[out.planned.account]
	account.requests++
	if out.crossed {
		r.crossed++
	}
	if out.lost() {
		r.lost++
	}
	if out.err != nil {
		kind := failure.KindOf(out.err)
		r.byKind[kind]++
		if kind.Answer().Ran() == failure.RanNo {
			r.notRun++
		} else {
			r.failed++
		}
		return
	}
	r.answered++
	_ = r.latencies.RecordValue(min(int64(out.latency/time.Microsecond), maxLatencyMicros))
	if out.onTime(o) {
		r.onTime++
		account.onTime++
	}
}

func (o *outcome) onTime(opts Options) bool {
	return o.err == nil && o.answer.OnTime() && o.latency <= opts.Deadline
}

// Recovery returns the time from FaultAt to the sending of the last request that
// missed its deadline; 0 if none did.
func (r *Report) Recovery() time.Duration { return r.recovery }

// addStandinCounts adds the stand-in's costs and counts doubled runs. An at-most-once
// request that was answered with "not run" must not have run at all.
func (r *Report) addStandinCounts(ctx context.Context, address string) error {
	var counts []standin.Count
	if err := getJSON(ctx, address, "/admin/counts", &counts); err != nil {
		return err
	}
	if err := getJSON(ctx, address, "/admin/cost", &r.cost); err != nil {
		return err
	}
	refused := make(map[string]bool)
	for i := range r.outcomes {
		out := &r.outcomes[i]
		if out.err != nil && out.planned.request.Once && failure.KindOf(out.err).Answer().Ran() == failure.RanNo {
			refused[out.planned.marker] = true
		}
	}
	for _, c := range counts {
		if !c.Repeatable && (c.Runs > 1 || refused[c.RequestID]) {
			r.doubled++
		}
	}
	return nil
}

// injectFault waits for the fault's time and injects it at the stand-in.
func injectFault(ctx context.Context, address string, f Fault) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(f.At):
	}
	body, err := json.Marshal(f.Spec)
	if err != nil {
		return
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/admin/fault", bytes.NewReader(body))
	if err != nil {
		return
	}
	resp, err := (&http.Transport{}).RoundTrip(req)
	if err != nil {
		return
	}
	_ = resp.Body.Close()
}

func getJSON(ctx context.Context, address, path string, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return err
	}
	resp, err := (&http.Transport{}).RoundTrip(req)
	if err != nil {
		return fmt.Errorf("query the stand-in: %w", err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, out)
}

// Violations returns the number of lost results, doubled runs, and responses that
// belong to another request ("crossed").
func (r *Report) Violations() int { return r.lost + r.doubled + r.crossed }

// Attainment returns the share of the measured accounts' requests that completed
// within their deadline.
func (r *Report) Attainment() float64 {
	requests, onTime := 0, 0
	for _, a := range r.accounts {
		if a.measured {
			requests += a.requests
			onTime += a.onTime
		}
	}
	return float64(onTime) / float64(max(requests, 1))
}

// Summary returns the counts as one line.
func (r *Report) Summary() string {
	return fmt.Sprintf("requests=%d answered=%d on_time=%d not_run=%d failed=%d lost=%d doubled=%d crossed=%d",
		r.requests, r.answered, r.onTime, r.notRun, r.failed, r.lost, r.doubled, r.crossed)
}

// Row returns the results as one table row.
func (r *Report) Row() string {
	var b strings.Builder
	fmt.Fprintf(&b, "attainment=%.4f p50_ms=%.1f p99_ms=%.1f goodput=%.1f", r.Attainment(),
		float64(r.latencies.ValueAtQuantile(50))/1000, float64(r.latencies.ValueAtQuantile(99))/1000,
		float64(r.onTime)/r.duration.Seconds())
	for _, stage := range []string{"encoding", "retrieval", "reranking", "generation"} {
		fmt.Fprintf(&b, " cost_%s=%.2f", stage, r.cost[stage])
	}
	fmt.Fprintf(&b, " recovery_ms=%d lost=%d doubled=%d crossed=%d", r.recovery.Milliseconds(), r.lost, r.doubled, r.crossed)
	return b.String()
}

// Details returns lines with the attainment by account, errors by kind and cost by stage.
func (r *Report) Details() []string {
	var lines []string
	for _, a := range r.accounts {
		lines = append(lines, fmt.Sprintf("account=%s requests=%d attainment=%.4f", a.name, a.requests, float64(a.onTime)/float64(max(a.requests, 1))))
	}
	for _, k := range failure.Kinds() {
		if n := r.byKind[k]; n > 0 {
			lines = append(lines, fmt.Sprintf("error=%s count=%d", k, n))
		}
	}
	var stages []string
	for s := range r.cost {
		stages = append(stages, s)
	}
	slices.Sort(stages)
	for _, s := range stages {
		lines = append(lines, fmt.Sprintf("stage=%s cost=%.3f", s, r.cost[s]))
	}
	return lines
}
