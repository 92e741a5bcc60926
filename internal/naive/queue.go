package naive

import "time"

// Item is one item of a Queue.
type Item struct {
	ID        int
	Deadline  time.Time
	Remaining time.Duration
	Account   int
	Weight    int

	virtualStart float64
	overCredit   bool
}

// fairCredit is how far an account's virtual start may be ahead of virtual time
// before its calls lose priority under "fair_slack".
const fairCredit = 16

// Queue is a list that every Pop scans.
type Queue struct {
	Policy string

	items         []Item
	virtualFinish map[int]float64
	virtualTime   float64
}

// Push appends an item.
func (q *Queue) Push(item Item) {
	if q.virtualFinish == nil {
		q.virtualFinish = make(map[int]float64)
	}
	item.virtualStart = max(q.virtualTime, q.virtualFinish[item.Account])
	item.overCredit = item.virtualStart-q.virtualTime > fairCredit
	q.virtualFinish[item.Account] = item.virtualStart + 1/float64(item.Weight)
	q.items = append(q.items, item)
}

// Pop removes the first item by the policy and returns its ID, or -1 if the queue is empty.
func (q *Queue) Pop() int {
	if len(q.items) == 0 {
		return -1
	}
	first := 0
	for i := range q.items {
		if q.precedes(q.items[i], q.items[first]) {
			first = i
		}
	}
	item := q.items[first]
	q.Remove(item.ID)
	if (q.Policy == "weighted_fair" || q.Policy == "fair_slack") && len(q.items) > 0 {
		q.virtualTime = max(q.virtualTime, item.virtualStart)
	}
	return item.ID
}

// Remove removes an item by its ID and reports whether it was queued.
func (q *Queue) Remove(id int) bool {
	for i := range q.items {
		if q.items[i].ID != id {
			continue
		}
		q.items = append(q.items[:i:i], q.items[i+1:]...)
		if len(q.items) == 0 {
			q.virtualFinish, q.virtualTime = nil, 0
		}
		return true
	}
	return false
}

// precedes reports whether the policy serves a before b.
func (q *Queue) precedes(a, b Item) bool {
	slackA, slackB := a.Deadline.Add(-a.Remaining), b.Deadline.Add(-b.Remaining)
	switch q.Policy {
	case "earliest_deadline":
		return a.Deadline.Before(b.Deadline)
	case "least_slack":
		return slackA.Before(slackB)
	case "fair_slack":
		if a.overCredit || b.overCredit {
			if a.overCredit != b.overCredit {
				return b.overCredit
			}
			if a.virtualStart != b.virtualStart {
				return a.virtualStart < b.virtualStart
			}
		}
		return slackA.Before(slackB)
	case "weighted_fair":
		if a.virtualStart != b.virtualStart {
			return a.virtualStart < b.virtualStart
		}
		return slackA.Before(slackB)
	}
	return false
}
