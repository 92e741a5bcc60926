// Package compare evaluates the arms of an experiment: the attainment of each
// arm with its 95% confidence interval, its cost by stage, and whether the
// difference between two arms is statistically significant.
//
// # Usage
//
//	arms := compare.Read(metricsTexts, "trial")
//	fmt.Println(compare.Report(arms))
package compare

import (
	"bufio"
	"cmp"
	"fmt"
	"math"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// zScore95 is the normal quantile of a 95% interval.
const zScore95 = 1.96

// Arm holds the counts of one arm, summed over all nodes.
type Arm struct {
	name           string
	onTime, missed float64
	cost           map[string]float64
}

// Name returns the arm's name.
func (a *Arm) Name() string { return a.name }

// Requests returns the number of requests.
func (a *Arm) Requests() float64 { return a.onTime + a.missed }

// Attainment returns the share of requests that were on time, and the bounds of
// its 95% Wilson score interval.
func (a *Arm) Attainment() (share, low, high float64) {
	n := a.Requests()
	if n == 0 {
		return 0, 0, 1
	}
	p := a.onTime / n
	center := (p + zScore95*zScore95/(2*n)) / (1 + zScore95*zScore95/n)
	half := zScore95 / (1 + zScore95*zScore95/n) * math.Sqrt(p*(1-p)/n+zScore95*zScore95/(4*n*n))
	return p, center - half, center + half
}

var sampleRegexp = regexp.MustCompile(`^(gradetiller_requests_total|gradetiller_stage_cost_total)\{(.*)\} (\S+)$`)

var labelRegexp = regexp.MustCompile(`(\w+)="((?:[^"\\]|\\.)*)"`)

// Read sums the metrics of several nodes by the arms of an experiment. Each
// text holds one node's metrics in the Prometheus text format.
func Read(texts []string, experiment string) []*Arm {
	byName := make(map[string]*Arm)
	for _, text := range texts {
		lines := bufio.NewScanner(strings.NewReader(text))
		for lines.Scan() {
			if m := sampleRegexp.FindStringSubmatch(lines.Text()); m != nil {
				addSample(byName, experiment, m[1], m[2], m[3])
			}
		}
	}
	arms := make([]*Arm, 0, len(byName))
	for _, a := range byName {
		arms = append(arms, a)
	}
	slices.SortFunc(arms, func(a, b *Arm) int { return cmp.Compare(a.name, b.name) })
	return arms
}

func addSample(byName map[string]*Arm, experiment, metric, labels, number string) {
	var arm, onTime, stage string
	for _, l := range labelRegexp.FindAllStringSubmatch(labels, -1) {
		switch l[1] {
		case "arm":
			arm = l[2]
		case "on_time":
			onTime = l[2]
		case "stage":
			stage = l[2]
		}
	}
	name, ok := strings.CutPrefix(arm, experiment+"/")
	value, err := strconv.ParseFloat(number, 64)
	if !ok || err != nil {
		return
	}
	a, ok := byName[name]
	if !ok {
		a = &Arm{name: name, cost: make(map[string]float64)}
		byName[name] = a
	}
	switch {
	case metric == "gradetiller_stage_cost_total":
		a.cost[stage] += value
	case onTime == "yes":
		a.onTime += value
	default:
		a.missed += value
	}
}

// Report returns one line for each arm and one for each pair of arms.
func Report(arms []*Arm) string {
	var b strings.Builder
	for _, a := range arms {
		share, low, high := a.Attainment()
		fmt.Fprintf(&b, "arm=%s requests=%.0f attainment=%.4f interval=%.4f..%.4f", a.name, a.Requests(), share, low, high)
		for _, stage := range stageNames(a) {
			fmt.Fprintf(&b, " cost_%s=%.5f", stage, a.cost[stage]/max(a.Requests(), 1))
		}
		b.WriteString("\n")
	}
	for i, a := range arms {
		for _, other := range arms[i+1:] {
			b.WriteString(comparePair(a, other) + "\n")
		}
	}
	return b.String()
}

func stageNames(a *Arm) []string {
	names := make([]string, 0, len(a.cost))
	for s := range a.cost {
		names = append(names, s)
	}
	slices.Sort(names)
	return names
}

// comparePair compares the attainment of two arms by the 95% confidence interval
// of the difference.
func comparePair(a, b *Arm) string {
	na, nb := a.Requests(), b.Requests()
	if na == 0 || nb == 0 {
		return fmt.Sprintf("%s and %s: an arm has no requests yet", a.name, b.name)
	}
	pa, pb := a.onTime/na, b.onTime/nb
	pooled := (a.onTime + b.onTime) / (na + nb)
	half := zScore95 * math.Sqrt(pooled*(1-pooled)*(1/na+1/nb))
	difference := pb - pa
	if math.Abs(difference) <= half {
		return fmt.Sprintf("%s and %s: difference %+.4f is within the noise (±%.4f)", a.name, b.name, difference, half)
	}
	better := b.name
	if difference < 0 {
		better = a.name
	}
	return fmt.Sprintf("%s and %s: difference %+.4f exceeds the noise (±%.4f); %s attains more", a.name, b.name, difference, half, better)
}
