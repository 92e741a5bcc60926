package node

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"gradetiller.example/internal/core/booking"
	"gradetiller.example/internal/core/membudget"
	"gradetiller.example/internal/core/reach"
	"gradetiller.example/internal/core/signal"
	"gradetiller.example/internal/logging"
	"gradetiller.example/internal/wire"
)

const (
	metricsPath = "/metrics"
	// maxSeries bounds the number of distinct label values. All further ones are exported as
	// "other".
	maxSeries = 400
)

// meters holds the node's metrics.
type meters struct {
	set    *metrics.Set
	mu     sync.Mutex
	series map[string]bool
}

func newMeters(n *Node) *meters {
	m := &meters{set: metrics.NewSet(), series: make(map[string]bool)}
	m.set.NewGauge("gradetiller_in_flight", func() float64 { return float64(n.inFlight.Load()) })
	m.set.NewGauge("gradetiller_body_bytes_held", func() float64 { return float64(n.memory.Held()) })
	for _, kind := range membudget.Kinds() {
		m.set.NewGauge(fmt.Sprintf(`gradetiller_bytes_held{kind=%q}`, kind), func() float64 { return float64(n.memory.HeldOf(kind)) })
	}
	m.set.NewGauge("gradetiller_engine_tokens_reserved", func() float64 { return n.leaders.modelPools.reservedShare(time.Now()) })
	m.set.NewGauge("gradetiller_config_version", func() float64 { return float64(n.view.Load().version()) })
	m.set.NewGauge("gradetiller_endpoints", func() float64 { return float64(n.view.Load().endpoints.Len()) })
	m.set.NewGauge("gradetiller_failure_domains_evacuated", func() float64 { return float64(len(n.view.Load().evacuations.Domains())) })
	m.set.NewGauge("gradetiller_store_era", func() float64 { return float64(n.view.Load().revision.Era()) })
	m.set.NewGauge("gradetiller_endpoints_kept", func() float64 { return float64(n.keptEndpoints.Load()) })
	m.set.NewGauge("gradetiller_view_age_seconds", func() float64 { return time.Since(n.view.Load().freshness.List).Seconds() })
	m.set.NewGauge("gradetiller_config_age_seconds", func() float64 { return time.Since(n.view.Load().freshness.Config).Seconds() })
	m.set.NewGauge("gradetiller_readers_age_seconds", func() float64 { return time.Since(n.view.Load().freshness.Primaries).Seconds() })
	m.set.NewGauge("gradetiller_reads_store", func() float64 { return boolValue(n.readsStore.Load()) })
	m.set.NewGauge("gradetiller_configurations_refused_total", func() float64 { return float64(n.configsRefused.Load()) })
	m.set.NewGauge("gradetiller_members_live", func() float64 { return float64(n.liveNodes.Load()) })
	m.set.NewGauge("gradetiller_store_lost", func() float64 { return boolValue(n.storeLost[callConfig].Load() || n.storeLost[callEndpoints].Load()) })
	m.set.NewGauge("gradetiller_draining", func() float64 { return boolValue(n.stopping()) })
	m.set.NewGauge("gradetiller_cells_led", func() float64 { return float64(n.cellsLed()) })
	m.set.NewGauge("gradetiller_standby_cells", func() float64 { return float64(n.standbys.watching()) })
	m.set.NewGauge("gradetiller_poison_suspects", func() float64 { suspects, _ := n.poisonGuard.sizes(); return float64(suspects) })
	m.set.NewGauge("gradetiller_poison_known", func() float64 { _, known := n.poisonGuard.sizes(); return float64(known) })
	m.set.NewGauge("gradetiller_endpoints_limited", func() float64 { return float64(n.signals.limited()) })
	m.set.NewGauge("gradetiller_endpoints_draining", func() float64 { return float64(n.signals.draining()) })
	m.set.NewGauge("gradetiller_endpoints_in_backoff", func() float64 { return float64(n.signals.inBackoff(time.Now())) })
	m.set.NewGauge("gradetiller_endpoint_slowdown", func() float64 { return n.signals.slowdown(time.Now()) })
	m.set.NewGauge("gradetiller_services_brittle", func() float64 { return float64(n.brittle.count()) })
	m.set.NewGauge("gradetiller_relays_open", func() float64 { return float64(n.relaysOpen.Load()) })
	m.set.NewGauge("gradetiller_endpoint_paths_lost", func() float64 { return float64(n.paths.lost()) })
	m.set.NewGauge("gradetiller_stream_origins", func() float64 { records, _ := n.origins.size(); return float64(records) })
	m.set.NewGauge("gradetiller_stream_origins_dropped_total", func() float64 { _, dropped := n.origins.size(); return float64(dropped) })
	m.bookings(n.leaders.bookings)
	if n.droppedLines != nil {
		m.droppedLines("ordinary", func() uint64 { return n.droppedLines(logging.Ordinary) })
		m.droppedLines("urgent", func() uint64 { return n.droppedLines(logging.Urgent) })
	}
	return m
}

// droppedLines exports the number of dropped log lines of a priority.
func (m *meters) droppedLines(priority string, count func() uint64) {
	m.set.NewGauge(fmt.Sprintf(`gradetiller_log_lines_dropped_total{kind=%q}`, priority), func() float64 { return float64(count()) })
}

// bookings exports the counts of the bookings of the cells that this node leads or led.
func (m *meters) bookings(stats func() booking.Stats) {
	for outcome, count := range map[string]func(booking.Stats) uint64{
		"offered":  func(s booking.Stats) uint64 { return s.Offered },
		"redeemed": func(s booking.Stats) uint64 { return s.Redeemed },
		"lapsed":   func(s booking.Stats) uint64 { return s.Lapsed },
		"early":    func(s booking.Stats) uint64 { return s.Early },
		"none":     func(s booking.Stats) uint64 { return s.None },
	} {
		m.set.NewGauge(fmt.Sprintf(`gradetiller_bookings_total{outcome=%q}`, outcome), func() float64 { return float64(count(stats())) })
	}
	m.set.NewGauge("gradetiller_bookings_open", func() float64 { return float64(stats().Open) })
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// label returns the value, or "other" if there are too many distinct values already.
func (m *meters) label(value string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.series[value] {
		if len(m.series) >= maxSeries {
			return "other"
		}
		m.series[value] = true
	}
	return value
}

// responseCut counts a response that was not read to its end.
func (m *meters) responseCut(kind membudget.Kind, reason cutReason) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`gradetiller_responses_cut_total{kind=%q,reason=%q}`, kind, reason)).Inc()
}

// panicked counts a task that ended with a panic.
func (m *meters) panicked(t task) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`gradetiller_panics_total{task=%q}`, t)).Inc()
}

// originsWritten counts a batch of records of streams that was written to the store, or could not be.
func (m *meters) originsWritten(records int, ok bool) {
	result := "written"
	if !ok {
		result = "failed"
	}
	m.set.GetOrCreateCounter(fmt.Sprintf(`gradetiller_stream_origin_batches_total{result=%q}`, result)).Inc()
	if ok {
		m.set.GetOrCreateCounter(`gradetiller_stream_origins_stored_total`).Add(records)
	}
}

// responsePassedOn counts a response that is too large to be held whole.
func (m *meters) responsePassedOn(service string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`gradetiller_responses_passed_on_total{service=%q}`, m.label(service))).Inc()
}

// request counts a request that has ended.
func (m *meters) request(q *request, status int) {
	route, account := "none", "none"
	if q.route != nil {
		route = m.label(q.route.Name)
	}
	if q.account != "" {
		account = m.label(q.account)
	}
	took := time.Since(q.arrived).Seconds()
	m.set.GetOrCreateCounter(fmt.Sprintf(`gradetiller_requests_total{route=%q,status="%d"}`, route, status)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf(`gradetiller_request_seconds{route=%q}`, route)).Update(took)
	m.set.GetOrCreateHistogram(fmt.Sprintf(`gradetiller_account_seconds{account=%q}`, account)).Update(took)
	if q.sent > 1 {
		m.set.GetOrCreateCounter(fmt.Sprintf(`gradetiller_repeats_total{service=%q}`, m.label(q.service))).Add(q.sent - 1)
	}
}

// abortedByShutdown counts a request that was cut off by the end of the process.
func (m *meters) abortedByShutdown(route string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`gradetiller_given_up_at_stop_total{route=%q}`, m.label(route))).Inc()
}

// probed counts a probe of an endpoint at which runs broke, by whether the endpoint refused
// the connection.
func (m *meters) probed(refuses bool) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`gradetiller_runs_broken_total{endpoint_refuses="%t"}`, refuses)).Inc()
}

// endpointCrashed counts an endpoint that crashed under runs of this node.
func (m *meters) endpointCrashed() {
	m.set.GetOrCreateCounter("gradetiller_endpoints_ended_total").Inc()
}

// standbyMessage counts a message to the standby of a cell that this node leads.
func (m *meters) standbyMessage() {
	m.set.GetOrCreateCounter("gradetiller_standby_messages_total").Inc()
}

// leaderPinged counts a ping of a leader that sent nothing for a while.
func (m *meters) leaderPinged(answered bool) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`gradetiller_leader_pings_total{answered="%t"}`, answered)).Inc()
}

// tookOver counts a cell that this node took over as its standby, and its own work that it resubmits.
func (m *meters) tookOver(tasks int) {
	m.set.GetOrCreateCounter("gradetiller_takeovers_total").Inc()
	m.resubmitted(tasks)
}

// resubmitted counts tasks that are submitted again since another leader took over.
func (m *meters) resubmitted(tasks int) {
	m.set.GetOrCreateCounter("gradetiller_resubmitted_total").Add(tasks)
}

// dialed counts an attempt to open a direct connection to an endpoint.
func (m *meters) dialed(service string, o reach.Outcome) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`gradetiller_endpoint_dials_total{service=%q,outcome=%q}`, m.label(service), o)).Inc()
}

// askedRelay counts the answer of a node that was asked to connect to an endpoint of a service, and
// relayed the answer of this node to another one.
func (m *meters) askedRelay(service string, a relayAnswer) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`gradetiller_relays_asked_total{service=%q,answer=%q}`, m.label(service), a)).Inc()
}

func (m *meters) relayed(r wire.RelayResult) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`gradetiller_relays_total{result=%q}`, r)).Inc()
}

// observedLimit counts a response that advertises a rate limit.
func (m *meters) observedLimit() {
	m.set.GetOrCreateCounter("gradetiller_answers_of_limited_endpoints_total").Inc()
}

// invalidSignal counts a signal of an endpoint that cannot be parsed.
func (m *meters) invalidSignal(kind signal.Name) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`gradetiller_signals_invalid_total{signal=%q}`, string(kind))).Inc()
}

// secondAttempt counts a second attempt of a request that waits for its first one, and secondAttemptWon
// one that is answered first.
func (m *meters) secondAttempt(service string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`gradetiller_second_attempts_total{service=%q}`, m.label(service))).Inc()
}

func (m *meters) secondAttemptWon(service string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`gradetiller_second_attempts_won_total{service=%q}`, m.label(service))).Inc()
}

// observedBackoff counts a rejection that asks for a backoff.
func (m *meters) observedBackoff() { m.set.GetOrCreateCounter("gradetiller_backoffs_total").Inc() }

// streamContinued counts an attempt that continues a stream, by how its origin is known and by how the
// software version at which it goes on compares with the one at which it began.
func (m *meters) streamContinued(service string, source originSource, versions string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`gradetiller_streams_continued_total{service=%q,source=%q,versions=%q}`, m.label(service), string(source), versions)).Inc()
}

// continuationRefused counts a request that continues a stream and is refused.
func (m *meters) continuationRefused(service, cause string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`gradetiller_continuations_refused_total{service=%q,cause=%q}`, m.label(service), cause)).Inc()
}

// poisonRefused counts a request that is refused because it crashes endpoints, by its content or by a
// part of its prompt.
func (m *meters) poisonRefused(route, by string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`gradetiller_poison_refused_total{route=%q,by=%q}`, m.label(route), by)).Inc()
}

// refusedByShutdown counts a request that a stopping node had no time to finish.
func (m *meters) refusedByShutdown(route string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`gradetiller_turned_away_at_stop_total{route=%q}`, m.label(route))).Inc()
}

// stageCall counts a call of a stage pool that this node leads.
func (m *meters) stageCall(service string, pieces, unmade int, took time.Duration) {
	service = m.label(service)
	m.set.GetOrCreateCounter(fmt.Sprintf(`gradetiller_stage_calls_total{service=%q}`, service)).Inc()
	m.set.GetOrCreateCounter(fmt.Sprintf(`gradetiller_stage_pieces_total{service=%q}`, service)).Add(pieces)
	m.set.GetOrCreateCounter(fmt.Sprintf(`gradetiller_stage_unmade_total{service=%q}`, service)).Add(unmade)
	m.set.GetOrCreateHistogram(fmt.Sprintf(`gradetiller_stage_call_seconds{service=%q}`, service)).Update(took.Seconds())
}

// admission counts a task that was submitted to a stage pool that this node leads.
func (m *meters) admission(route string, admitted bool) {
	route = m.label(route)
	m.set.GetOrCreateCounter(fmt.Sprintf(`gradetiller_admission_offered_total{route=%q}`, route)).Inc()
	if admitted {
		m.set.GetOrCreateCounter(fmt.Sprintf(`gradetiller_admission_admitted_total{route=%q}`, route)).Inc()
	}
}

// headroom exports the largest part of the room that requests of a route are asked to leave for others.
func (m *meters) headroom(route string, part float64) {
	m.set.GetOrCreateGauge(fmt.Sprintf(`gradetiller_admission_headroom{route=%q}`, m.label(route)), nil).Set(part)
}

// stageState exports the state of a stage service that this node leads.
func (m *meters) stageState(service string, queued, backlog, busy int, room float64) {
	service = m.label(service)
	for _, g := range []struct {
		name  string
		value float64
	}{
		{"queued_pieces", float64(queued)},
		{"backlog_pieces", float64(backlog)},
		{"busy_endpoints", float64(busy)},
		{"room_used_ratio", room},
	} {
		m.set.GetOrCreateGauge(fmt.Sprintf(`gradetiller_stage_%s{service=%q}`, g.name, service), nil).Set(g.value)
	}
}

// writeMetrics writes all metrics.
func (n *Node) writeMetrics(w io.Writer) {
	n.meters.set.WritePrometheus(w)
	n.rollouts.writeMetrics(w, time.Now())
}

// serveMetrics serves metrics until the process ends. If the address is in use, the node runs
// without metrics.
func (n *Node) serveMetrics() {
	if n.metricsAddress == "" {
		return
	}
	l, err := net.Listen("tcp", n.metricsAddress)
	if err != nil {
		n.log.Warn(eventNoMetrics, zap.String("address", n.metricsAddress), zap.Error(err))
		return
	}
	mux := http.NewServeMux()
	mux.HandleFunc(metricsPath, func(w http.ResponseWriter, _ *http.Request) { n.writeMetrics(w) })
	server := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	go func() { _ = server.Serve(l) }()
}
