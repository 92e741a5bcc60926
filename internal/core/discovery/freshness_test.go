package discovery

import (
	"fmt"
	"testing"
	"time"
)

// TestOneAgeForAllThatIsRead checks that a view is as old as the older of its parts:
// a configuration that is not confirmed any more makes it old, however fresh the list.
func TestOneAgeForAllThatIsRead(t *testing.T) {
	var own DirectReads
	own.RecordList(testTime)
	r := Rank([]string{"reader"}, nil)
	if f := own.Freshness(r, "reader"); !f.AsOf().IsZero() || !f.Primaries.IsZero() {
		t.Errorf("without a configuration the view is current as of %v, of readers as of %v", f.AsOf(), f.Primaries)
	}
	own.RecordConfig(testTime)
	for i := range 10 {
		own.RecordList(testTime.Add(time.Duration(i) * time.Second))
	}
	if f := own.Freshness(r, "reader"); !f.AsOf().Equal(testTime) || !f.Primaries.Equal(testTime) {
		t.Errorf("the configuration was read last at %v; the view is current as of %v, of readers as of %v", testTime, f.AsOf(), f.Primaries)
	}
}

// TestStandInsAreNoReaders checks that what stand-ins read makes nobody believe that
// the usual readers are back.
func TestStandInsAreNoReaders(t *testing.T) {
	readers := Freshness{List: testTime, Config: testTime, Primaries: testTime}
	var own DirectReads
	own.RecordList(testTime.Add(time.Minute))
	own.RecordConfig(testTime.Add(time.Minute))
	r := Rank(nodeNames(61), nil)
	f := readers.Merge(own.Freshness(r, r.Readers(time.Hour)[r.usual]))
	if !f.Primaries.Equal(testTime) || !f.AsOf().Equal(testTime.Add(time.Minute)) {
		t.Errorf("after a stand-in's reads the view is current as of %v, of readers as of %v", f.AsOf(), f.Primaries)
	}
}

// TestAnswerAsOf checks from when the answers to questions for changes are.
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

// TestReadersLost takes the readers' store, or only their calls for configurations,
// away from them and has nodes exchange what they know, in steps of simulated time.
// Some node reads the configuration within 2 s of the loss, and then again and again
// until the readers are back; the others leave it to them then.
func TestReadersLost(t *testing.T) {
	for _, size := range []int{9, 61, 295} {
		for _, onlyConfig := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d nodes, only configurations %v", size, onlyConfig), func(t *testing.T) {
				newExchange(size, onlyConfig, false).run(t, standInTime)
			})
		}
	}
	for _, size := range []int{61, 295} {
		t.Run(fmt.Sprintf("%d nodes, stand-ins too", size), func(t *testing.T) {
			newExchange(size, false, true).run(t, searchTime)
		})
	}
}

// The course of an exchange.
const (
	exchangeStep = 50 * time.Millisecond
	lostAt       = 3 * time.Second
	backAt       = 12 * time.Second
	exchangeEnd  = 20 * time.Second
	// standInTime is how long after the loss some other node has read the
	// configuration, restTime how long after the return all leave it to the readers.
	standInTime = 2 * time.Second
	// searchTime is standInTime when those that stand in first are lost too.
	searchTime = 4 * time.Second
	// mostSearching bounds the nodes that read besides the readers and those that
	// stand in first.
	mostSearching = 2 * searchers
	restTime      = 4 * time.Second
)

// exchange is a system in which nodes read and ask as they do in the product.
type exchange struct {
	ranking    Ranking
	onlyConfig bool
	// standInsToo tells that those that stand in first are lost as well.
	standInsToo bool
	names       []string
	index       map[string]int
	own         []DirectReads
	known       []Freshness
	tries       []int
	others      []int
	lastRead    time.Duration
}

func newExchange(size int, onlyConfig, standInsToo bool) *exchange {
	names := nodeNames(size)
	e := &exchange{
		ranking: Rank(names, nil), onlyConfig: onlyConfig, standInsToo: standInsToo, names: names, index: make(map[string]int),
		own: make([]DirectReads, size), known: make([]Freshness, size), tries: make([]int, size), others: make([]int, size),
	}
	for i, name := range names {
		e.index[name] = i
		e.known[i] = Freshness{List: testTime, Config: testTime, Primaries: testTime, Candidates: testTime}
	}
	return e
}

func (e *exchange) run(t *testing.T, foundAfter time.Duration) {
	for at := time.Duration(0); at <= exchangeEnd; at += exchangeStep {
		standIns, searching := 0, 0
		for i := range e.names {
			switch reads := e.step(i, at); {
			case reads && !e.ranking.IsCandidate(e.names[i]):
				searching++
			case reads && !e.ranking.IsPrimary(e.names[i]):
				standIns++
			}
		}
		if searching > mostSearching || searching > searchers && !e.standInsToo {
			t.Fatalf("%v after the start %d nodes search the store", at, searching)
		}
		allowed := ReadInterval + PollInterval
		if at >= lostAt && at < lostAt+foundAfter {
			allowed += foundAfter
		}
		if at-e.lastRead > allowed {
			t.Fatalf("%v after the start nobody has read the configuration for %v", at, at-e.lastRead)
		}
		if at >= backAt+restTime && standIns+searching > 0 {
			t.Fatalf("%v after the readers were back %d nodes stand in", at-backAt, standIns+searching)
		}
	}
}

// step has one node do what is due, and reports whether it reads the store.
func (e *exchange) step(i int, at time.Duration) bool {
	now, phase := testTime.Add(at), time.Duration(i)*exchangeStep
	away := now.Sub(e.known[i].Primaries)
	name := e.names[i]
	if (at+phase)%PollInterval == 0 && e.ranking.Overdue(now, e.known[i]) {
		e.others[i]++
		e.ask(i, e.names, e.others[i])
	}
	switch {
	case e.ranking.Reads(name, now, e.known[i]):
		if (at+phase)%ReadInterval == 0 {
			e.read(i, at)
			e.tries[i]++
			switch {
			case e.ranking.IsPrimary(name):
			case e.ranking.IsCandidate(name):
				e.ask(i, e.ranking.Readers(0), e.tries[i])
			default:
				e.ask(i, e.ranking.Readers(away), e.tries[i])
			}
		}
		return true
	case (at+phase)%PollInterval == 0:
		if e.known[i].Stale(now) {
			e.tries[i]++
		}
		e.ask(i, e.ranking.Readers(away), e.tries[i])
	}
	return false
}

func (e *exchange) read(i int, at time.Duration) {
	lost := at >= lostAt && at < backAt && (e.ranking.IsPrimary(e.names[i]) || e.standInsToo && e.ranking.IsCandidate(e.names[i]))
	if !lost || e.onlyConfig {
		e.own[i].RecordList(testTime.Add(at))
	}
	if !lost {
		e.own[i].RecordConfig(testTime.Add(at))
		e.lastRead = at
	}
	e.known[i] = e.known[i].Merge(e.own[i].Freshness(e.ranking, e.names[i]))
}

func (e *exchange) ask(i int, readers []string, turn int) {
	j := e.index[ReaderFor(readers, e.names[i], turn)]
	told := e.known[j]
	told.Own = time.Time{}
	e.known[i] = e.known[i].Merge(told)
}
