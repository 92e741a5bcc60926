package capacity

import "fmt"

// Fleet is a size to work the costs out for. All fields are inputs that the
// users gave or that are assumed; none is measured.
type Fleet struct {
	Name          string
	Nodes         float64
	Endpoints     float64
	Accounts      float64
	Requests      float64 // a second, all nodes
	Tokens        float64 // a second, all nodes
	Stages        float64 // of a request
	ChangesPerDay float64 // of the configuration
	NodeChanges   float64 // a day: failures, replacements, restarts
	OnceShare     float64 // assumed: requests that may run at most once
}

// Today and Target are the fleets of the brief and of two years from now.
var (
	Today  = Fleet{Name: "7 nodes", Nodes: 7, Endpoints: 45, Accounts: 5, Requests: 100, Tokens: 2000, Stages: 4, ChangesPerDay: 10, NodeChanges: 2, OnceShare: 0.1}
	Target = Fleet{Name: "380 nodes", Nodes: 380, Endpoints: 600, Accounts: 3900, Requests: 3600, Tokens: 840000, Stages: 5, ChangesPerDay: 670, NodeChanges: 76, OnceShare: 0.1}
)

const (
	secondsPerDay  = 86400.0
	watchersEach   = 2.0 // control processes that watch an endpoint
	pollsPerSecond = 1 / 5.0
	nodeChangeNews = 4.0 // records that one node change sends round: suspect, dead, new life, entry
	degree         = 8.0 // links of a member
	memberBytes    = 130.0
	microsecond    = 1e6
	nanosecond     = 1e9
	storeRoundTrip = 0.02 // seconds; assumed
)

// Row is one line of the page's table.
type Row struct {
	Role, What, Unit string
	Value            float64
	Limit            float64 // 0: none
	From             string  // the benchmark, or "input" for plain arithmetic
	Carried          string  // the mechanism
}

// String returns the row in Markdown.
func (r Row) String() string {
	limit := ""
	if r.Limit > 0 {
		limit = fmt.Sprintf("%.4g", r.Limit)
		if r.Value > r.Limit {
			limit += " **exceeded**"
		}
	}
	return fmt.Sprintf("| %s | %s | %.3g %s | %s | %s | %s |", r.Role, r.What, r.Value, r.Unit, limit, r.From, r.Carried)
}

// Rows works the table out for a fleet.
func Rows(m *Measurements, f Fleet) []Row {
	at := func(key string, x float64) float64 { return Fit(m.Points(key)).At(x) }
	polls := watchersEach * f.Endpoints / f.Nodes
	requests := f.Requests / f.Nodes
	fileBytes := at("ConfigFile:file-B", f.Accounts)
	parse := at("ConfigFile:ns/op", f.Accounts) / nanosecond
	changes := f.ChangesPerDay / secondsPerDay
	nodeChanges := f.NodeChanges / secondsPerDay
	beats := at("Members:B/s/node", f.Nodes)
	watch := polls * at("Watch:B/poll", 1)
	news := nodeChanges * nodeChangeNews * degree * memberBytes
	files := changes * fileBytes
	beatCPU := at("Members:cpu-µs/s/node", f.Nodes) / microsecond
	watchCPU := polls * at("Watch:ns/op", 1) / nanosecond
	once := f.Requests * f.OnceShare
	rows := []Row{
		{"control", "heartbeats sent", "B/s", beats, 0, "Members", "8 fixed neighbors on a ring, deltas only"},
		{"control", "endpoint states, both ways", "B/s", watch, 0, "Watch", "2 watchers an endpoint by rendezvous hashing"},
		{"control", "news of node changes", "B/s", news, 0, "input", "each record passed on once to each neighbor"},
		{"control", "configuration files", "B/s", files, 0, "ConfigFile", "whole files, from the store or one peer"},
		{"control", "sent and received together", "B/s", 2*beats + watch + 2*news + 2*files, 9000, "sum", "heartbeats counted both ways"},
		{"control", "processor: heartbeats", "core", beatCPU, 0, "Members", "constant degree"},
		{"control", "processor: endpoint states", "core", watchCPU, 0, "Watch", "kept connections"},
		{"control", "processor: configurations", "core", changes * parse, 0, "ConfigFile", "parsed once a change"},
		{"control", "processor together", "core", beatCPU + watchCPU + changes*parse + nodeChanges*at("Share:ns/op", f.Nodes)/nanosecond, 0.021, "sum", ""},
		{"control", "snapshot to its entry after a change (loopback)", "B", at("Snapshot:changed-B", f.Nodes), 0, "Snapshot", "lists only when they changed"},
		{"entry", "memory", "MB", at("NodeMemory:MB", f.Accounts), 64, "NodeMemory", "no state for idle accounts beyond the configuration; 1,000 series at most"},
		{"entry", "processor: decisions of a request", "core", requests * f.Stages * at("Run:ns/op", 10) / nanosecond, 0, "Run", "one lock, no input or output under it"},
		{"entry", "processor: tokens, without the network", "core", f.Tokens / f.Nodes * at("Token:ns/token", 1) / nanosecond, 0, "Token", "no engine lock for a token"},
		{"entry", "time of a choice of endpoint", "µs", at("Choose/predicted_finish:ns/op", f.Endpoints) / 1000, 5, "Choose", "a sample of 12"},
		{"entry", "locate answers after a node change", "ms", at("NewTable:ns/op", f.Nodes) / 1e6, 0, "NewTable", "computed outside the lock"},
		{"store", "configuration: writes", "/s", changes, 0, "input", "one transaction a change"},
		{"store", "configuration and instance list: reads", "/s", 2*f.Nodes*pollsPerSecond + changes*f.Nodes, 0, "input", "poll every 5 s; files mostly from peers"},
		{"store", "at-most-once records: writes, one a request", "/s", once, 100, "input", "the worst case: no request shares a transaction"},
		{"store", "at-most-once records: writes, grouped", "/s", grouped(f, once), 100, "GroupCommit", "one transaction under way a node"},
		{"store", "reads together", "/s", 2*f.Nodes*pollsPerSecond + changes*f.Nodes, 2000, "sum", ""},
	}
	return rows
}

// grouped is the number of transactions when every node writes for itself and
// gathers while one is under way: a node with few such requests shares little.
func grouped(f Fleet, once float64) float64 {
	perNode := once / f.Nodes
	return f.Nodes * perNode / (1 + perNode*storeRoundTrip)
}

// Table returns the Markdown table for a fleet.
func Table(m *Measurements, f Fleet) string {
	out := fmt.Sprintf("### %s\n\n| role | what | value | limit | from | carried by |\n|---|---|---|---|---|---|\n", f.Name)
	for _, r := range Rows(m, f) {
		out += r.String() + "\n"
	}
	return out
}

// storms are the failure loads, from BenchmarkStorm.
var storms = []struct{ what, key, unit string }{
	{"all control processes start at once: worst second of a node", "Storm:start-B/s", "B/s"},
	{"the same: until all know all", "Storm:start-s", "s"},
	{"a region comes back: worst second of a node", "Storm:heal-B/s", "B/s"},
	{"the same: until all know all", "Storm:heal-s", "s"},
}

// StormTable returns what was measured of storms, at each size.
func StormTable(m *Measurements) string {
	out := "### Storms\n\n| what | members | measured |\n|---|---|---|\n"
	for _, s := range storms {
		for _, p := range m.Points(s.key) {
			out += fmt.Sprintf("| %s | %.0f | %.4g %s |\n", s.what, p.X, p.Y, s.unit)
		}
	}
	return out
}

// SlopeTable returns the measured points and the line through them.
func SlopeTable(m *Measurements) string {
	out := "### Slopes\n\n| benchmark:unit | measured (size: value) | line |\n|---|---|---|\n"
	for _, key := range slopeKeys {
		points := ""
		for _, p := range m.Points(key) {
			points += fmt.Sprintf("%.0f: %.4g; ", p.X, p.Y)
		}
		l := Fit(m.Points(key))
		out += fmt.Sprintf("| %s | %s | %.4g + %.4g·x |\n", key, points, l.A, l.B)
	}
	return out
}

var slopeKeys = []string{
	"Members:B/s/node", "Members:cpu-µs/s/node", "Watch:B/poll", "Watch:ns/op", "Share:ns/op", "Snapshot:changed-B",
	"ConfigFile:file-B", "ConfigFile:ns/op", "NodeMemory:MB", "Run:ns/op", "Token:ns/token",
	"Choose/predicted_finish:ns/op", "NewTable:ns/op",
}
