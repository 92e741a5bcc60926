package capacity

import "fmt"

// Fleet is the size of a fleet to compute the costs for. All fields are given or assumed; none is
// measured.
type Fleet struct {
	Name          string
	Nodes         float64
	Endpoints     float64
	Accounts      float64
	Requests      float64 // per second, all nodes
	Tokens        float64 // per second, all nodes
	Stages        float64 // per request
	ChangesPerDay float64 // changes of the configuration per day
	NodeChanges   float64 // per day: failures, replacements, restarts
	OnceShare     float64 // assumed: share of requests that may run at most once
}

// Today is the present fleet, and Target the fleet that the system must support in two years.
var (
	Today  = Fleet{Name: "7 nodes", Nodes: 7, Endpoints: 45, Accounts: 5, Requests: 100, Tokens: 2000, Stages: 4, ChangesPerDay: 10, NodeChanges: 2, OnceShare: 0.1}
	Target = Fleet{Name: "380 nodes", Nodes: 380, Endpoints: 600, Accounts: 3900, Requests: 3600, Tokens: 840000, Stages: 5, ChangesPerDay: 670, NodeChanges: 76, OnceShare: 0.1}
)

const (
	secondsPerDay         = 86400.0
	watchersPerEndpoint   = 2.0 // control processes that watch an endpoint
	watchIntervalSeconds  = 2.0 // between two polls of an endpoint
	pollsPerSecond        = 1 / 5.0
	recordsPerNodeChange  = 4.0 // records that a node change spreads: suspect, dead, new incarnation, entry
	neighborsPerNode      = 8.0 // links per member
	memberBytes           = 130.0
	maxRecordWrites       = 40.0 // maximum of transactions per second for at-most-once records
	packetOverheadBytes   = 80.0 // assumed: TCP/IP headers of a packet and its acknowledgement
	tlsOverheadBytes      = 22.0 // assumed: per TLS record
	packetsPerPoll        = 2.0  // assumed: a request and a response
	enginePollsPerSecond  = 8.0  // engines that the holder of the placement lease polls per second
	microsecondsPerSecond = 1e6
	nanosecondsPerSecond  = 1e9
)

// Row is a row of a table.
type Row struct {
	Role, Quantity, Unit string
	Value                float64
	Limit                float64 // 0 if there is none
	Source               string  // the benchmark, "input" if there is none, or "sum" of other rows
	Mechanism            string  // what keeps the cost low
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

// Rows returns the rows of the table for a fleet.
func Rows(m *Measurements, f Fleet) []Row {
	at := m.At
	polls := watchersPerEndpoint * f.Endpoints / f.Nodes / watchIntervalSeconds
	requests := f.Requests / f.Nodes
	fileBytes := at("ConfigFile:packed-B", f.Accounts)
	frames := at("Members:frames/s/node", f.Nodes)
	enginePolls := min(enginePollsPerSecond, f.Endpoints)
	parseSeconds := at("ConfigFile:ns/op", f.Accounts) / nanosecondsPerSecond
	changes := f.ChangesPerDay / secondsPerDay
	nodeChanges := f.NodeChanges / secondsPerDay
	heartbeatBytes := at("Members:B/s/node", f.Nodes)
	watchBytes := polls * at("Watch:B/poll", 1)
	gossipBytes := nodeChanges * recordsPerNodeChange * neighborsPerNode * memberBytes
	configBytes := changes * fileBytes
	heartbeatCPU := at("Members:cpu-µs/s/node", f.Nodes) / microsecondsPerSecond
	watchCPU := polls * at("Watch:ns/op", 1) / nanosecondsPerSecond
	headerBytes := 2*frames*(packetOverheadBytes+tlsOverheadBytes) + polls*packetsPerPoll*packetOverheadBytes
	totalBytes := 2*heartbeatBytes + watchBytes + 2*gossipBytes + 2*configBytes + headerBytes
	enginePollBytes := enginePolls * (at("Watch:B/poll", 1) + packetsPerPoll*packetOverheadBytes)
	enginePollCPU := enginePolls * at("Watch:ns/op", 1) / nanosecondsPerSecond
	onceRequests := f.Requests * f.OnceShare
	rows := []Row{
		{"control", "heartbeats sent", "B/s", heartbeatBytes, 0, "Members", "8 fixed neighbors on a ring, deltas only"},
		{"control", "messages sent", "/s", frames, 0, "Members", "one frame a neighbor and second; news goes along"},
		{"control", "endpoints asked", "/s", polls, 0, "input", "each every 2 s by two watchers"},
		{"control", "endpoint states, both ways", "B/s", watchBytes, 0, "Watch", "2 watchers an endpoint by rendezvous hashing"},
		{"control", "news of node changes", "B/s", gossipBytes, 0, "input", "each record passed on once to each neighbor"},
		{"control", "configuration files", "B/s", configBytes, 0, "ConfigFile", "whole files, gzip, from the store or one peer"},
		{"control", "packet headers and TLS records", "B/s", headerBytes, 0, "input", "assumed 80 B a packet with its acknowledgement"},
		{"control", "sent and received together", "B/s", totalBytes, 9000, "sum", "heartbeats, news and files counted both ways"},
		{"placement's holder", "engine states, beside the above", "B/s", enginePollBytes, 0, "Watch", "8 engines a second in turn"},
		{"placement's holder", "its control process together", "B/s", totalBytes + enginePollBytes, 9000, "sum", ""},
		{"control", "processor: heartbeats", "core", heartbeatCPU, 0, "Members", "constant degree"},
		{"control", "processor: endpoint states", "core", watchCPU, 0, "Watch", "kept connections"},
		{"control", "processor: configurations", "core", changes * parseSeconds, 0, "ConfigFile", "parsed once a change"},
		{"control", "processor together", "core", heartbeatCPU + watchCPU + changes*parseSeconds + nodeChanges*at("Share:ns/op", f.Nodes)/nanosecondsPerSecond, 0.021, "sum", ""},
		{"placement's holder", "its processor together", "core", heartbeatCPU + watchCPU + enginePollCPU + changes*parseSeconds, 0.021, "sum", "8 engines a second in turn"},
		{"placement's holder", "time until all engines were looked at", "s", f.Endpoints / enginePolls, 0, "input", "level-triggered"},
		{"control", "snapshot to its entry after a change (loopback)", "B", at("Snapshot:changed-B", f.Nodes), 0, "Snapshot", "lists only when they changed"},
		{"entry", "memory", "MB", at("NodeMemory:MB", f.Accounts), 64, "NodeMemory", "no state for idle accounts beyond the configuration; 1,000 series at most"},
		{"entry", "processor: decisions of a request", "core", requests * f.Stages * at("Run:ns/op", 10) / nanosecondsPerSecond, 0, "Run", "one lock, no input or output under it"},
		{"entry", "processor: tokens, without the network", "core", f.Tokens / f.Nodes * at("Token:ns/token", 1) / nanosecondsPerSecond, 0, "Token", "no engine lock for a token"},
		{"entry", "processor: tokens, network included", "core", f.Tokens / f.Nodes * at("StreamedToken:added-µs/token", 1) / microsecondsPerSecond, 0, "StreamedToken", "what a node adds to reading directly"},
		{"entry", "time added to a token", "µs", at("StreamedToken:added-µs/token", 1), 5, "StreamedToken", "processor time; 75 ms between tokens are allowed in all"},
		{"entry", "time added to the first token, all stages", "ms", f.Stages * at("AddedTime:added-µs", 1) / 1000, 0, "AddedTime", "of 840 ms in all"},
		{"entry", "time of a choice of endpoint", "µs", at("Choose/predicted_finish:ns/op", f.Endpoints) / 1000, 5, "Choose", "a sample of 12"},
		{"entry", "locate answers after a node change", "ms", at("NewTable:ns/op", f.Nodes) / 1e6, 0, "NewTable", "computed outside the lock"},
		{"store", "configuration: writes", "/s", changes, 0, "input", "one transaction a change"},
		{"store", "objects written", "B/s", changes * fileBytes, 0, "ConfigFile", "one object a change"},
		{"store", "objects read, if no peer were faster", "B/s", changes * fileBytes * f.Nodes, 0, "ConfigFile", "the worst case; most nodes take the file from a peer"},
		{"store", "configuration and instance list: reads", "/s", 2*f.Nodes*pollsPerSecond + changes*f.Nodes, 0, "input", "poll every 5 s; files mostly from peers"},
		{"store", "at-most-once records, if each node wrote for itself", "/s", onceRequests, 100, "input", "not so built; shown for comparison"},
		{"store", "at-most-once records: writes", "/s", at("GroupCommit:writes/s", f.Nodes), 100, "GroupCommit", "one writer a shard, a gap between transactions"},
		{"store", "at-most-once records: time added", "ms", at("GroupCommit:added-ms", f.Nodes), 0, "GroupCommit", "the price of the gap"},
		{"store", "after an outage: writes in the worst second", "/s", maxRecordWrites + 1 + 1, 100, "input", "the gap between transactions holds for repairs too; one lease; applies are not repeated by the system"},
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

// storms lists the metrics of BenchmarkStorm, which measures the load of mass failures.
var storms = []struct{ quantity, key, unit string }{
	{"all control processes start at once: worst second of a node", "Storm:start-B/s", "B/s"},
	{"the same: until all know all", "Storm:start-s", "s"},
	{"a region comes back: worst second of a node", "Storm:heal-B/s", "B/s"},
	{"the same: until all know all", "Storm:heal-s", "s"},
	{"a failure domain is lost: worst second of a node", "Storm:lost-B/s", "B/s"},
	{"the same: until all know it", "Storm:lost-s", "s"},
}

// StormTable returns the Markdown table of the storm measurements at each size.
func StormTable(m *Measurements) string {
	out := "### Storms\n\n| what | members | measured |\n|---|---|---|\n"
	for _, s := range storms {
		for _, p := range m.Points(s.key) {
			out += fmt.Sprintf("| %s | %.0f | %.4g %s |\n", s.quantity, p.X, p.Y, s.unit)
		}
	}
	return out
}

// SlopeTable returns the Markdown table of the measured points and the lines through them.
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
