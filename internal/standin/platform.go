package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"gradetiller.example/internal/platform"
)

// The rate limits of the platform's table, and the delay of FaultSlow.
const (
	writesPerSecond = 100
	readsPerSecond  = 2000
	slowStoreDelay  = 500 * time.Millisecond
)

// Platform simulates the table, the object store and the instance list.
type Platform struct {
	faults    faultSwitch
	mu        sync.Mutex
	rows      map[string]platform.Row
	objects   map[string][]byte
	instances []platform.Instance
	writes    rateMeter
	reads     rateMeter
}

// rateMeter counts calls and limits their number per second.
type rateMeter struct {
	second   int64
	inSecond int
	total    int
	peak     int
}

func (m *rateMeter) allow(limit int) bool {
	if s := time.Now().Unix(); s != m.second {
		m.second, m.inSecond = s, 0
	}
	if m.inSecond >= limit {
		return false
	}
	m.inSecond++
	m.total++
	m.peak = max(m.peak, m.inSecond)
	return true
}

// NewPlatform returns a platform with an empty table and object store and the given
// instance list.
func NewPlatform(instances []platform.Instance) *Platform {
	return &Platform{
		rows:      make(map[string]platform.Row),
		objects:   make(map[string][]byte),
		instances: instances,
	}
}

// InjectFault replaces the fault in force.
func (p *Platform) InjectFault(spec FaultSpec) { p.faults.set(spec) }

// SetInstances replaces the instance list.
func (p *Platform) SetInstances(list []platform.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances = list
}

// Usage holds the total number of table writes and reads and their peaks per second.
type Usage struct {
	Writes     int `json:"writes"`
	PeakWrites int `json:"peak_writes"`
	Reads      int `json:"reads"`
	PeakReads  int `json:"peak_reads"`
}

// Usage returns the counts of table writes and reads.
func (p *Platform) Usage() Usage {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Usage{Writes: p.writes.total, PeakWrites: p.writes.peak, Reads: p.reads.total, PeakReads: p.reads.peak}
}

// Handler returns the handler for the three services.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /table/read", p.readTable)
	mux.HandleFunc("POST /table/write", p.writeTable)
	mux.HandleFunc("GET /objects/{name}", p.getObject)
	mux.HandleFunc("PUT /objects/{name}", p.putObject)
	mux.HandleFunc("GET /instances", p.listInstances)
	return mux
}

// applyFault applies the fault in force. It returns whether the response is to be lost
// after the request has taken effect, and whether the request is to be processed at all.
func (p *Platform) applyFault(w http.ResponseWriter, r *http.Request) (loseAnswer, ok bool) {
	switch p.faults.consume().Fault {
	case FaultOutage:
		closeConnection(w)
		return false, false
	case FaultHang:
		// The server detects that the client has disconnected only once the body is read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		return false, false
	case FaultSlow:
		time.Sleep(slowStoreDelay)
	case FaultLoseAnswer:
		return true, true
	}
	return false, true
}

func (p *Platform) readTable(w http.ResponseWriter, r *http.Request) {
	if _, ok := p.applyFault(w, r); !ok {
		return
	}
	var req struct{ Keys []string }
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	allowed := p.reads.allow(readsPerSecond)
	rows := make([]platform.Row, len(req.Keys))
	for i, k := range req.Keys {
		rows[i] = p.row(k)
	}
	p.mu.Unlock()
	if !allowed {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	writeJSON(w, http.StatusOK, map[string][]platform.Row{"rows": rows})
}

func (p *Platform) row(key string) platform.Row {
	if row, ok := p.rows[key]; ok {
		return row
	}
	return platform.Row{Key: key}
}

func (p *Platform) writeTable(w http.ResponseWriter, r *http.Request) {
	lose, ok := p.applyFault(w, r)
	if !ok {
		return
	}
	var req struct{ Puts []platform.Put }
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	allowed := p.writes.allow(writesPerSecond)
	var conflicts []platform.Row
	if allowed {
		conflicts = p.apply(req.Puts)
	}
	p.mu.Unlock()
	switch {
	case lose:
		closeConnection(w)
	case !allowed:
		w.WriteHeader(http.StatusTooManyRequests)
	case len(conflicts) > 0:
		writeJSON(w, http.StatusConflict, map[string][]platform.Row{"rows": conflicts})
	default:
		writeJSON(w, http.StatusOK, struct{}{})
	}
}

func (p *Platform) apply(puts []platform.Put) []platform.Row {
	var conflicts []platform.Row
	for _, put := range puts {
		if row := p.row(put.Key); row.Version != put.IfVersion {
			conflicts = append(conflicts, row)
		}
	}
	if len(conflicts) > 0 {
		return conflicts
	}
	for _, put := range puts {
		p.rows[put.Key] = platform.Row{Key: put.Key, Version: put.IfVersion + 1, Value: put.Value}
	}
	return nil
}

func (p *Platform) getObject(w http.ResponseWriter, r *http.Request) {
	if _, ok := p.applyFault(w, r); !ok {
		return
	}
	p.mu.Lock()
	data, ok := p.objects[r.PathValue("name")]
	p.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	_, _ = w.Write(data)
}

func (p *Platform) putObject(w http.ResponseWriter, r *http.Request) {
	lose, ok := p.applyFault(w, r)
	if !ok {
		return
	}
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	p.mu.Lock()
	p.objects[r.PathValue("name")] = data
	p.mu.Unlock()
	if lose {
		closeConnection(w)
	}
}

func (p *Platform) listInstances(w http.ResponseWriter, r *http.Request) {
	if _, ok := p.applyFault(w, r); !ok {
		return
	}
	p.mu.Lock()
	list := p.instances
	p.mu.Unlock()
	writeJSON(w, http.StatusOK, list)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// closeConnection closes the connection without completing the response.
func closeConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = conn.Close()
	}
}

// ParseInstances parses an instance list such as "n1=127.0.0.1:7201@kgn-1,...".
func ParseInstances(s string) []platform.Instance {
	var list []platform.Instance
	for part := range strings.SplitSeq(s, ",") {
		node, rest, ok := strings.Cut(part, "=")
		if !ok {
			continue
		}
		address, domain, _ := strings.Cut(rest, "@")
		list = append(list, platform.Instance{Node: node, Address: address, Domain: domain})
	}
	return list
}
