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
	watchSeconds   = 2.0 // between two looks at an endpoint
	pollsPerSecond = 1 / 5.0
	nodeChangeNews = 4.0 // records that one node change sends round: suspect, dead, new life, entry
	degree         = 8.0 // links of a member
	memberBytes    = 130.0
	recordWrites   = 40.0 // transactions a second that records may use
	packetBytes    = 80.0 // assumed: TCP/IP headers of a packet and its acknowledgement
	tlsBytes       = 22.0 // assumed: of a record
	pollPackets    = 2.0  // assumed: a request and an answer
	looksPerRound  = 8.0  // engines that the holder of placement asks a second
	microsecond    = 1e6
	nanosecond     = 1e9
)

// Row is one line of the page's table.
type Row struct {
	Role, Quantity, Unit string
	Value                float64
	Limit                float64 // 0: none
	Source               string  // the benchmark, or "input" for plain arithmetic
	Mechanism            string  // the mechanism
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
	return fmt.Sprintf("| %s | %s | %.3g %s | %s | %s | %s |", r.Role, r.Quantity, r.Value, r.Unit, limit, r.Source, r.Mechanism)
}

// Rows works the table out for a fleet.
func Rows(m *Measurements, f Fleet) []Row {
	at := m.At
	polls := watchersEach * f.Endpoints / f.Nodes / watchSeconds
	requests := f.Requests / f.Nodes
	fileBytes := at("ConfigFile:packed-B", f.Accounts)
	frames := at("Members:frames/s/node", f.Nodes)
	looks := min(looksPerRound, f.Endpoints)
	parse := at("ConfigFile:ns/op", f.Accounts) / nanosecond
	changes := f.ChangesPerDay / secondsPerDay
	nodeChanges := f.NodeChanges / secondsPerDay
	beats := at("Members:B/s/node", f.Nodes)
	watch := polls * at("Watch:B/poll", 1)
	news := nodeChanges * nodeChangeNews * degree * memberBytes
	files := changes * fileBytes
	beatCPU := at("Members:cpu-µs/s/node", f.Nodes) / microsecond
	watchCPU := polls * at("Watch:ns/op", 1) / nanosecond
	headers := 2*frames*(packetBytes+tlsBytes) + polls*pollPackets*packetBytes
	together := 2*beats + watch + 2*news + 2*files + headers
	lookBytes := looks * (at("Watch:B/poll", 1) + pollPackets*packetBytes)
	lookCPU := looks * at("Watch:ns/op", 1) / nanosecond
	once := f.Requests * f.OnceShare
	rows := []Row{
		{"control", "heartbeats sent", "B/s", beats, 0, "Members", "8 fixed neighbors on a ring, deltas only"},
		{"control", "messages sent", "/s", frames, 0, "Members", "one frame a neighbor and second; news goes along"},
		{"control", "endpoints asked", "/s", polls, 0, "input", "each every 2 s by two watchers"},
		{"control", "endpoint states, both ways", "B/s", watch, 0, "Watch", "2 watchers an endpoint by rendezvous hashing"},
		{"control", "news of node changes", "B/s", news, 0, "input", "each record passed on once to each neighbor"},
		{"control", "configuration files", "B/s", files, 0, "ConfigFile", "whole files, gzip, from the store or one peer"},
		{"control", "packet headers and TLS records", "B/s", headers, 0, "input", "assumed 80 B a packet with its acknowledgement"},
		{"control", "sent and received together", "B/s", together, 9000, "sum", "heartbeats, news and files counted both ways"},
		{"placement's holder", "engine states, beside the above", "B/s", lookBytes, 0, "Watch", "8 engines a second in turn"},
		{"placement's holder", "its control process together", "B/s", together + lookBytes, 9000, "sum", ""},
		{"control", "processor: heartbeats", "core", beatCPU, 0, "Members", "constant degree"},
		{"control", "processor: endpoint states", "core", watchCPU, 0, "Watch", "kept connections"},
		{"control", "processor: configurations", "core", changes * parse, 0, "ConfigFile", "parsed once a change"},
		{"control", "processor together", "core", beatCPU + watchCPU + changes*parse + nodeChanges*at("Share:ns/op", f.Nodes)/nanosecond, 0.021, "sum", ""},
		{"placement's holder", "its processor together", "core", beatCPU + watchCPU + lookCPU + changes*parse, 0.021, "sum", "8 engines a second in turn"},
		{"placement's holder", "time until all engines were looked at", "s", f.Endpoints / looks, 0, "input", "level-triggered"},
		{"control", "snapshot to its entry after a change (loopback)", "B", at("Snapshot:changed-B", f.Nodes), 0, "Snapshot", "lists only when they changed"},
		{"entry", "memory", "MB", at("NodeMemory:MB", f.Accounts), 64, "NodeMemory", "no state for idle accounts beyond the configuration; 1,000 series at most"},
		{"entry", "processor: decisions of a request", "core", requests * f.Stages * at("Run:ns/op", 10) / nanosecond, 0, "Run", "one lock, no input or output under it"},
		{"entry", "processor: tokens, without the network", "core", f.Tokens / f.Nodes * at("Token:ns/token", 1) / nanosecond, 0, "Token", "no engine lock for a token"},
		{"entry", "processor: tokens, network included", "core", f.Tokens / f.Nodes * at("StreamedToken:added-µs/token", 1) / microsecond, 0, "StreamedToken", "what a node adds to reading directly"},
		{"entry", "time added to a token", "µs", at("StreamedToken:added-µs/token", 1), 5, "StreamedToken", "processor time; 75 ms between tokens are allowed in all"},
		{"entry", "time added to the first token, all stages", "ms", f.Stages * at("AddedTime:added-µs", 1) / 1000, 0, "AddedTime", "of 840 ms in all"},
		{"entry", "time of a choice of endpoint", "µs", at("Choose/predicted_finish:ns/op", f.Endpoints) / 1000, 5, "Choose", "a sample of 12"},
		{"entry", "locate answers after a node change", "ms", at("NewTable:ns/op", f.Nodes) / 1e6, 0, "NewTable", "computed outside the lock"},
		{"store", "configuration: writes", "/s", changes, 0, "input", "one transaction a change"},
		{"store", "objects written", "B/s", changes * fileBytes, 0, "ConfigFile", "one object a change"},
		{"store", "objects read, if no peer were faster", "B/s", changes * fileBytes * f.Nodes, 0, "ConfigFile", "the worst case; most nodes take the file from a peer"},
		{"store", "configuration and instance list: reads", "/s", 2*f.Nodes*pollsPerSecond + changes*f.Nodes, 0, "input", "poll every 5 s; files mostly from peers"},
		{"store", "at-most-once records, if each node wrote for itself", "/s", once, 100, "input", "not so built; shown for comparison"},
		{"store", "at-most-once records: writes", "/s", at("GroupCommit:writes/s", f.Nodes), 100, "GroupCommit", "one writer a shard, a gap between transactions"},
		{"store", "at-most-once records: time added", "ms", at("GroupCommit:added-ms", f.Nodes), 0, "GroupCommit", "the price of the gap"},
		{"store", "after an outage: writes in the worst second", "/s", recordWrites + 1 + 1, 100, "input", "the gap between transactions holds for repairs too; one lease; applies are not repeated by the system"},
		{"store", "after an outage: reads in the worst second", "/s", 2*f.Nodes*pollsPerSecond + f.Nodes, 2000, "input", "polls keep their 5 s; repairs read once a second a node"},
		{"operators' tool", "an apply: writes, reads, objects", "", 1, 0, "input", "one transaction, 2 reads, 1 object; no state kept"},
		{"store", "leases: writes", "/s", 1 / 3.0, 0, "input", "one lease, renewed every 3 s"},
		{"store", "reads together", "/s", 2*f.Nodes*pollsPerSecond + changes*f.Nodes, 2000, "sum", ""},
	}
	return rows
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
	{"a failure domain is lost: worst second of a node", "Storm:lost-B/s", "B/s"},
	{"the same: until all know it", "Storm:lost-s", "s"},
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
	"ConfigFile:file-B", "ConfigFile:packed-B", "GroupCommit:writes/s", "GroupCommit:added-ms", "ConfigFile:ns/op", "NodeMemory:MB", "Run:ns/op", "Token:ns/token", "StreamedToken:added-µs/token", "AddedTime:added-µs",
	"Choose/predicted_finish:ns/op", "NewTable:ns/op",
}
