package control

import (
	"context"
	"slices"
	"sync"
	"time"

	"gradetiller.example/internal/wire"
)

const explainTimeout = time.Second

// entryQueries matches the answers of entries to pending Explain queries.
type entryQueries struct {
	mu      sync.Mutex
	lastID  uint64
	waiting map[uint64]chan []string
}

func (s *entryQueries) register() (uint64, chan []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting == nil {
		s.waiting = make(map[uint64]chan []string)
	}
	s.lastID++
	ch := make(chan []string, 1)
	s.waiting[s.lastID] = ch
	return s.lastID, ch
}

func (s *entryQueries) deliver(a wire.ExplainResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ch, ok := s.waiting[a.ID]; ok {
		ch <- a.Lines
		delete(s.waiting, a.ID)
	}
}

func (s *entryQueries) unregister(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiting, id)
}

// Explain returns the decisions about a subject that this control process and
// the entries connected to it hold in memory, in order of time.
func (c *Control) Explain(ctx context.Context, subject string) []string {
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	c.mu.Lock()
	var lines []string
	for _, e := range c.decisions.BySubject(subject) {
		lines = append(lines, e.String()+" node="+c.id.Node)
	}
	links := make([]*entryLink, 0, len(c.entries))
	for _, l := range c.entries {
		links = append(links, l)
	}
	c.mu.Unlock()
	for _, l := range links {
		lines = append(lines, c.queryEntry(ctx, l, subject)...)
	}
	slices.Sort(lines)
	return lines
}

// queryEntry returns an entry's decisions about a subject, or nil if the entry
// does not answer before ctx ends.
func (c *Control) queryEntry(ctx context.Context, l *entryLink, subject string) []string {
	id, answer := c.entryQueries.register()
	defer c.entryQueries.unregister(id)
	if l.conn.Send(wire.ExplainRequest{ID: id, Subject: subject}) != nil {
		return nil
	}
	select {
	case <-ctx.Done():
		return nil
	case lines := <-answer:
		for i := range lines {
			lines[i] += " node=" + l.conn.Hello().Node
		}
		return lines
	}
}
