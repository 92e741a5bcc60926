package node

import "sync"

// sizes learns the usual size of a route's prompts, so that large requests
// are not refused more often than others because reading them takes longer.
type sizes struct {
	mu    sync.Mutex
	usual map[string]float64
}

const sizeWeight = 0.05

// extra is by how many tokens a prompt is longer than its route's usually are.
func (s *sizes) extra(route string, tokens int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	usual, ok := s.usual[route]
	if !ok {
		usual = float64(tokens)
	}
	s.usual[route] = usual + sizeWeight*(float64(tokens)-usual)
	return max(tokens-int(usual), 0)
}
