package capacity

import (
	"bufio"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"
)

// Point is one measured size.
type Point struct{ X, Y float64 }

// Measurements holds the points of every metric, by "Benchmark:unit".
type Measurements struct {
	points map[string][]Point
}

var sizeInName = regexp.MustCompile(`^Benchmark(\w+)(?:/(.*))?-\d+$`)

// ParseBenchmarks reads the output of go test -bench. The first number in a
// sub-benchmark's name is the size; a benchmark without one has size 1.
func ParseBenchmarks(r io.Reader) (*Measurements, error) {
	m := &Measurements{points: make(map[string][]Point)}
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) < 4 || !strings.HasPrefix(fields[0], "Benchmark") {
			continue
		}
		match := sizeInName.FindStringSubmatch(fields[0])
		if match == nil {
			continue
		}
		size, rest := sizeOf(match[2])
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

var number = regexp.MustCompile(`\d+`)

// sizeOf splits the first number off a sub-benchmark's name.
func sizeOf(name string) (size float64, rest string) {
	at := number.FindStringIndex(name)
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

// At returns a metric at a size: as measured if that size was, else on the
// line through the points.
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

// At returns y at x, and at least 0.
func (l Line) At(x float64) float64 { return max(0, l.A+l.B*x) }

// Fit returns the least-squares line through points. A single point gives a
// constant.
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
