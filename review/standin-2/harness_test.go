//go:build review

// Package standin2 holds the stand-ins of the review's scripts 4 and 5: a store, workers, clients and
// the nodes' processes. Each script runs one test of the compiled program.
package standin2

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// heartbeat is the interval at which workers write their entries.
const heartbeat = 1200 * time.Millisecond

// host is the host of all routes, and key the key of the only tenant.
const (
	host   = "site.example"
	key    = "key-one"
	tenant = "tenant-one"
)

// trouble reports whether the case's disruption is to be brought about.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }

// world is one deployment on loopback addresses.
type world struct {
	t      *testing.T
	began  time.Time
	store  *store
	mu     sync.Mutex
	record []string
	broken []string
	procs  []*process
	ids    atomic.Int64
}

func newWorld(t *testing.T) *world {
	w := &world{t: t, began: time.Now()}
	w.store = newStore(t)
	t.Cleanup(func() {
		for _, p := range w.procs {
			p.end()
		}
		w.writeRecord()
	})
	return w
}

// note adds a line to the record.
func (w *world) note(format string, args ...any) {
	line := fmt.Sprintf("%8.3f ", time.Since(w.began).Seconds()) + fmt.Sprintf(format, args...)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.record = append(w.record, line)
}

// breaks records that the rule was broken.
func (w *world) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.note("BROKEN %s", text)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.broken = append(w.broken, text)
}

func (w *world) brokenCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.broken)
}

func (w *world) writeRecord() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if path := os.Getenv("RECORD"); path != "" {
		_ = os.WriteFile(path, []byte(strings.Join(w.record, "\n")+"\n"), 0o644)
	}
}

// verdict writes the outcome for the script, which turns it into its exit status.
func (w *world) verdict(threshold int) {
	n := w.brokenCount()
	w.note("rule broken %d times; it counts from %d", n, threshold)
	fmt.Printf("rule broken %d times; it counts from %d\n", n, threshold)
	if n >= threshold {
		fmt.Println("VERDICT broken")
		return
	}
	fmt.Println("VERDICT held")
}

// ---------------------------------------------------------------- store

type row struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	Ver   uint64 `json:"ver"`
	Gone  bool   `json:"gone,omitempty"`
}

// store is the platform's store: the tables of the operator and of the workers.
type store struct {
	address string
	began   time.Time
	mu      sync.Mutex
	ver     uint64
	rows    map[string]map[string]row
	changed chan struct{}
	down    chan struct{} // closed while the store is away
	away    bool
	delay   time.Duration
}

func newStore(t *testing.T) *store {
	s := &store{began: time.Now(), ver: 1, rows: map[string]map[string]row{}, changed: make(chan struct{}), down: make(chan struct{})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Skip(err)
	}
	s.address = l.Addr().String()
	server := &http.Server{Handler: s}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return s
}

func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.away
}

func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.set(table, row{Table: table, Key: key, Value: data})
}

func (s *store) set(table string, r row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rows[table] == nil {
		s.rows[table] = map[string]row{}
	}
	s.ver++
	r.Ver = s.ver
	s.rows[table][r.Key] = r
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) since(table string, after uint64, gone bool) (rows []row, ver uint64, changed, down chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows = []row{}
	for _, r := range s.rows[table] {
		if r.Ver > after && (gone || !r.Gone) {
			rows = append(rows, r)
		}
	}
	if gone {
		slices.SortFunc(rows, func(a, b row) int { return int(a.Ver) - int(b.Ver) })
	} else {
		slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	}
	return rows, s.ver, s.changed, s.down
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4*time.Millisecond + s.delay)
	if s.isDown() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	q := r.URL.Query()
	answer := func(rows []row, ver uint64) {
		data, _ := json.Marshal(map[string]any{"rows": rows, "more": false, "ver": ver, "now_ms": time.Since(s.began).Milliseconds()})
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Store-Era", "0")
		_, _ = w.Write(data)
	}
	switch r.URL.Path {
	case "/rows-get":
		rows, ver, _, _ := s.since(q.Get("table"), 0, false)
		answer(rows, ver)
	case "/rows-feed":
		after, _ := strconv.ParseUint(q.Get("sinceRev"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("waitMs"))
		end := time.After(time.Duration(wait) * time.Millisecond)
		for {
			rows, ver, changed, down := s.since(q.Get("table"), after, true)
			if len(rows) > 0 {
				answer(rows, ver)
				return
			}
			select {
			case <-changed:
			case <-down:
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			case <-r.Context().Done():
				return
			case <-end:
				answer(rows, ver)
				return
			}
		}
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// ---------------------------------------------------------------- configuration

type stageOf struct {
	service string
	after   []int
	size    int
}

type routeOf struct {
	prefix, kind, service string
	attempts              int
	resumable             bool
	timeoutMS, sloMS      int
	gapMS                 int
	stages                []stageOf
}

type config struct {
	version       int
	routes        []routeOf
	models        []string
	stageServices []string
	plain         []string
	// keys are the keys of the tenant, or none if only key is.
	keys []string
}

func (s *store) publish(c config) {
	var routes, services []map[string]any
	for i, r := range c.routes {
		stages := []map[string]any{}
		for _, st := range r.stages {
			after := st.after
			if after == nil {
				after = []int{}
			}
			stages = append(stages, map[string]any{"service": st.service, "sinceRev": after, "sizeBytes": st.size})
		}
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("r%d", i), "host": host, "prefix": r.prefix, "kind": r.kind, "service": r.service, "maxAttempts": r.attempts,
			"resumable": r.resumable, "timeoutMs": r.timeoutMS, "sloMs": r.sloMS, "gapSloMs": r.gapMS, "priority": 1, "stages": stages, "sticky": len(c.models) > 0,
		})
	}
	for _, name := range c.models {
		services = append(services, map[string]any{"name": name, "maxConns": 360, "engine": map[string]any{"slots": 64, "kvCapacity": 621758, "moves": false}})
	}
	for _, name := range c.stageServices {
		services = append(services, map[string]any{"name": name, "maxConns": 360, "pieces": map[string]any{
			"slots": 1, "queue": 2, "batch": stageBatch, "callMs": stageCall.Milliseconds(), "itemMs": stageItem.Milliseconds(), "headroomMb": 14.0, "handleS": 4, "linkMbps": 10000,
		}})
	}
	for _, name := range c.plain {
		services = append(services, map[string]any{"name": name, "maxConns": 96})
	}
	keys := c.keys
	if keys == nil {
		keys = []string{key}
	}
	s.put("op", "config", map[string]any{
		"version": c.version, "routes": routes, "services": services, "tenants": []map[string]any{{"name": tenant, "apiKeys": keys}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
}

// ---------------------------------------------------------------- nodes

type process struct {
	w        *world
	name     string
	settings string
	front    string
	ready    string
	mu       sync.Mutex
	cmd      *exec.Cmd
	exited   chan struct{}
	ended    bool
	// restarts is true if the platform starts the process again after it has ended by itself, endings tells
	// when it did.
	restarts bool
	endings  []time.Time
}

// endedItself reports whether the process ended by itself within the last moments.
func (p *process) endedItself() bool {
	time.Sleep(100 * time.Millisecond)
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.endings)
	return n > 0 && time.Since(p.endings[n-1]) < 300*time.Millisecond
}

func (p *process) ownExits() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.endings)
}

// startNodes starts n nodes with the command of the deploy file.
func (w *world) startNodes(n int) []*process {
	dir := w.t.TempDir()
	type addresses struct{ ip, front, ready, directory, control string }
	var listeners []net.Listener
	var all []addresses
	for i := range n {
		ip := fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%200, 1+os.Getpid()/200%200, 10+i)
		draw := func() string {
			l, err := net.Listen("tcp", ip+":0")
			if err != nil {
				w.t.Skip(err)
			}
			listeners = append(listeners, l)
			return l.Addr().String()
		}
		all = append(all, addresses{ip, draw(), draw(), draw(), draw()})
	}
	for _, l := range listeners {
		_ = l.Close()
	}
	var seeds []string
	for _, a := range all[:min(3, n)] {
		seeds = append(seeds, fmt.Sprintf("%q", a.control))
	}
	zones := []string{"zone-a", "zone-b", "zone-c"}
	for i, a := range all {
		name := fmt.Sprintf("front-%d", i+1)
		text := fmt.Sprintf(`node: %q
role: "node"
machineClass: "front"
serves: ["front", "control", "directory"]
ip: %q
zone: %q
region: "region"
zones: {zone-a: "region", zone-b: "region", zone-c: "region"}
listen: {front: %q, ready: %q, directory: %q, control: %q}
portRange: [7740, 7755]
seeds: [%s]
bootstrap: true
limits: {cpuShare: 0.4, cores: 1, memoryMb: 284, maxFds: 4200, linkMbps: 1000.0, diskMb: 0}
discovery: "platform"
entry: "directory"
heartbeatMs: %d
contracts: ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform", "stages"]
bounds: {seedLagS: 3, reuseAfterS: 2, contactMs: 3000, ackMs: 4000, catchupS: 4, drainMs: 2000, graceS: 8, lossSlackMs: 200, applyMs: 2000, rollbackSlackMs: 250, skewMs: 5000, retryRatio: 0.2, retryWindowS: 10, retrySlack: 52, recoveryS: 12, passMs: 120, retryAfterS: 10, ttl_max_s: 5}
platform: {addr: %q, form: "table", writes_per_s: 400, reads_per_s: 2000, historyS: 20}
`, name, a.ip, zones[i%len(zones)], a.front, a.ready, a.directory, a.control, strings.Join(seeds, ", "), heartbeat.Milliseconds(), w.store.address)
		path := filepath.Join(dir, name+".yaml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			w.t.Skip(err)
		}
		p := &process{w: w, name: name, settings: path, front: a.front, ready: a.ready}
		w.procs = append(w.procs, p)
		p.start()
	}
	w.awaitReady()
	return w.procs
}

// start starts the process, and restart starts it again unless the case ends.
func (p *process) start() { p.launch(false) }

func (p *process) restart() { p.launch(true) }

func (p *process) launch(again bool) {
	cmd := exec.Command("target/gradetiller-node")
	cmd.Dir = os.Getenv("ROOT")
	cmd.Path = filepath.Join(cmd.Dir, "target/gradetiller-node")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GRADETILLER_SETTINGS=" + p.settings}
	if logs := os.Getenv("LOGS"); logs != "" {
		if f, err := os.OpenFile(filepath.Join(logs, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644); err == nil {
			cmd.Stdout, cmd.Stderr = f, f
		}
	}
	exited := make(chan struct{})
	p.mu.Lock()
	if again && p.ended {
		p.mu.Unlock()
		return
	}
	if err := cmd.Start(); err != nil {
		p.mu.Unlock()
		fmt.Println("VERDICT cannot run:", err)
		p.w.t.Fail()
		return
	}
	notePID(cmd.Process.Pid)
	p.cmd, p.exited, p.ended = cmd, exited, false
	p.mu.Unlock()
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		expected := p.ended
		if !expected {
			p.endings = append(p.endings, time.Now())
		}
		p.mu.Unlock()
		p.w.note("%s exited (expected %t): %v", p.name, expected, err)
		close(exited)
		if p.restarts && !expected {
			time.Sleep(time.Second)
			p.restart()
		}
	}()
}

// notePID writes the id of a process that was started to a file, by which the script ends what is left.
func notePID(pid int) {
	if path := os.Getenv("PIDS"); path != "" {
		if f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err == nil {
			fmt.Fprintln(f, pid)
			_ = f.Close()
		}
	}
}

func (p *process) end() {
	p.mu.Lock()
	p.ended = true
	if p.cmd == nil {
		p.mu.Unlock()
		return
	}
	_ = p.cmd.Process.Kill()
	exited := p.exited
	p.mu.Unlock()
	<-exited
}

// awaitReady waits until all nodes say that they are ready.
func (w *world) awaitReady() {
	deadline := time.Now().Add(20 * time.Second)
	for _, p := range w.procs {
		for {
			client := http.Client{Timeout: time.Second}
			resp, err := client.Get("http://" + p.ready + "/ready")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				fmt.Println("VERDICT cannot run: nodes do not get ready")
				w.t.FailNow()
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	w.note("all nodes are ready")
	time.Sleep(500 * time.Millisecond)
}

// ---------------------------------------------------------------- workers

// worker is a worker of any kind. It answers on raw connections, one request at a time on each.
type worker struct {
	w       *world
	id      string
	service string
	zone    string
	handle  func(c *conn, r *http.Request, body []byte) bool
	listen  string

	mu       sync.Mutex
	version  string
	born     int64
	seq      int
	listener net.Listener
	conns    map[net.Conn]bool
	life     int
	stopped  bool
}

// conn is a connection of a worker, with what it keeps between requests.
type conn struct {
	net.Conn
	worker *worker
	life   int
	// late is an answer that is sent once more when the next one is due.
	late []byte
}

var workerCount atomic.Int64

func (w *world) addWorker(service, version string, handle func(c *conn, r *http.Request, body []byte) bool) *worker {
	n := workerCount.Add(1)
	k := &worker{w: w, id: fmt.Sprintf("i-%04x", 0x7f00+n), service: service, zone: fmt.Sprintf("zone-%c", 'a'+n%3), version: version, handle: handle, conns: map[net.Conn]bool{}}
	k.open()
	go k.beat()
	w.t.Cleanup(k.crash)
	return k
}

// open starts a life of the worker, at the address that it had.
func (k *worker) open() {
	address := k.listen
	if address == "" {
		address = "127.0.0.1:0"
	}
	var l net.Listener
	for range 100 {
		var err error
		if l, err = net.Listen("tcp", address); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if l == nil {
		fmt.Println("VERDICT cannot run: no address for a worker")
		k.w.t.FailNow()
	}
	k.mu.Lock()
	k.listen, k.listener, k.born, k.seq, k.stopped = l.Addr().String(), l, time.Now().UnixMilli(), 0, false
	k.life++
	life := k.life
	k.mu.Unlock()
	k.write()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			k.mu.Lock()
			if k.life != life {
				k.mu.Unlock()
				_ = c.Close()
				return
			}
			k.conns[c] = true
			k.mu.Unlock()
			go k.serve(&conn{Conn: c, worker: k, life: life})
		}
	}()
}

// crash ends the worker's life: its address refuses connections and all that it held is lost.
func (k *worker) crash() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.stopped = true
	k.life++
	_ = k.listener.Close()
	for c := range k.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	clear(k.conns)
}

// write writes the worker's entry, if the store takes it.
func (k *worker) write() {
	k.mu.Lock()
	if k.stopped || k.w.store.isDown() {
		k.mu.Unlock()
		return
	}
	k.seq++
	entry := map[string]any{"service": k.service, "addr": k.listen, "zone": k.zone, "version": k.version, "slots": 64, "state": "ready", "coldLeftMs": 0, "seq": k.seq, "born": k.born}
	k.mu.Unlock()
	k.w.store.put("servers", k.id, entry)
}

// beat writes the entry about every heartbeat, and at once when the store is back.
func (k *worker) beat() {
	last := time.Now()
	wasDown := false
	for {
		time.Sleep(50 * time.Millisecond)
		down := k.w.store.isDown()
		if !down && (wasDown || time.Since(last) >= heartbeat) {
			k.write()
			last = time.Now()
		}
		wasDown = down
	}
}

// startedAt returns the Unix millisecond of the start of the worker's life.
func (k *worker) startedAt() int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.born
}

func (k *worker) serve(c *conn) {
	defer func() {
		k.mu.Lock()
		delete(k.conns, c.Conn)
		k.mu.Unlock()
		_ = c.Close()
	}()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if c.late != nil {
			late := c.late
			c.late = nil
			if _, err := c.Write(late); err != nil {
				return
			}
		}
		if r.Header.Get("X-Expect-Instance") != "" && r.Header.Get("X-Expect-Instance") != k.id {
			c.answer(421, http.Header{"X-Instance": {k.id}}, nil)
			continue
		}
		keep := true
		switch r.URL.Path {
		case "/health":
			c.answer(200, http.Header{"X-Instance": {k.id}}, nil)
		case "/report":
			c.json(map[string]any{"born": k.startedAt(), "stage": "colocated", "models": []any{}, "busy": false, "seq": 0, "queued": 0, "active": 0, "kvUsed": 0, "kvTotal": 621758, "handles": 0})
		case "/kv-list":
			c.json(map[string]any{"epoch": "e" + strconv.Itoa(c.life), "nextToken": 1, "held": []any{}})
		default:
			keep = k.handle(c, r, body)
		}
		if !keep || r.Close {
			return
		}
	}
}

// answer writes a complete answer and returns its bytes.
func (c *conn) answer(status int, h http.Header, body []byte) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for name, values := range h {
		for _, v := range values {
			fmt.Fprintf(&b, "%s: %s\r\n", name, v)
		}
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(body))
	b.Write(body)
	_, _ = c.Write(b.Bytes())
	return b.Bytes()
}

func (c *conn) json(v any) []byte {
	data, _ := json.Marshal(v)
	return c.answer(200, http.Header{"Content-Type": {"application/json"}}, data)
}

// ---------------------------------------------------------------- configuration of stages

// The profile of the stage services, that of gate-log of a small deployment.
const (
	stageBatch = 12
	stageCall  = 240 * time.Millisecond
	stageItem  = 17 * time.Millisecond
)

// ---------------------------------------------------------------- clients

// response is what a client received.
type response struct {
	status   int
	header   http.Header
	body     []byte
	complete bool
	err      error
	took     time.Duration
}

// request is a client's attempt.
type request struct {
	id, path, method string
	// key is the client's key, or "" for the usual one.
	key      string
	header   map[string]string
	body     []byte
	deadline time.Duration
}

// do sends an attempt on a new connection and reads the answer to its end. onBytes is called with what has
// arrived so far.
func (w *world) do(front string, q request, onBytes func(sofar []byte) (leave bool)) response {
	begun := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), q.deadline+time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, q.method, "http://"+front+q.path, bytes.NewReader(q.body))
	if err != nil {
		return response{err: err}
	}
	req.Host = host
	req.Header.Set("X-Request-Id", q.id)
	req.Header.Set("X-Request-Deadline", strconv.FormatInt(q.deadline.Milliseconds(), 10))
	req.Header.Set("Authorization", "Token "+key)
	if q.key != "" {
		req.Header.Set("Authorization", "Token "+q.key)
	}
	for name, value := range q.header {
		req.Header.Set(name, value)
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return response{err: err, took: time.Since(begun)}
	}
	defer resp.Body.Close()
	out := response{status: resp.StatusCode, header: resp.Header}
	buffer := make([]byte, 4096)
	for {
		n, err := resp.Body.Read(buffer)
		out.body = append(out.body, buffer[:n]...)
		if n > 0 && onBytes != nil && onBytes(out.body) {
			out.err, out.took = errLeft, time.Since(begun)
			return out
		}
		if errors.Is(err, io.EOF) {
			out.complete, out.took = true, time.Since(begun)
			return out
		}
		if err != nil {
			out.err, out.took = err, time.Since(begun)
			return out
		}
	}
}

var errLeft = errors.New("client left")

func (w *world) newID() string { return fmt.Sprintf("%08x%08x", os.Getpid(), 0x10000000+w.ids.Add(1)) }
