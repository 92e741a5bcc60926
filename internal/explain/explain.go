// Package explain merges the logs of many nodes into the timeline of a subject: a request, an
// endpoint, a node or a version of the configuration.
//
// A timeline contains every line that mentions the subject and, from the time around them, the lines
// that show the state of the nodes involved: the state of the stage services at the request's leader,
// endpoints that were listed or removed, lost peers, and configurations that came into effect.
//
// # Usage
//
//	lines, err := explain.Read(file, "node-1.log")
//	for _, l := range explain.Timeline(lines, "86f27a4a8c39e2e4", 2*time.Second) {
//		fmt.Println(l)
//	}
package explain

import (
	"bufio"
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

// Keys of log fields.
const (
	fieldTime     = "ts"
	fieldEvent    = "msg"
	fieldEndpoint = "endpoint"
	fieldLeader   = "leader"
	fieldNode     = "node"
)

// subjectFields are the fields that may contain the subject of a timeline.
var subjectFields = []string{"id", "request", fieldEndpoint, "version", "config", fieldNode, fieldLeader}

// stateEvents show the state of a node, rather than what it did with a request.
var stateEvents = []string{"leader lost", "leads a cell", "leads a cell no more", "configuration in force", "evacuation in force", "evacuation over", "store lost", "store reached", "peer lost"}

// endpointEvents show the state of an endpoint.
var endpointEvents = []string{"endpoint listed", "endpoint gone", "stage call lost"}

// leaderEvent shows the state of a stage service at its leader.
const leaderEvent = "stage service"

// Line is a line of a log.
type Line struct {
	at      time.Time
	source  string
	text    string
	matched bool
	fields  map[string]string
}

// String returns the line with its source. Lines that mention the subject start with ">".
func (l Line) String() string {
	mark := " "
	if l.matched {
		mark = ">"
	}
	return fmt.Sprintf("%s %s %s %s", mark, l.at.UTC().Format("15:04:05.000"), l.source, l.text)
}

// maxLineBytes bounds a line of a log. A node's lines are far shorter.
const maxLineBytes = 256 << 10

// Read reads a node's log. The lines have the given source until a "started" event contains the name
// of the node, which then replaces it. Lines without a time and those over 256 KiB are skipped, since the
// log may contain output of other programs.
func Read(r io.Reader, source string) ([]Line, error) {
	in := bufio.NewReaderSize(r, maxLineBytes)
	var lines []Line
	for {
		raw, err := readLine(in)
		if l, ok := parse(raw); ok {
			if l.fields[fieldEvent] == "started" && l.fields[fieldNode] != "" {
				source = l.fields[fieldNode]
			}
			l.source = source
			lines = append(lines, l)
		}
		if errors.Is(err, io.EOF) {
			return lines, nil
		}
		if err != nil {
			return nil, fmt.Errorf("read %s: %w", source, err)
		}
	}
}

// readLine returns the next line, or nil if it does not fit the reader's buffer. The line is valid until the next
// read.
func readLine(in *bufio.Reader) ([]byte, error) {
	line, err := in.ReadSlice('\n')
	if !errors.Is(err, bufio.ErrBufferFull) {
		return line, err
	}
	for errors.Is(err, bufio.ErrBufferFull) {
		_, err = in.ReadSlice('\n')
	}
	return nil, err
}

// parse reads one line of key=value pairs.
func parse(raw []byte) (Line, bool) {
	l := Line{fields: make(map[string]string)}
	d := logfmt.NewDecoder(bytes.NewReader(raw))
	for d.ScanRecord() {
		for d.ScanKeyval() {
			l.fields[string(d.Key())] = string(d.Value())
		}
	}
	at, err := time.Parse(time.RFC3339, l.fields[fieldTime])
	if d.Err() != nil || err != nil {
		return Line{}, false
	}
	l.at = at
	_, l.text, _ = strings.Cut(strings.TrimSpace(string(raw)), " ")
	return l, true
}

// mentions reports whether a field of the line contains the subject.
func (l Line) mentions(subject string) bool {
	return slices.ContainsFunc(subjectFields, func(field string) bool { return l.fields[field] == subject })
}

// scope is the period and the nodes and endpoints from which a timeline includes state.
type scope struct {
	from, to  time.Time
	sources   map[string]bool
	leaders   map[string]bool
	endpoints map[string]bool
}

// Timeline returns the lines that mention a subject, and the lines that show the state of the nodes
// involved from the time around before the first until the time around after the last one. They are
// ordered by time.
func Timeline(lines []Line, subject string, around time.Duration) []Line {
	var timeline []Line
	s := scope{sources: make(map[string]bool), leaders: make(map[string]bool), endpoints: make(map[string]bool)}
	for _, l := range lines {
		if l.mentions(subject) {
			l.matched = true
			timeline = append(timeline, l)
			s.extend(l)
		}
	}
	if len(timeline) == 0 {
		return nil
	}
	s.from = s.from.Add(-around)
	s.to = s.to.Add(around)
	for _, l := range lines {
		if !l.mentions(subject) && s.covers(l) {
			timeline = append(timeline, l)
		}
	}
	slices.SortStableFunc(timeline, func(a, b Line) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.source, b.source)) })
	return timeline
}

// extend extends the scope by a line that mentions the subject.
func (s *scope) extend(l Line) {
	if s.from.IsZero() || l.at.Before(s.from) {
		s.from = l.at
	}
	if took, err := time.ParseDuration(l.fields["took"]); err == nil && l.at.Add(-took).Before(s.from) {
		s.from = l.at.Add(-took)
	}
	if l.at.After(s.to) {
		s.to = l.at
	}
	s.sources[l.source] = true
	if leader := l.fields[fieldLeader]; leader != "" {
		s.leaders[leader] = true
	}
	if endpoint := l.fields[fieldEndpoint]; endpoint != "" {
		s.endpoints[endpoint] = true
	}
}

// covers reports whether a line shows the state of a node or endpoint in the scope.
func (s *scope) covers(l Line) bool {
	if l.at.Before(s.from) || l.at.After(s.to) {
		return false
	}
	event := l.fields[fieldEvent]
	involved := s.sources[l.source] || s.leaders[l.source]
	switch {
	case slices.Contains(stateEvents, event):
		return involved
	case event == leaderEvent:
		return s.leaders[l.source]
	case slices.Contains(endpointEvents, event):
		return involved && s.endpoints[l.fields[fieldEndpoint]]
	}
	return false
}
