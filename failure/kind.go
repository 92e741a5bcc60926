package failure

import "net/http"

// Ran states whether a refused or failed request ran.
type Ran string

// The three values of Ran.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

// Kind is a kind of error.
type Kind int

// The complete list of kinds. A new kind needs a row in answers.
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

// Answer describes how an error of a kind is reported to a client.
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

// Again reports whether a later retry may succeed.
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

// Answer returns the kind's answer. For an undefined kind it returns that of
// Internal, which does not state whether the request ran.
func (k Kind) Answer() Answer {
	if k < 0 || k >= numKinds {
		return answers[Internal]
	}
	return answers[k]
}

// String returns the kind's code.
func (k Kind) String() string { return k.Answer().code }

// Kinds returns all kinds in the order of their definition.
func Kinds() []Kind {
	all := make([]Kind, 0, numKinds)
	for k := Internal; k < numKinds; k++ {
		all = append(all, k)
	}
	return all
}

// ParseCode returns the kind with the given code. For an unknown code, such as
// one of a newer version, it returns Internal and false.
func ParseCode(code string) (Kind, bool) {
	for _, k := range Kinds() {
		if answers[k].code == code {
			return k, true
		}
	}
	return Internal, false
}
