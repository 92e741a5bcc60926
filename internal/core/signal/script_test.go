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

// script is a course of signals and troubles, read from a file. Its lines:
//
//	placing leader | nodes                  who chooses the endpoints
//	traffic N                               requests a second of all nodes
//	endpoints N
//	lasts D
//	at D drain K                            the first K endpoints announce draining from then on
//	at D reject K every N backoff D for D   the first K endpoints reject one request in N
//	at D cut | freeze | restart F for D     a part F of the nodes
//	at D leader-lost
//	learned D                               within which of the first announcement no node uses an
//	                                        endpoint that drains, troubled nodes excepted
//	used-again D                            within which of the end of its last backoff an endpoint
//	                                        gets half of an even share in a second
//	herd F                                  the most it may get in any tenth of a second until then,
//	                                        in even shares of a second
//	rejected F                              the most rejections while endpoints reject, as a share
//	                                        of the requests that find an endpoint then
//	served F                                the least share of requests that find an endpoint
type script struct {
	placedByLeader           bool
	traffic                  float64
	endpoints                int
	lasts, learned, again    time.Duration
	served, herd, rejected   float64
	drains, rejects, strikes []step
}

// step is one change in a script.
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
		s.learned = span(words[1])
	case words[0] == "used-again":
		s.again = span(words[1])
	case words[0] == "herd":
		s.herd = number(words[1])
	case words[0] == "rejected":
		s.rejected = number(words[1])
	case words[0] == "served":
		s.served = number(words[1])
	case len(words) == 4 && words[2] == "drain":
		s.drains = append(s.drains, step{at: span(words[1]), count: int(number(words[3]))})
	case len(words) == 10 && words[2] == "reject":
		s.rejects = append(s.rejects, step{at: span(words[1]), count: int(number(words[3])), every: int(number(words[5])), backoff: span(words[7]), lasts: span(words[9])})
	case len(words) == 3 && words[2] == "leader-lost":
		s.strikes = append(s.strikes, step{at: span(words[1]), kind: words[2], lasts: s.lasts})
	case len(words) == 6 && (words[2] == "cut" || words[2] == "freeze" || words[2] == "restart"):
		s.strikes = append(s.strikes, step{at: span(words[1]), kind: words[2], part: number(words[3]), lasts: span(words[5])})
	default:
		return fmt.Errorf("unknown line %q", strings.Join(words, " "))
	}
	return err
}

// drainsAt reports whether an endpoint announces draining at a moment.
func (s *script) drainsAt(endpoint int, at time.Duration) bool {
	for _, d := range s.drains {
		if endpoint < d.count && at >= d.at {
			return true
		}
	}
	return false
}

// rejectsAt returns how an endpoint rejects requests at a moment, or false.
func (s *script) rejectsAt(endpoint int, at time.Duration) (step, bool) {
	for _, r := range s.rejects {
		if endpoint < r.count && at >= r.at && at < r.at+r.lasts {
			return r, true
		}
	}
	return step{}, false
}
