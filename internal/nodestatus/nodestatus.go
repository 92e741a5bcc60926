// Package nodestatus summarizes the metrics of running nodes for operators: what is admitted of each
// route, the open bookings, the rollouts, and how slow endpoints are.
//
// Counters are compared between two readings, so that shares are those of the time in between; with
// empty earlier readings they are those since the nodes started. Metrics that a node doesn't export,
// because it is of an earlier version or doesn't lead, count as absent.
//
// # Usage
//
//	before, err := nodestatus.Parse("10.0.0.1:7750", body)
//	after, err := nodestatus.Parse("10.0.0.1:7750", laterBody)
//	fmt.Print(nodestatus.Summarize([]nodestatus.Node{before}, []nodestatus.Node{after}))
package nodestatus

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

// The metrics that are shown.
const (
	metricConfig     = "gradetiller_config_version"
	metricCells      = "gradetiller_cells_led"
	metricInFlight   = "gradetiller_in_flight"
	metricSlowdown   = "gradetiller_endpoint_slowdown"
	metricOffered    = "gradetiller_admission_offered_total"
	metricAdmitted   = "gradetiller_admission_admitted_total"
	metricHeadroom   = "gradetiller_admission_headroom"
	metricBookings   = "gradetiller_bookings_total"
	metricOpen       = "gradetiller_bookings_open"
	metricRollout    = "gradetiller_rollout_share"
	metricInvalid    = "gradetiller_signals_invalid_total"
	metricSeconds    = "gradetiller_second_attempts_total"
	metricSecondsWon = "gradetiller_second_attempts_won_total"
	labelRoute       = "route"
	labelOutcome     = "outcome"
	labelSignal      = "signal"
	labelService     = "service"
	unknown          = "-"
)

// Node is one reading of a node's metrics.
type Node struct {
	address  string
	families map[string]*dto.MetricFamily
}

// Parse reads the metrics of the node with the given metrics address.
func Parse(address string, text io.Reader) (Node, error) {
	parser := expfmt.NewTextParser(model.LegacyValidation)
	families, err := parser.TextToMetricFamilies(text)
	if err != nil {
		return Node{}, fmt.Errorf("metrics of %s: %w", address, err)
	}
	return Node{address: address, families: families}, nil
}

// sample is one value of a metric with its labels.
type sample struct {
	labels map[string]string
	value  float64
}

func (n Node) samples(metric string) []sample {
	family, ok := n.families[metric]
	if !ok {
		return nil
	}
	var list []sample
	for _, m := range family.GetMetric() {
		labels := make(map[string]string, len(m.GetLabel()))
		for _, l := range m.GetLabel() {
			labels[l.GetName()] = l.GetValue()
		}
		list = append(list, sample{labels, m.GetUntyped().GetValue() + m.GetGauge().GetValue() + m.GetCounter().GetValue()})
	}
	return list
}

// value returns a metric without labels as text, or unknown.
func (n Node) value(metric string) string {
	if list := n.samples(metric); len(list) > 0 {
		return number(list[0].value)
	}
	return unknown
}

func number(v float64) string { return fmt.Sprintf("%.6g", v) }

// increases returns the sum over all nodes by which a counter grew, by the value of a label. A counter
// that is lower than before belongs to a node that started anew.
func increases(before, after []Node, metric, label string) map[string]float64 {
	type key struct{ address, value string }
	earlier := make(map[key]float64)
	for _, n := range before {
		for _, s := range n.samples(metric) {
			earlier[key{n.address, s.labels[label]}] += s.value
		}
	}
	sums := make(map[string]float64)
	for _, n := range after {
		for _, s := range n.samples(metric) {
			from := earlier[key{n.address, s.labels[label]}]
			if from > s.value {
				from = 0
			}
			sums[s.labels[label]] += s.value - from
		}
	}
	return sums
}

// Summarize returns one line for each node, route, outcome of bookings and rollout.
func Summarize(before, after []Node) string {
	var b strings.Builder
	for _, n := range after {
		fmt.Fprintf(&b, "node=%s config=%s cells_led=%s in_flight=%s bookings_open=%s endpoint_slowdown=%s\n",
			n.address, n.value(metricConfig), n.value(metricCells), n.value(metricInFlight), n.value(metricOpen), n.value(metricSlowdown))
	}
	writeRoutes(&b, before, after)
	writeBookings(&b, before, after)
	writeRollouts(&b, after)
	writeEndpoints(&b, before, after)
	return b.String()
}

// writeRoutes writes what was admitted of each route, and the most headroom that a leader keeps from it.
func writeRoutes(b *strings.Builder, before, after []Node) {
	offered := increases(before, after, metricOffered, labelRoute)
	admitted := increases(before, after, metricAdmitted, labelRoute)
	headroom := make(map[string]float64)
	for _, n := range after {
		for _, s := range n.samples(metricHeadroom) {
			headroom[s.labels[labelRoute]] = max(headroom[s.labels[labelRoute]], s.value)
		}
	}
	for _, route := range slices.Sorted(maps.Keys(offered)) {
		share := unknown
		if offered[route] > 0 {
			share = fmt.Sprintf("%.3f", admitted[route]/offered[route])
		}
		fmt.Fprintf(b, "route=%s offered=%s admitted=%s share=%s headroom=%.3f\n", route, number(offered[route]), number(admitted[route]), share, headroom[route])
	}
}

func writeBookings(b *strings.Builder, before, after []Node) {
	open, known := 0.0, false
	for _, n := range after {
		for _, s := range n.samples(metricOpen) {
			open += s.value
			known = true
		}
	}
	outcomes := increases(before, after, metricBookings, labelOutcome)
	if !known && len(outcomes) == 0 {
		return
	}
	fmt.Fprintf(b, "bookings open=%s", number(open))
	for _, outcome := range slices.Sorted(maps.Keys(outcomes)) {
		fmt.Fprintf(b, " %s=%s", outcome, number(outcomes[outcome]))
	}
	b.WriteByte('\n')
}

// writeRollouts writes the stages of the rollouts. Nodes that state different stages of one rollout give
// a line each.
func writeRollouts(b *strings.Builder, after []Node) {
	nodes := make(map[string]int)
	for _, n := range after {
		for _, s := range n.samples(metricRollout) {
			nodes[fmt.Sprintf("rollout service=%s version=%s phase=%s share=%.3f", s.labels[labelService], s.labels["version"], s.labels["phase"], s.value)]++
		}
	}
	for _, line := range slices.Sorted(maps.Keys(nodes)) {
		fmt.Fprintf(b, "%s nodes=%d\n", line, nodes[line])
	}
}

// writeEndpoints writes the mean slowdown over the nodes that know one, the second attempts and the
// invalid signals.
func writeEndpoints(b *strings.Builder, before, after []Node) {
	sum, count := 0.0, 0
	for _, n := range after {
		for _, s := range n.samples(metricSlowdown) {
			if s.value > 0 {
				sum += s.value
				count++
			}
		}
	}
	slowdown := unknown
	if count > 0 {
		slowdown = fmt.Sprintf("%.3f", sum/float64(count))
	}
	total := func(metric, label string) string {
		sum := 0.0
		for _, v := range increases(before, after, metric, label) {
			sum += v
		}
		return number(sum)
	}
	fmt.Fprintf(b, "endpoints slowdown=%s second_attempts=%s second_attempts_won=%s invalid_signals=%s\n", slowdown, total(metricSeconds, labelService), total(metricSecondsWon, labelService), total(metricInvalid, labelSignal))
}
