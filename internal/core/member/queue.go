package member

import "slices"

// owed is the ordered set of names whose records a peer is still to be sent, the
// urgent ones first.
type owed struct {
	urgent []string
	others []string
	in     map[string]bool
}

func (o *owed) add(name string, urgent bool) {
	if o.in == nil {
		o.in = make(map[string]bool)
	}
	if o.in[name] {
		return
	}
	o.in[name] = true
	if urgent {
		o.urgent = append(o.urgent, name)
		return
	}
	o.others = append(o.others, name)
}

func (o *owed) remove(name string) {
	if !o.in[name] {
		return
	}
	delete(o.in, name)
	is := func(n string) bool { return n == name }
	o.urgent = slices.DeleteFunc(o.urgent, is)
	o.others = slices.DeleteFunc(o.others, is)
}

func (o *owed) len() int { return len(o.in) }

// take removes and returns the first names, at most n of them.
func (o *owed) take(n int) []string {
	n = min(n, o.len())
	names := make([]string, 0, max(n, 0))
	names, o.urgent = moveFirst(names, o.urgent, n)
	names, o.others = moveFirst(names, o.others, n-len(names))
	for _, name := range names {
		delete(o.in, name)
	}
	return names
}

// moveFirst moves the first names of one list to the end of another.
func moveFirst(to, from []string, n int) ([]string, []string) {
	n = max(min(n, len(from)), 0)
	to = append(to, from[:n]...)
	return to, slices.Delete(from, 0, n)
}
