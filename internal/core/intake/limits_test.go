package intake_test

import (
	"flag"
	"fmt"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"gradetiller.example/internal/core/intake"
	"gradetiller.example/internal/core/intake/intaketest"
	"gradetiller.example/internal/scripted"
)

// script is a sequence of advertised limits and faults, read from a file. Its lines:
//
//	placing leaders | nodes | both   who chooses the endpoints
//	mix F                            with both, the fraction of requests that leaders place;
//	                                 0.5 by default
//	traffic N                        requests per second of all nodes
//	endpoints N limited K            K of the N endpoints advertise the limits in the script
//	lasts D                          duration
//	used F                           minimum fraction of the limits that must be used, for
//	                                 scripts without free endpoints, or with a leader, from
//	                                 8 s after each change of the limits or the mix
//	again D                          maximum time from the end of the last limit until each
//	                                 limited endpoint gets an even share again
//	refused                          some requests are expected to find no endpoint
//	at D name RATE | none            the limit in the endpoints' answers from then on
//	every D name RATE | none         alternates with the previous limit at this interval
//	at D mix F                       changes the mix
//	at D cut F for E                 partitions a fraction of the nodes from all others
//	at D freeze F for E              stops a fraction of the nodes
//	at D restart F for E             stops a fraction of the nodes, which then lose their state
//
// Instead of a fraction, "leader" selects the leader alone.
type script struct {
	placing            intake.Placement
	mixes              []mixChange
	traffic            float64
	endpoints, limited int
	lasts              time.Duration
	minUsed            float64
	recoverWithin      time.Duration
	refusalsExpected   bool
	limitChanges       []limitChange
	faults             []fault
}

// limitChange is the limit that the limited endpoints advertise from a given time on; a negative
// rate is no limit.
type limitChange struct {
	at   time.Duration
	rate float64
}

// mixChange is the fraction of requests that leaders place from a given time on.
type mixChange struct {
	at      time.Duration
	leaders float64
}

type fault struct {
	at, lasts time.Duration
	kind      string
	target    string
}

func readScript(t *testing.T, path string) script {
	t.Helper()
	s := script{mixes: []mixChange{{leaders: 0.5}}}
	scripted.Read(t, path, s.line)
	return s
}

func (s *script) line(words []string) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("%q: %v", strings.Join(words, " "), r)
		}
	}()
	switch words[0] {
	case "placing":
		s.placing = map[string]intake.Placement{"leaders": intake.ByLeaders, "nodes": intake.ByNodes, "both": intake.ByBoth}[words[1]]
	case "mix":
		s.mixes = []mixChange{{leaders: parseNumber(words[1])}}
	case "traffic":
		s.traffic = parseNumber(words[1])
	case "endpoints":
		s.endpoints, s.limited = int(parseNumber(words[1])), int(parseNumber(words[3]))
	case "lasts":
		s.lasts = parseDuration(words[1])
	case "used":
		s.minUsed = parseNumber(words[1])
	case "again":
		s.recoverWithin = parseDuration(words[1])
	case "refused":
		s.refusalsExpected = true
	case "at":
		s.addEvent(parseDuration(words[1]), words[2:])
	case "every":
		s.alternate(parseDuration(words[1]), words[3])
	default:
		return fmt.Errorf("unknown line %q", words[0])
	}
	return nil
}

func (s *script) addEvent(at time.Duration, words []string) {
	switch words[0] {
	case "name":
		s.limitChanges = append(s.limitChanges, limitChange{at, parseLimit(words[1])})
		return
	case "mix":
		s.mixes = append(s.mixes, mixChange{at, parseNumber(words[1])})
		return
	}
	s.faults = append(s.faults, fault{at: at, kind: words[0], target: words[1], lasts: parseDuration(words[3])})
}

// alternate alternates between the last limit and another one until the end.
func (s *script) alternate(interval time.Duration, limit string) {
	limits := []float64{parseLimit(limit), s.limitChanges[len(s.limitChanges)-1].rate}
	for i, at := 0, s.limitChanges[len(s.limitChanges)-1].at+interval; at < s.lasts; i, at = i+1, at+interval {
		s.limitChanges = append(s.limitChanges, limitChange{at, limits[i%2]})
	}
}

func parseNumber(text string) float64 {
	f, err := strconv.ParseFloat(text, 64)
	if err != nil {
		panic(err)
	}
	return f
}

func parseDuration(text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		panic(err)
	}
	return d
}

func parseLimit(text string) float64 {
	if text == "none" {
		return -1
	}
	return parseNumber(text)
}

// limitAt returns the advertised limit at a given time; it is negative if there is none.
func (s *script) limitAt(at time.Duration) float64 {
	rate := -1.0
	for _, w := range s.limitChanges {
		if w.at <= at {
			rate = w.rate
		}
	}
	return rate
}

// mixAt returns the fraction of requests that leaders place at a given time.
func (s *script) mixAt(at time.Duration) float64 {
	leaders := 0.0
	for _, m := range s.mixes {
		if m.at <= at {
			leaders = m.leaders
		}
	}
	return leaders
}

// allowed returns how many requests an endpoint may get in the span before the given time, or false
// before the end of the grace period.
func (s *script) allowed(at time.Duration) (int, bool) {
	if len(s.limitChanges) == 0 || at < s.limitChanges[0].at+intaketest.GracePeriod {
		return 0, false
	}
	const step = 10 * time.Millisecond
	sum := 0.0
	for k := at - intaketest.Span; k < at; k += step {
		sum += max(s.limitAt(k), 0) * step.Seconds()
	}
	return intaketest.AllowedFor(sum), true
}

var limitSeeds = flag.Uint64("limit-seeds", 1, "seeds with which each script of limits is played")

// TestLimits guards against exceeding an advertised rate limit, or leaving it unused. It plays each
// script with 7, 59 and 295 nodes.
func TestLimits(t *testing.T) {
	files, err := filepath.Glob("testdata/limits/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatal(files, err)
	}
	for _, file := range files {
		s := readScript(t, file)
		for _, nodes := range []int{7, 59, 295} {
			t.Run(fmt.Sprintf("%s-%d", strings.TrimSuffix(filepath.Base(file), ".txt"), nodes), func(t *testing.T) {
				t.Parallel()
				for seed := range *limitSeeds {
					w := newLimitWorld(s, nodes, seed)
					w.play()
					w.check(t, seed)
				}
			})
		}
	}
}
