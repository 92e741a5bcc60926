package discovery

import (
	"fmt"
	"testing"
	"time"
)

// TestAsOfIsOldestRead guards against a fresh list hiding a stale configuration: a view is
// as old as the older of its two parts.
func TestAsOfIsOldestRead(t *testing.T) {
	var own DirectReads
	own.RecordList(testTime)
	r := Rank([]string{"reader"}, nil)
	if f := own.Freshness(r, "reader"); !f.AsOf().IsZero() || !f.Primaries.IsZero() {
		t.Errorf("without a configuration the view is as of %v, of the primary readers as of %v", f.AsOf(), f.Primaries)
	}
	own.RecordConfig(testTime)
	for i := range 10 {
		own.RecordList(testTime.Add(time.Duration(i) * time.Second))
	}
	if f := own.Freshness(r, "reader"); !f.AsOf().Equal(testTime) || !f.Primaries.Equal(testTime) {
		t.Errorf("the configuration was read last at %v; the view is as of %v, of the primary readers as of %v", testTime, f.AsOf(), f.Primaries)
	}
}

// TestBackupReadsDoNotCountAsPrimary guards against reads by backup readers being taken for
// a recovery of the primary readers.
func TestBackupReadsDoNotCountAsPrimary(t *testing.T) {
	readers := Freshness{List: testTime, Config: testTime, Primaries: testTime}
	var own DirectReads
	own.RecordList(testTime.Add(time.Minute))
	own.RecordConfig(testTime.Add(time.Minute))
	r := Rank(nodeNames(61), nil)
	f := readers.Merge(own.Freshness(r, r.Readers(time.Hour)[r.primaries]))
	if !f.Primaries.Equal(testTime) || !f.AsOf().Equal(testTime.Add(time.Minute)) {
		t.Errorf("after a backup reader's reads the view is as of %v, of the primary readers as of %v", f.AsOf(), f.Primaries)
	}
}

// TestAnswerAsOf checks as of which time the answers to long polls are valid.
func TestAnswerAsOf(t *testing.T) {
	const wait = time.Second
	for _, c := range []struct {
		took    time.Duration
		changed bool
		want    time.Duration
	}{
		{took: wait + 20*time.Millisecond, want: wait},
		{took: wait / 2, want: 0},
		{took: wait / 2, changed: true, want: 0},
		{took: 2 * wait, changed: true, want: 0},
	} {
		if got := AnswerAsOf(testTime, testTime.Add(c.took), wait, c.changed).Sub(testTime); got != c.want {
			t.Errorf("an answer after %v, changed %v, is as of %v, want %v", c.took, c.changed, got, c.want)
		}
	}
}

// TestReadersLost cuts the primary readers off from the store, or only fails their reads of
// the configuration, in simulated time. It guards against a configuration that nobody
// reads: some other node must read it within 2 s of the loss and keep reading until the
// primary readers have recovered, when the others must stop.
func TestReadersLost(t *testing.T) {
	for _, size := range []int{9, 61, 295} {
		for _, onlyConfig := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d nodes, only configurations %v", size, onlyConfig), func(t *testing.T) {
				newReaderSim(size, onlyConfig, false).run(t, backupReadDeadline)
			})
		}
	}
	for _, size := range []int{61, 295} {
		t.Run(fmt.Sprintf("%d nodes, backup readers too", size), func(t *testing.T) {
			newReaderSim(size, false, true).run(t, searchReadDeadline)
		})
	}
}

// Timeline and bounds of a simulation.
const (
	readerSimStep = 50 * time.Millisecond
	faultStart    = 3 * time.Second
	faultEnd      = 12 * time.Second
	readerSimEnd  = 20 * time.Second
	// backupReadDeadline is how long after the loss some other node must have read the
	// configuration, settleTime how long after the recovery all others must have stopped.
	backupReadDeadline = 2 * time.Second
	// searchReadDeadline replaces backupReadDeadline if the backup readers are lost too.
	searchReadDeadline = 4 * time.Second
	// maxSearching bounds the number of nodes that read besides primary and backup readers.
	maxSearching = 2 * searchWidth
	settleTime   = 4 * time.Second
)

// readerSim simulates nodes that read the store and poll each other as in production.
type readerSim struct {
	ranking    Ranking
	onlyConfig bool
	// backupsToo is true if the backup readers are lost as well.
	backupsToo bool
	names      []string
	index      map[string]int
	own        []DirectReads
	known      []Freshness
	tries      []int
	peerTries  []int
	lastRead   time.Duration
}

func newReaderSim(size int, onlyConfig, backupsToo bool) *readerSim {
	names := nodeNames(size)
	s := &readerSim{
		ranking: Rank(names, nil), onlyConfig: onlyConfig, backupsToo: backupsToo, names: names, index: make(map[string]int),
		own: make([]DirectReads, size), known: make([]Freshness, size), tries: make([]int, size), peerTries: make([]int, size),
	}
	for i, name := range names {
		s.index[name] = i
		s.known[i] = Freshness{List: testTime, Config: testTime, Primaries: testTime, Candidates: testTime}
	}
	return s
}

func (s *readerSim) run(t *testing.T, foundAfter time.Duration) {
	for at := time.Duration(0); at <= readerSimEnd; at += readerSimStep {
		backups, searching := 0, 0
		for i := range s.names {
			switch reads := s.step(i, at); {
			case reads && !s.ranking.IsCandidate(s.names[i]):
				searching++
			case reads && !s.ranking.IsPrimary(s.names[i]):
				backups++
			}
		}
		if searching > maxSearching || searching > searchWidth && !s.backupsToo {
			t.Fatalf("%v after the start %d nodes search the store", at, searching)
		}
		allowed := ReadInterval + PollInterval
		if at >= faultStart && at < faultStart+foundAfter {
			allowed += foundAfter
		}
		if at-s.lastRead > allowed {
			t.Fatalf("%v after the start nobody has read the configuration for %v", at, at-s.lastRead)
		}
		if at >= faultEnd+settleTime && backups+searching > 0 {
			t.Fatalf("%v after the recovery of the primary readers %d other nodes still read", at-faultEnd, backups+searching)
		}
	}
}

// step runs the due actions of one node, and reports whether it reads the store.
func (s *readerSim) step(i int, at time.Duration) bool {
	now, phase := testTime.Add(at), time.Duration(i)*readerSimStep
	sincePrimaries := now.Sub(s.known[i].Primaries)
	name := s.names[i]
	if (at+phase)%PollInterval == 0 && s.ranking.Overdue(now, s.known[i]) {
		s.peerTries[i]++
		s.poll(i, s.names, s.peerTries[i])
	}
	switch {
	case s.ranking.Reads(name, now, s.known[i]):
		if (at+phase)%ReadInterval == 0 {
			s.read(i, at)
			s.tries[i]++
			switch {
			case s.ranking.IsPrimary(name):
			case s.ranking.IsCandidate(name):
				s.poll(i, s.ranking.Readers(0), s.tries[i])
			default:
				s.poll(i, s.ranking.Readers(sincePrimaries), s.tries[i])
			}
		}
		return true
	case (at+phase)%PollInterval == 0:
		if s.known[i].Stale(now) {
			s.tries[i]++
		}
		s.poll(i, s.ranking.Readers(sincePrimaries), s.tries[i])
	}
	return false
}

func (s *readerSim) read(i int, at time.Duration) {
	lost := at >= faultStart && at < faultEnd && (s.ranking.IsPrimary(s.names[i]) || s.backupsToo && s.ranking.IsCandidate(s.names[i]))
	if !lost || s.onlyConfig {
		s.own[i].RecordList(testTime.Add(at))
	}
	if !lost {
		s.own[i].RecordConfig(testTime.Add(at))
		s.lastRead = at
	}
	s.known[i] = s.known[i].Merge(s.own[i].Freshness(s.ranking, s.names[i]))
}

func (s *readerSim) poll(i int, readers []string, failed int) {
	j := s.index[ReaderFor(readers, s.names[i], failed)]
	received := s.known[j]
	received.Own = time.Time{}
	s.known[i] = s.known[i].Merge(received)
}
