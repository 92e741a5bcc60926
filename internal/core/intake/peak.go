package intake

import "time"

// peakLife is how long the largest number of nodes is remembered at least. A node that is
// cut off from the others knows only itself soon, while these go on sending.
const peakLife = 30 * time.Second

// Peak remembers the largest number of live nodes of late: for peakLife to twice as long.
type Peak struct {
	now, before int
	turned      time.Time
}

// Observe takes a number of live nodes in and returns the largest of late.
func (p *Peak) Observe(now time.Time, nodes int) int {
	if now.Sub(p.turned) > peakLife {
		p.before, p.now, p.turned = p.now, 0, now
	}
	p.now = max(p.now, nodes)
	return max(p.now, p.before)
}
