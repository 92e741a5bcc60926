package control

import (
	"context"
	"slices"
	"sync"
	"time"

	"gradetiller.example/internal/wire"
)

const storyTimeout = time.Second

// stories asks linked entries for their decisions and collects the answers.
type stories struct {
	mu      sync.Mutex
	last    uint64
	waiting map[uint64]chan []string
}

func (s *stories) ask() (uint64, chan []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting == nil {
		s.waiting = make(map[uint64]chan []string)
	}
	s.last++
	ch := make(chan []string, 1)
	s.waiting[s.last] = ch
	return s.last, ch
}

func (s *stories) answered(a wire.ExplainResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ch, ok := s.waiting[a.ID]; ok {
		ch <- a.Lines
		delete(s.waiting, a.ID)
	}
}

func (s *stories) forget(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiting, id)
}

// Explain returns the decisions about a subject that this control process and
// the entries linked to it remember, in order of time.
func (c *Control) Explain(ctx context.Context, subject string) []string {
	ctx, cancel := context.WithTimeout(ctx, storyTimeout)
	defer cancel()
	c.mu.Lock()
	var lines []string
	for _, e := range c.story.BySubject(subject) {
		lines = append(lines, e.String()+" node="+c.id.Node)
	}
	links := make([]*entryLink, 0, len(c.entries))
	for _, l := range c.entries {
		links = append(links, l)
	}
	c.mu.Unlock()
	for _, l := range links {
		lines = append(lines, c.storyOf(ctx, l, subject)...)
	}
	slices.Sort(lines)
	return lines
}

func (c *Control) storyOf(ctx context.Context, l *entryLink, subject string) []string {
	id, answer := c.stories.ask()
	defer c.stories.forget(id)
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
