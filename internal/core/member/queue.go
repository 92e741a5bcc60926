package member

import "slices"

// recordQueue is the ordered set of names whose records have to be sent to a peer, urgent
// ones first.
type recordQueue struct {
	urgent []string
	normal []string
	queued map[string]bool
}

func (q *recordQueue) add(name string, urgent bool) {
	if q.queued == nil {
		q.queued = make(map[string]bool)
	}
	if q.queued[name] {
		return
	}
	q.queued[name] = true
	if urgent {
		q.urgent = append(q.urgent, name)
		return
	}
	q.normal = append(q.normal, name)
}

func (q *recordQueue) remove(name string) {
	if !q.queued[name] {
		return
	}
	delete(q.queued, name)
	is := func(n string) bool { return n == name }
	q.urgent = slices.DeleteFunc(q.urgent, is)
	q.normal = slices.DeleteFunc(q.normal, is)
}

func (q *recordQueue) len() int { return len(q.queued) }

// pop removes and returns at most n names from the front.
func (q *recordQueue) pop(n int) []string {
	n = min(n, q.len())
	names := make([]string, 0, max(n, 0))
	names, q.urgent = moveFirst(names, q.urgent, n)
	names, q.normal = moveFirst(names, q.normal, n-len(names))
	for _, name := range names {
		delete(q.queued, name)
	}
	return names
}

// moveFirst moves the first n names of one list to the end of another.
func moveFirst(to, from []string, n int) ([]string, []string) {
	n = max(min(n, len(from)), 0)
	to = append(to, from[:n]...)
	return to, slices.Delete(from, 0, n)
}
