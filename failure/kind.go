package failure

import "net/http"

// Ran tells whether a refused or failed request ran.
type Ran string

// The three values of Ran.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

// Kind is one entry of the closed list of error kinds.
type Kind int

// The closed list of kinds. A new kind needs a row in the table answers.
const (
	Internal Kind = iota
	BadRequest
	Unauthorized
	NoPipeline
	TooLarge
	RateLimited
	Overloaded
	DeadlineUnreachable
	Draining
	NotReady
	StoreAway
	NoEndpoint
	AlreadyStarted
	DeadlineNotRun
	CanceledNotRun
	StageNotRun
	StageFailed
	StageUnknown
	DeadlineExceeded
	Canceled
	numKinds
)

// Answer is what a caller is told about a kind.
type Answer struct {
	code   string
	status int
	ran    Ran
	again  bool
}

// Code returns the kind's stable name in answers, logs and metrics.
func (a Answer) Code() string { return a.code }

// Status returns the HTTP status code.
func (a Answer) Status() int { return a.status }

// Ran returns whether the request ran.
func (a Answer) Ran() Ran { return a.ran }

// Again reports whether asking again later can help.
func (a Answer) Again() bool { return a.again }

var answers = [numKinds]Answer{
	Internal:            {"internal", http.StatusInternalServerError, RanUnknown, false},
	BadRequest:          {"bad_request", http.StatusBadRequest, RanNo, false},
	Unauthorized:        {"unauthorized", http.StatusUnauthorized, RanNo, false},
	NoPipeline:          {"no_pipeline", http.StatusNotFound, RanNo, false},
	TooLarge:            {"too_large", http.StatusRequestEntityTooLarge, RanNo, false},
	RateLimited:         {"rate_limited", http.StatusTooManyRequests, RanNo, true},
	Overloaded:          {"overloaded", http.StatusServiceUnavailable, RanNo, true},
	DeadlineUnreachable: {"deadline_unreachable", http.StatusServiceUnavailable, RanNo, true},
	Draining:            {"draining", http.StatusServiceUnavailable, RanNo, true},
	NotReady:            {"not_ready", http.StatusServiceUnavailable, RanNo, true},
	StoreAway:           {"store_away", http.StatusServiceUnavailable, RanNo, true},
	NoEndpoint:          {"no_endpoint", http.StatusServiceUnavailable, RanNo, true},
	AlreadyStarted:      {"already_started", http.StatusConflict, RanUnknown, false},
	DeadlineNotRun:      {"deadline_not_run", http.StatusGatewayTimeout, RanNo, true},
	CanceledNotRun:      {"canceled_not_run", 499, RanNo, true},
	StageNotRun:         {"stage_not_run", http.StatusBadGateway, RanNo, true},
	StageFailed:         {"stage_failed", http.StatusBadGateway, RanYes, false},
	StageUnknown:        {"stage_unknown", http.StatusBadGateway, RanUnknown, false},
	DeadlineExceeded:    {"deadline_exceeded", http.StatusGatewayTimeout, RanUnknown, false},
	Canceled:            {"canceled", 499, RanUnknown, false},
}

// Answer returns the kind's row of the table. A number outside the list is
// answered as Internal, which promises nothing.
func (k Kind) Answer() Answer {
	if k < 0 || k >= numKinds {
		return answers[Internal]
	}
	return answers[k]
}

// String returns the kind's code.
func (k Kind) String() string { return k.Answer().code }

// Kinds returns the whole list in its order.
func Kinds() []Kind {
	all := make([]Kind, 0, numKinds)
	for k := Internal; k < numKinds; k++ {
		all = append(all, k)
	}
	return all
}

// ParseCode finds the kind of a code. An unknown code, as from a newer
// version, is Internal and false.
func ParseCode(code string) (Kind, bool) {
	for _, k := range Kinds() {
		if answers[k].code == code {
			return k, true
		}
	}
	return Internal, false
}
