package member

import "slices"

// recordQueue is the ordered set of names whose records have to be sent to a peer, urgent
// ones first.
type recordQueue struct {
	urgent []string
	normal []string
	queued map[string]bool
}

func (o *recordQueue) add(name string, urgent bool) {
	if o.queued == nil {
		o.queued = make(map[string]bool)
	}
	if o.queued[name] {
		return
	}
	o.queued[name] = true
	if urgent {
		o.urgent = append(o.urgent, name)
		return
	}
	o.normal = append(o.normal, name)
}

func (o *recordQueue) remove(name string) {
	if !o.queued[name] {
		return
	}
	delete(o.queued, name)
	is := func(n string) bool { return n == name }
	o.urgent = slices.DeleteFunc(o.urgent, is)
	o.normal = slices.DeleteFunc(o.normal, is)
}

func (o *recordQueue) len() int { return len(o.queued) }

// pop removes and returns at most n names from the front.
func (o *recordQueue) pop(n int) []string {
	n = min(n, o.len())
	names := make([]string, 0, max(n, 0))
	names, o.urgent = moveFirst(names, o.urgent, n)
	names, o.normal = moveFirst(names, o.normal, n-len(names))
	for _, name := range names {
		delete(o.queued, name)
	}
	return names
}

// moveFirst moves the first n names of one list to the end of another.
func moveFirst(to, from []string, n int) ([]string, []string) {
	n = max(min(n, len(from)), 0)
	to = append(to, from[:n]...)
	return to, slices.Delete(from, 0, n)
}
