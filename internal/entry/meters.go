package entry

import (
	"fmt"
	"io"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"gradetiller.example/internal/core/run"
)

// maxAccountSeries is the maximum number of accounts with their own series.
// Further accounts share the series of account "other".
const maxAccountSeries = 1000

// meters holds the node's metrics.
type meters struct {
	set *metrics.Set

	mu       sync.Mutex
	accounts map[string]string
	requests map[seriesKey]*requestSeries
	stages   map[seriesKey]*stageSeries
}

type seriesKey struct{ a, b, c string }

type requestSeries struct {
	took   *metrics.Histogram
	onTime *metrics.Counter
	missed *metrics.Counter
}

type stageSeries struct {
	took *metrics.Histogram
	cost *metrics.FloatCounter
}

func newMeters() *meters {
	return &meters{
		set:      metrics.NewSet(),
		accounts: make(map[string]string),
		requests: make(map[seriesKey]*requestSeries),
		stages:   make(map[seriesKey]*stageSeries),
	}
}

func (m *meters) registerGauges(n *Node) {
	m.set.NewGauge("gradetiller_in_flight", func() float64 { return float64(n.InFlight()) })
	m.set.NewGauge("gradetiller_config_version", func() float64 {
		n.mu.Lock()
		defer n.mu.Unlock()
		return float64(n.version)
	})
	for _, c := range [...]struct {
		name string
		read func(run.Counters) uint64
	}{
		{"hedges", func(c run.Counters) uint64 { return c.Hedges }},
		{"retries", func(c run.Counters) uint64 { return c.Retries }},
		{"resumes", func(c run.Counters) uint64 { return c.Resumes }},
		{"skipped_stages", func(c run.Counters) uint64 { return c.Skips }},
		{"late_answers", func(c run.Counters) uint64 { return c.LateAnswers }},
		{"set_aside", func(c run.Counters) uint64 { return c.Ejections }},
	} {
		m.set.NewGauge("gradetiller_"+c.name+"_total", func() float64 { return float64(c.read(n.Counters())) })
	}
}

// accountLabel returns the label of an account, or "other" if maxAccountSeries
// accounts already have their own.
func (m *meters) accountLabel(name string) string {
	if label, ok := m.accounts[name]; ok {
		return label
	}
	if len(m.accounts) >= maxAccountSeries {
		return "other"
	}
	m.accounts[name] = name
	return name
}

func (m *meters) observeFinish(f run.Finish) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := f.Summary
	result := "ok"
	if f.Err != nil {
		result = f.Err.Kind().String()
	}
	m.set.GetOrCreateCounter(fmt.Sprintf("gradetiller_answers_total{result=%q}", result)).Inc()
	series := m.requestSeriesFor(seriesKey{m.accountLabel(s.Account), s.Class, s.Arm})
	if s.OnTime {
		series.onTime.Inc()
	} else {
		series.missed.Inc()
	}
	if f.Err == nil {
		series.took.Update(s.Took.Seconds())
	}
}

func (m *meters) requestSeriesFor(key seriesKey) *requestSeries {
	if s, ok := m.requests[key]; ok {
		return s
	}
	labels := fmt.Sprintf("{account=%q,class=%q,arm=%q", key.a, key.b, key.c)
	s := &requestSeries{
		took:   m.set.GetOrCreateHistogram("gradetiller_request_seconds" + labels + "}"),
		onTime: m.set.GetOrCreateCounter("gradetiller_requests_total" + labels + ",on_time=\"yes\"}"),
		missed: m.set.GetOrCreateCounter("gradetiller_requests_total" + labels + ",on_time=\"no\"}"),
	}
	m.requests[key] = s
	return s
}

func (m *meters) observeCall(a run.CallCost) {
	m.mu.Lock()
	defer m.mu.Unlock()
	key := seriesKey{a.Pipeline, a.Stage, a.Arm}
	s, ok := m.stages[key]
	if !ok {
		labels := fmt.Sprintf("{pipeline=%q,stage=%q,arm=%q}", key.a, key.b, key.c)
		s = &stageSeries{
			took: m.set.GetOrCreateHistogram("gradetiller_stage_seconds" + labels),
			cost: m.set.GetOrCreateFloatCounter("gradetiller_stage_cost_total" + labels),
		}
		m.stages[key] = s
	}
	s.took.Update(a.Took.Seconds())
	s.cost.Add(a.Cost)
}

func (m *meters) countDecision(d run.Decision) {
	if d.Name == run.DecidePlace {
		return
	}
	m.set.GetOrCreateCounter(fmt.Sprintf("gradetiller_decisions_total{decision=%q}", d.Name)).Inc()
}

func (m *meters) write(w io.Writer) { m.set.WritePrometheus(w) }
