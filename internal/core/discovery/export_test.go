package discovery

import "gradetiller.example/internal/core/catalog"

// Endpoints returns the endpoints in use, sorted by id.
func (l *List) Endpoints() []catalog.Endpoint {
	var list []catalog.Endpoint
	for e := range l.InUse().All() {
		list = append(list, *e)
	}
	sortByID(list)
	return list
}
