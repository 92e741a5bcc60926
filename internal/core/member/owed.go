package member

import "slices"

// owed is the ordered set of names whose records a peer is still to be sent.
type owed struct {
	order []string
	in    map[string]bool
}

func (o *owed) add(name string) {
	if o.in == nil {
		o.in = make(map[string]bool)
	}
	if !o.in[name] {
		o.in[name] = true
		o.order = append(o.order, name)
	}
}

func (o *owed) remove(name string) {
	if !o.in[name] {
		return
	}
	delete(o.in, name)
	o.order = slices.DeleteFunc(o.order, func(n string) bool { return n == name })
}

func (o *owed) len() int { return len(o.order) }

// take removes and returns the first names, at most n of them.
func (o *owed) take(n int) []string {
	n = min(n, len(o.order))
	names := slices.Clone(o.order[:n])
	o.order = slices.Delete(o.order, 0, n)
	for _, name := range names {
		delete(o.in, name)
	}
	return names
}
