package intake

import "time"

// peakWindow is the minimum time for which the largest number of nodes is remembered. A node that
// is partitioned from the others soon sees only itself, while the others continue to send.
const peakWindow = 30 * time.Second

// Peak is the largest recent number of live nodes. A value is remembered for peakWindow to twice as
// long.
type Peak struct {
	current, previous int
	rotatedAt         time.Time
}

// Observe records a number of live nodes and returns the largest recent one.
func (p *Peak) Observe(now time.Time, nodes int) int {
	if now.Sub(p.rotatedAt) > peakWindow {
		p.previous, p.current, p.rotatedAt = p.current, 0, now
	}
	p.current = max(p.current, nodes)
	return max(p.current, p.previous)
}
