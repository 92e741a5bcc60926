package naive

import "time"

// Item is one item of a Queue.
type Item struct {
	ID        int
	Deadline  time.Time
	Remaining time.Duration
	Account   int
	Weight    int

	start float64
	ahead bool
}

// fairCredit is how many calls an account may be ahead under "fair_slack".
const fairCredit = 16

// Queue is a list that is scanned at every Pop.
type Queue struct {
	Policy string

	items  []Item
	finish map[int]float64
	clock  float64
}

// Push adds an item behind the others.
func (q *Queue) Push(w Item) {
	if q.finish == nil {
		q.finish = make(map[int]float64)
	}
	w.start = max(q.clock, q.finish[w.Account])
	w.ahead = w.start-q.clock > fairCredit
	q.finish[w.Account] = w.start + 1/float64(w.Weight)
	q.items = append(q.items, w)
}

// Pop takes the first item by the policy, or -1.
func (q *Queue) Pop() int {
	if len(q.items) == 0 {
		return -1
	}
	first := 0
	for i := range q.items {
		if q.before(q.items[i], q.items[first]) {
			first = i
		}
	}
	w := q.items[first]
	q.Remove(w.ID)
	if (q.Policy == "weighted_fair" || q.Policy == "fair_slack") && len(q.items) > 0 {
		q.clock = max(q.clock, w.start)
	}
	return w.ID
}

// Remove takes an item out by its id.
func (q *Queue) Remove(id int) bool {
	for i := range q.items {
		if q.items[i].ID != id {
			continue
		}
		q.items = append(q.items[:i:i], q.items[i+1:]...)
		if len(q.items) == 0 {
			q.finish, q.clock = nil, 0
		}
		return true
	}
	return false
}

func (q *Queue) before(a, b Item) bool {
	slackA, slackB := a.Deadline.Add(-a.Remaining), b.Deadline.Add(-b.Remaining)
	switch q.Policy {
	case "earliest_deadline":
		return a.Deadline.Before(b.Deadline)
	case "least_slack":
		return slackA.Before(slackB)
	case "fair_slack":
		if a.ahead || b.ahead {
			if a.ahead != b.ahead {
				return b.ahead
			}
			if a.start != b.start {
				return a.start < b.start
			}
		}
		return slackA.Before(slackB)
	case "weighted_fair":
		if a.start != b.start {
			return a.start < b.start
		}
		return slackA.Before(slackB)
	}
	return false
}
