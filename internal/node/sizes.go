package node

import (
	"sync"
	"time"
)

const (
	// readRate and readBase predict the time to the first event from the
	// prompt's size.
	readRate = 45 // tokens a millisecond
	readBase = 50 * time.Millisecond
)

// readTime predicts the time to the first event.
func readTime(tokens int) time.Duration {
	return readBase + time.Duration(tokens)*time.Millisecond/readRate
}

// sizes learns the usual size of a route's prompts, so that large requests
// are not refused more often than others because reading them takes longer.
type sizes struct {
	mu    sync.Mutex
	usual map[string]float64
}

const sizeWeight = 0.05

// allowance is by how much a request may miss its aim because it is larger
// than usual.
func (s *sizes) allowance(route string, tokens int) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	usual, ok := s.usual[route]
	if !ok {
		usual = float64(tokens)
	}
	s.usual[route] = usual + sizeWeight*(float64(tokens)-usual)
	return max(readTime(tokens)-readTime(int(usual)), 0)
}
