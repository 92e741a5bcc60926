package signal_test

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"gradetiller.example/internal/scripted"
)

// script is a sequence of signals and faults, read from a file. Its lines:
//
//	placing leader | nodes                  who chooses the endpoints
//	traffic N                               requests per second of all nodes
//	endpoints N
//	lasts D                                 duration
//	at D drain K                            the first K endpoints announce draining from then on
//	at D reject K every N backoff D for D   the first K endpoints reject one request in N
//	at D cut | freeze | restart F for D     affects a fraction F of the nodes
//	at D leader-lost
//	learned D                               maximum time from the first announcement until no node
//	                                        uses a draining endpoint, except nodes with faults
//	used-again D                            maximum time from the end of its last backoff until an
//	                                        endpoint gets half of an even share in a second
//	herd F                                  maximum in any tenth of a second until then, in even
//	                                        shares of a second
//	rejected F                              maximum rejections while endpoints reject, as a fraction
//	                                        of the requests served in that time
//	served F                                minimum fraction of requests that find an endpoint
type script struct {
	placedByLeader                  bool
	traffic                         float64
	endpoints                       int
	lasts, learnWithin, reuseWithin time.Duration
	minServed, maxHerd, maxRejected float64
	drains, rejects, faults         []step
}

// step is one event in a script.
type step struct {
	at, lasts, backoff time.Duration
	count, every       int
	kind               string
	part               float64
}

func readScript(t *testing.T, path string) script {
	s := script{}
	scripted.Read(t, path, s.line)
	return s
}

func (s *script) line(words []string) (err error) {
	number := func(text string) float64 {
		f, e := strconv.ParseFloat(text, 64)
		err = errors.Join(err, e)
		return f
	}
	span := func(text string) time.Duration {
		d, e := time.ParseDuration(text)
		err = errors.Join(err, e)
		return d
	}
	switch {
	case words[0] == "placing":
		s.placedByLeader = words[1] == "leader"
	case words[0] == "traffic":
		s.traffic = number(words[1])
	case words[0] == "endpoints":
		s.endpoints = int(number(words[1]))
	case words[0] == "lasts":
		s.lasts = span(words[1])
	case words[0] == "learned":
		s.learnWithin = span(words[1])
	case words[0] == "used-again":
		s.reuseWithin = span(words[1])
	case words[0] == "herd":
		s.maxHerd = number(words[1])
	case words[0] == "rejected":
		s.maxRejected = number(words[1])
	case words[0] == "served":
		s.minServed = number(words[1])
	case len(words) == 4 && words[2] == "drain":
		s.drains = append(s.drains, step{at: span(words[1]), count: int(number(words[3]))})
	case len(words) == 10 && words[2] == "reject":
		s.rejects = append(s.rejects, step{at: span(words[1]), count: int(number(words[3])), every: int(number(words[5])), backoff: span(words[7]), lasts: span(words[9])})
	case len(words) == 3 && words[2] == "leader-lost":
		s.faults = append(s.faults, step{at: span(words[1]), kind: words[2], lasts: s.lasts})
	case len(words) == 6 && (words[2] == "cut" || words[2] == "freeze" || words[2] == "restart"):
		s.faults = append(s.faults, step{at: span(words[1]), kind: words[2], part: number(words[3]), lasts: span(words[5])})
	default:
		return fmt.Errorf("unknown line %q", strings.Join(words, " "))
	}
	return err
}

// drainsAt reports whether an endpoint announces draining at the given time.
func (s *script) drainsAt(endpoint int, at time.Duration) bool {
	for _, d := range s.drains {
		if endpoint < d.count && at >= d.at {
			return true
		}
	}
	return false
}

// rejectsAt returns how an endpoint rejects requests at the given time, or false if it doesn't.
func (s *script) rejectsAt(endpoint int, at time.Duration) (step, bool) {
	for _, r := range s.rejects {
		if endpoint < r.count && at >= r.at && at < r.at+r.lasts {
			return r, true
		}
	}
	return step{}, false
}
