package explain

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"
)

const (
	// requestEvent is the line of a client's request.
	requestEvent = "request"
	// servedOutcome is the outcome of requests whose response was forwarded completely.
	servedOutcome = "delivered"
	// maxReturn is the time after a refusal in which a request with the same content is its return.
	// Clients wait at most a third of the time that they have left, which is 30 s by default.
	maxReturn = 10 * time.Second
)

// The sizes of requests: the largest tenth of a route by tokens, the fifth below it, and the rest.
const (
	sizeNone    = "-"
	sizeSmall   = "small"
	sizeMiddle  = "middle"
	sizeLargest = "largest"

	middleQuantile  = 0.7
	largestQuantile = 0.9
)

// Row counts what became of the requests of a route, client account and size. Each request is counted
// once, with its return if its client returned after a refusal.
type Row struct {
	Route, Account, Size string
	Requests             int
	// Served counts the requests that were served, at once or on return, and Late those of them that
	// missed their objective.
	Served, Late int
	// RefusedOnce counts the requests whose first attempt was refused. Of them, RefusedOnReturn were
	// refused again and ServedOnReturn were served. The others did not return or failed.
	RefusedOnce, RefusedOnReturn, ServedOnReturn int
	// Failed counts the requests that ended otherwise, at once or on return.
	Failed int
}

type rowKey struct{ route, account, size string }

// arrival is one attempt of a client, read from its request line.
type arrival struct {
	key          rowKey
	content      string
	tokens       int
	began, ended time.Time
	served, late bool
	refused      bool
}

// readArrival reads a request line.
func readArrival(l Line) (arrival, bool) {
	if l.fields[fieldEvent] != requestEvent || l.fields["route"] == "" {
		return arrival{}, false
	}
	took, err := time.ParseDuration(l.fields["took"])
	if err != nil {
		return arrival{}, false
	}
	a := arrival{key: rowKey{route: l.fields["route"], account: l.fields["account"]}, content: l.fields["content"], began: l.at.Add(-took), ended: l.at}
	a.tokens, _ = strconv.Atoi(l.fields["size"])
	status := l.fields["status"]
	a.served = l.fields["outcome"] == servedOutcome && len(status) == 3 && status[0] == '2'
	a.late = a.served && l.fields["late"] == "true"
	a.refused = !a.served && l.fields["outcome"] != servedOutcome && (status == "503" || status == "429")
	return a, true
}

// Table counts the request lines of all logs by route, client account and size, in this order. A request
// is recognized as a return by its content, which is the same for all attempts of a client.
func Table(lines []Line) []Row {
	var arrivals []arrival
	for _, l := range lines {
		if a, ok := readArrival(l); ok {
			arrivals = append(arrivals, a)
		}
	}
	setSizes(arrivals)
	slices.SortStableFunc(arrivals, func(a, b arrival) int { return a.began.Compare(b.began) })
	rows := make(map[rowKey]*Row)
	refusals := make(map[string][]time.Time)
	for _, a := range arrivals {
		row, ok := rows[a.key]
		if !ok {
			row = &Row{Route: a.key.route, Account: a.key.account, Size: a.key.size}
			rows[a.key] = row
		}
		returned := takeRefusal(refusals, a)
		row.count(a, returned)
		if a.refused && !returned && hasContent(a) {
			refusals[a.content] = append(refusals[a.content], a.ended)
		}
	}
	list := make([]Row, 0, len(rows))
	for _, row := range rows {
		list = append(list, *row)
	}
	slices.SortFunc(list, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(a.Account, b.Account), cmp.Compare(sizeRank(a.Size), sizeRank(b.Size)))
	})
	return list
}

func sizeRank(size string) int {
	return slices.Index([]string{sizeNone, sizeSmall, sizeMiddle, sizeLargest}, size)
}

// hasContent reports whether the content of a request is known. It is zero if the body was not read.
func hasContent(a arrival) bool { return strings.Trim(a.content, "0") != "" }

// takeRefusal reports whether an arrival is the return of a request that was refused before, and removes
// that refusal. Several clients may send the same content; each refusal has one return.
func takeRefusal(refusals map[string][]time.Time, a arrival) bool {
	open := slices.DeleteFunc(refusals[a.content], func(at time.Time) bool { return a.began.Sub(at) > maxReturn })
	i := slices.IndexFunc(open, func(at time.Time) bool { return !a.began.Before(at) })
	if i >= 0 {
		open = slices.Delete(open, i, i+1)
	}
	refusals[a.content] = open
	return i >= 0
}

func (r *Row) count(a arrival, returned bool) {
	if !returned {
		r.Requests++
	}
	switch {
	case a.served:
		r.Served++
		if a.late {
			r.Late++
		}
		if returned {
			r.ServedOnReturn++
		}
	case a.refused && returned:
		r.RefusedOnReturn++
	case a.refused:
		r.RefusedOnce++
	default:
		r.Failed++
	}
}

// setSizes sets the sizes by the tokens of all requests of the route.
func setSizes(arrivals []arrival) {
	byRoute := make(map[string][]int)
	for _, a := range arrivals {
		byRoute[a.key.route] = append(byRoute[a.key.route], a.tokens)
	}
	for _, list := range byRoute {
		slices.Sort(list)
	}
	for i := range arrivals {
		a := &arrivals[i]
		list := byRoute[a.key.route]
		below, _ := slices.BinarySearch(list, a.tokens)
		switch rank := float64(below) / float64(len(list)); {
		case list[len(list)-1] == 0:
			a.key.size = sizeNone
		case rank >= largestQuantile:
			a.key.size = sizeLargest
		case rank >= middleQuantile:
			a.key.size = sizeMiddle
		default:
			a.key.size = sizeSmall
		}
	}
}

// WriteTable writes rows as an aligned table with a line of totals.
func WriteTable(w io.Writer, rows []Row) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "route\taccount\tsize\trequests\tserved\tserved late\trefused once\trefused on return\tserved on return\tfailed")
	total := Row{Route: "total", Account: sizeNone, Size: sizeNone}
	for _, r := range rows {
		r.write(t)
		total.Requests += r.Requests
		total.Served += r.Served
		total.Late += r.Late
		total.RefusedOnce += r.RefusedOnce
		total.RefusedOnReturn += r.RefusedOnReturn
		total.ServedOnReturn += r.ServedOnReturn
		total.Failed += r.Failed
	}
	total.write(t)
	return t.Flush()
}

func (r *Row) write(w io.Writer) {
	fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n", r.Route, cmp.Or(r.Account, sizeNone), r.Size, r.Requests, r.Served, r.Late, r.RefusedOnce, r.RefusedOnReturn, r.ServedOnReturn, r.Failed)
}
