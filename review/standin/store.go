//go:build review

package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is the platform's metadata store.
type store struct {
	mu      sync.Mutex
	started time.Time
	version uint64
	tables  map[string]map[string]row
	changed chan struct{}
	away    bool
}

// setAway makes all calls fail, or succeed again.
func (s *store) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) isAway() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.away
}

type row struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	Ver   uint64 `json:"ver"`
	Gone  bool   `json:"gone,omitempty"`
}

type rowsAnswer struct {
	Rows  []row  `json:"rows"`
	More  bool   `json:"more"`
	Ver   uint64 `json:"ver"`
	NowMS int64  `json:"now_ms"`
}

// maxPage is the number of rows of one answer.
const maxPage = 500

func newStore() *store {
	return &store{started: time.Now(), version: 1, tables: make(map[string]map[string]row), changed: make(chan struct{})}
}

// put writes a row as the operator and the workers do.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.write(row{Table: table, Key: key, Value: data})
}

// drop deletes a row.
func (s *store) drop(table, key string) { s.write(row{Table: table, Key: key, Gone: true}) }

func (s *store) write(r row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	r.Ver = s.version
	if s.tables[r.Table] == nil {
		s.tables[r.Table] = make(map[string]row)
	}
	s.tables[r.Table][r.Key] = r
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) answer(rows []row, more bool) rowsAnswer {
	return rowsAnswer{Rows: rows, More: more, Ver: s.version, NowMS: time.Since(s.started).Milliseconds()}
}

// get returns the rows of a table by key.
func (s *store) get(table, from, to string, limit int) rowsAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []row{}
	for key, r := range s.tables[table] {
		if !r.Gone && key >= from && (to == "" || key < to) {
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	more := len(rows) > limit
	return s.answer(rows[:min(len(rows), limit)], more)
}

// feed returns the rows of a table that changed after a version, in order, and a channel that is closed at the
// next change.
func (s *store) feed(table string, since uint64) (rowsAnswer, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []row{}
	for _, r := range s.tables[table] {
		if r.Ver > since {
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b row) int { return int(a.Ver) - int(b.Ver) })
	return s.answer(rows, false), s.changed
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	if s.isAway() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	q := r.URL.Query()
	w.Header().Set("Store-Era", "1")
	switch r.URL.Path {
	case "/rows-get":
		limit, err := strconv.Atoi(q.Get("limit"))
		if err != nil || limit > maxPage {
			limit = maxPage
		}
		writeJSON(w, s.get(q.Get("table"), q.Get("from"), q.Get("toVersion"), limit))
	case "/rows-feed":
		since, _ := strconv.ParseUint(q.Get("sinceRev"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("waitMs"))
		end := time.After(time.Duration(min(wait, 30_000)) * time.Millisecond)
		for {
			a, changed := s.feed(q.Get("table"), since)
			if s.isAway() {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			if len(a.Rows) > 0 {
				writeJSON(w, a)
				return
			}
			select {
			case <-changed:
			case <-r.Context().Done():
				return
			case <-end:
				writeJSON(w, a)
				return
			}
		}
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = w.Write(data)
}
