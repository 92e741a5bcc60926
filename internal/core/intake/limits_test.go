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

// script is a course of words and troubles, read from a file. Its lines:
//
//	placing leaders | nodes | both   who chooses the endpoints
//	mix F                            where both choose, the share of requests that leaders place;
//	                                 half if it is left out
//	traffic N                        requests a second of all nodes
//	endpoints N limited K            of which K name what the script says
//	lasts D
//	used F                           the least part of what is named that must be used, for
//	                                 scripts without room elsewhere, or with a leader
//	again D                          within which of the end of its last word each limited
//	                                 endpoint gets an even share once more
//	refused                          that some requests find no endpoint is expected
//	at D name RATE | none            what their answers name from then on
//	every D name RATE | none         in turns of that length with the line before
//	at D cut F for E                 a part of the nodes, from all others
//	at D freeze F for E
//	at D restart F for E             away for a time, and nothing known afterwards
//
// A part "leader" is the leader alone, and "named" those nodes that know of the word.
type script struct {
	placing            intake.Placement
	mix                float64
	traffic            float64
	endpoints, limited int
	lasts              time.Duration
	used               float64
	again              time.Duration
	refused            bool
	words              []naming
	troubles           []trouble
}

// naming is what the limited endpoints name from a moment on; a rate below 0 is none.
type naming struct {
	at   time.Duration
	rate float64
}

type trouble struct {
	at, lasts time.Duration
	kind      string
	part      string
}

func readScript(t *testing.T, path string) script {
	t.Helper()
	s := script{mix: 0.5}
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
		s.mix = number(words[1])
	case "traffic":
		s.traffic = number(words[1])
	case "endpoints":
		s.endpoints, s.limited = int(number(words[1])), int(number(words[3]))
	case "lasts":
		s.lasts = span(words[1])
	case "used":
		s.used = number(words[1])
	case "again":
		s.again = span(words[1])
	case "refused":
		s.refused = true
	case "at":
		s.at(span(words[1]), words[2:])
	case "every":
		s.every(span(words[1]), words[3])
	default:
		return fmt.Errorf("unknown line %q", words[0])
	}
	return nil
}

func (s *script) at(at time.Duration, words []string) {
	if words[0] == "name" {
		s.words = append(s.words, naming{at, rateOf(words[1])})
		return
	}
	s.troubles = append(s.troubles, trouble{at: at, kind: words[0], part: words[1], lasts: span(words[3])})
}

// every lets the last word and another one take turns until the end.
func (s *script) every(gap time.Duration, word string) {
	turns := []float64{rateOf(word), s.words[len(s.words)-1].rate}
	for i, at := 0, s.words[len(s.words)-1].at+gap; at < s.lasts; i, at = i+1, at+gap {
		s.words = append(s.words, naming{at, turns[i%2]})
	}
}

func number(text string) float64 {
	f, err := strconv.ParseFloat(text, 64)
	if err != nil {
		panic(err)
	}
	return f
}

func span(text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		panic(err)
	}
	return d
}

func rateOf(text string) float64 {
	if text == "none" {
		return -1
	}
	return number(text)
}

// named is what the limited endpoints name at a moment, or less than 0.
func (s *script) named(at time.Duration) float64 {
	rate := -1.0
	for _, w := range s.words {
		if w.at <= at {
			rate = w.rate
		}
	}
	return rate
}

// allowed is how many requests an endpoint may get in the span before a moment while it names
// a rate, or false when it has not named anything for long enough.
func (s *script) allowed(at time.Duration) (int, bool) {
	if len(s.words) == 0 || at < s.words[0].at+intaketest.GracePeriod {
		return 0, false
	}
	const step = 10 * time.Millisecond
	sum := 0.0
	for k := at - intaketest.Span; k < at; k += step {
		sum += max(s.named(k), 0) * step.Seconds()
	}
	return intaketest.AllowedFor(sum), true
}

var limitSeeds = flag.Uint64("limit-seeds", 1, "seeds with which each script of limits is played")

// TestLimits plays each script with 7, 59 and 295 nodes.
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
					w.judge(t, seed)
				}
			})
		}
	}
}
