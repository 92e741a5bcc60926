// Package explain tells the story of a request, an endpoint or a version of the
// configuration from the logs of many nodes.
//
// Lines that name the subject are told whole. Around them in time stand the
// lines of the nodes concerned that show what those believed: the state of the
// stage services at the request's leader, endpoints that came or went, lost
// peers, and configurations that came into force.
//
// # Usage
//
//	lines, err := explain.Read(file, "node-1.log")
//	for _, l := range explain.Story(lines, "86f27a4a8c39e2e4", 2*time.Second) {
//		fmt.Println(l)
//	}
package explain

import (
	"bytes"
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

// The fields of a line that are looked at.
const (
	fieldTime     = "ts"
	fieldEvent    = "msg"
	fieldEndpoint = "endpoint"
	fieldLeader   = "leader"
	fieldNode     = "node"
)

// subjectFields are the fields that may name the subject of a story.
var subjectFields = []string{"id", "request", fieldEndpoint, "version", "config", fieldNode, fieldLeader}

// stateEvents tell what a node believed, rather than what it did to a request.
var stateEvents = []string{"leader lost", "leads a cell", "leads a cell no more", "configuration in force", "evacuation in force", "evacuation over", "store lost", "store reached", "peer lost"}

// endpointEvents tell what became of an endpoint.
var endpointEvents = []string{"endpoint listed", "endpoint gone", "stage call lost"}

// leaderEvent is the state of a stage service at its leader.
const leaderEvent = "stage service"

// Line is one line of a log.
type Line struct {
	at     time.Time
	source string
	text   string
	direct bool
	fields map[string]string
}

// String returns the line with its source; lines that name the subject begin
// with a mark.
func (l Line) String() string {
	mark := " "
	if l.direct {
		mark = ">"
	}
	return fmt.Sprintf("%s %s %s %s", mark, l.at.UTC().Format("15:04:05.000"), l.source, l.text)
}

// Read reads a node's log. The source names it in the story until the node has
// said its name. Lines without a time are passed over, since logs of other
// programs may stand between.
func Read(r io.Reader, source string) ([]Line, error) {
	data, err := io.ReadAll(r)
	if err != nil {
		return nil, fmt.Errorf("read %s: %w", source, err)
	}
	var lines []Line
	for raw := range bytes.Lines(data) {
		l, ok := parse(raw)
		if !ok {
			continue
		}
		if l.fields[fieldEvent] == "started" && l.fields[fieldNode] != "" {
			source = l.fields[fieldNode]
		}
		l.source = source
		lines = append(lines, l)
	}
	return lines, nil
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

// names reports whether a line is about the subject.
func (l Line) names(subject string) bool {
	return slices.ContainsFunc(subjectFields, func(field string) bool { return l.fields[field] == subject })
}

// scope is what a story is about besides its subject.
type scope struct {
	from, to  time.Time
	sources   map[string]bool
	leaders   map[string]bool
	endpoints map[string]bool
}

// Timeline returns the lines about a subject, and those that surround them within
// a time, in the order of their times.
func Timeline(lines []Line, subject string, around time.Duration) []Line {
	var story []Line
	s := scope{sources: make(map[string]bool), leaders: make(map[string]bool), endpoints: make(map[string]bool)}
	for _, l := range lines {
		if l.names(subject) {
			l.direct = true
			story = append(story, l)
			s.add(l)
		}
	}
	if len(story) == 0 {
		return nil
	}
	s.from = s.from.Add(-around)
	s.to = s.to.Add(around)
	for _, l := range lines {
		if !l.names(subject) && s.covers(l) {
			story = append(story, l)
		}
	}
	slices.SortStableFunc(story, func(a, b Line) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.source, b.source)) })
	return story
}

// add widens the scope by a line about the subject.
func (s *scope) add(l Line) {
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

// covers reports whether a line shows what the nodes concerned believed.
func (s *scope) covers(l Line) bool {
	if l.at.Before(s.from) || l.at.After(s.to) {
		return false
	}
	event := l.fields[fieldEvent]
	concerned := s.sources[l.source] || s.leaders[l.source]
	switch {
	case slices.Contains(stateEvents, event):
		return concerned
	case event == leaderEvent:
		return s.leaders[l.source]
	case slices.Contains(endpointEvents, event):
		return concerned && s.endpoints[l.fields[fieldEndpoint]]
	}
	return false
}
