package capacity

import (
	"bufio"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"
)

// Point is the result Y of a benchmark at the size X.
type Point struct{ X, Y float64 }

// Measurements holds the points of each metric, by "Benchmark:unit".
type Measurements struct {
	points map[string][]Point
}

var benchmarkName = regexp.MustCompile(`^Benchmark(\w+)(?:/(.*))?-\d+$`)

// ParseBenchmarks parses the output of go test -bench. The first number in the name of a
// sub-benchmark is its size. A benchmark without a number has size 1.
func ParseBenchmarks(r io.Reader) (*Measurements, error) {
	m := &Measurements{points: make(map[string][]Point)}
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) < 4 || !strings.HasPrefix(fields[0], "Benchmark") {
			continue
		}
		match := benchmarkName.FindStringSubmatch(fields[0])
		if match == nil {
			continue
		}
		size, rest := splitSize(match[2])
		for i := 2; i+1 < len(fields); i += 2 {
			y, err := strconv.ParseFloat(fields[i], 64)
			if err != nil {
				return nil, fmt.Errorf("line %q: %w", lines.Text(), err)
			}
			key := match[1] + rest + ":" + fields[i+1]
			m.points[key] = append(m.points[key], Point{X: size, Y: y})
		}
	}
	return m, lines.Err()
}

var firstNumber = regexp.MustCompile(`\d+`)

// splitSize splits the name of a sub-benchmark into its first number and the part before that.
func splitSize(name string) (size float64, rest string) {
	at := firstNumber.FindStringIndex(name)
	if at == nil {
		if name == "" {
			return 1, ""
		}
		return 1, "/" + name
	}
	size, _ = strconv.ParseFloat(name[at[0]:at[1]], 64)
	if before := strings.Trim(name[:at[0]], "/"); before != "" {
		return size, "/" + before
	}
	return size, ""
}

// Points returns the points of a metric.
func (m *Measurements) Points(key string) []Point { return m.points[key] }

// At returns the value of a metric at a size. It is the measured value if that size was measured, and
// otherwise the value of the line through the points.
func (m *Measurements) At(key string, x float64) float64 {
	for _, p := range m.points[key] {
		if p.X == x {
			return p.Y
		}
	}
	return Fit(m.points[key]).At(x)
}

// Line is y = A + B·x.
type Line struct{ A, B float64 }

// At returns the value of the line at x, or 0 if that is negative.
func (l Line) At(x float64) float64 { return max(0, l.A+l.B*x) }

// Fit returns the least-squares line through points. If all have the same X, the line is constant.
func Fit(points []Point) Line {
	n := float64(len(points))
	if n == 0 {
		return Line{}
	}
	var sx, sy, sxx, sxy float64
	for _, p := range points {
		sx += p.X
		sy += p.Y
		sxx += p.X * p.X
		sxy += p.X * p.Y
	}
	d := n*sxx - sx*sx
	if d == 0 {
		return Line{A: sy / n}
	}
	b := (n*sxy - sx*sy) / d
	return Line{A: (sy - b*sx) / n, B: b}
}
