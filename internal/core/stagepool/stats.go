package stagepool

import (
	"cmp"
	"slices"
	"time"
)

// ServiceStats is the state of one stage service.
type ServiceStats struct {
	Service string
	// Endpoints counts the endpoints that may get calls, and Busy those that are running one.
	Endpoints int
	Busy      int
	// Queued counts the pieces that are ready, and Backlog also those of stages that wait for
	// inputs.
	Queued  int
	Backlog int
	// Calls and Pieces count what was sent since the pool was created.
	Calls  uint64
	Pieces uint64
	// RoomUsed is the fraction of the total room that results take, from 0 to 1.
	RoomUsed float64
}

// Stats returns the state of all services, sorted by name.
func (p *Pool) Stats(now time.Time) []ServiceStats {
	list := make([]ServiceStats, 0, len(p.services))
	for _, s := range p.services {
		list = append(list, s.stats(now))
	}
	slices.SortFunc(list, func(a, b ServiceStats) int { return cmp.Compare(a.Service, b.Service) })
	return list
}

func (s *service) stats(now time.Time) ServiceStats {
	st := ServiceStats{Service: s.name, Calls: s.calls, Pieces: s.pieces}
	var used, limit int64
	for _, w := range s.endpoints {
		if w.leaving || now.Before(w.suspendedUntil) {
			continue
		}
		st.Endpoints++
		if len(w.calls) > 0 {
			st.Busy++
		}
		used += w.usedBytes
		limit += w.usableRoom()
	}
	if limit > 0 {
		st.RoomUsed = float64(used) / float64(limit)
	}
	for _, e := range s.queue {
		st.Queued += len(e.task.stages[e.stage].unassigned)
	}
	for _, n := range s.backlog {
		st.Backlog += n
	}
	return st
}
