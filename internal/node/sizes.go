package node

import "sync"

// promptSizes learns the usual size of a route's prompts, so that large requests
// are not refused more often than others because reading them takes longer.
type promptSizes struct {
	mu       sync.Mutex
	averages map[string]float64
}

const sizeEWMAWeight = 0.05

// excess is by how many tokens a prompt is longer than its route's usually are.
func (s *promptSizes) excess(route string, tokens int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	usual, ok := s.averages[route]
	if !ok {
		usual = float64(tokens)
	}
	s.averages[route] = usual + sizeEWMAWeight*(float64(tokens)-usual)
	return max(tokens-int(usual), 0)
}
