package node

import (
	"time"

	"gradetiller.example/internal/core/place"
	"gradetiller.example/internal/core/stagepool"
	"gradetiller.example/internal/wire"
)

// place chooses the endpoint at which a request runs; the lock is held.
func (c *leader) place(done stagepool.Complete) string {
	wants, ok := c.needs[done.Task]
	if !ok {
		return ""
	}
	wants.prompt.InputDomain = done.Domain
	wants.prompt.InputBytes = done.Bytes
	at, ok := c.group.models.choose(time.Now(), wants)
	if !ok {
		return ""
	}
	c.placed[done.Task] = at
	return at.endpoint.ID
}

// endPlaced counts the end of a placement; the lock is held.
func (c *leader) endPlaced(id stagepool.TaskID, how wire.Placement) {
	at, ok := c.placed[id]
	if !ok {
		return
	}
	delete(c.placed, id)
	at.end(time.Now(), place.Result{
		OK: how == wire.PlacementServed, Neutral: how == wire.PlacementUnused, Unreachable: how == wire.PlacementUnreachable,
	})
}
