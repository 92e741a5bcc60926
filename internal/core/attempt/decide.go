package attempt

// Action is what to do after an attempt has ended.
type Action int

// The actions.
const (
	// Deliver forwards the endpoint's answer to the client.
	Deliver Action = iota
	// Retry sends the request to another endpoint.
	Retry
	// AnswerNotRun answers that the request has not run.
	AnswerNotRun
	// AnswerUnknown answers that the request failed and may have run.
	AnswerUnknown
)

// Outcome describes how an attempt ended and the attempts before it.
type Outcome struct {
	Event Event
	// ServerError is true if the endpoint answered that the request ran and
	// failed for a reason on the server's side.
	ServerError bool
	Repeatable  bool
	// Attempts is the number of endpoints that the request was sent to so far,
	// and MaxAttempts the limit.
	Attempts    int
	MaxAttempts int
	// MayHaveRun is true when an earlier attempt may have run.
	MayHaveRun bool
}

// Decide returns what to do after an attempt. Only requests that are proven not
// to have run, or that may run twice, are retried.
func Decide(e Outcome) Action {
	left := e.Attempts < e.MaxAttempts
	switch e.Event {
	case Complete, FirstByte:
		return Deliver
	case NotSent, Rejected:
		switch {
		case left:
			return Retry
		case e.MayHaveRun:
			return AnswerUnknown
		}
		return AnswerNotRun
	case Fail:
		if e.ServerError && e.Repeatable && left {
			return Retry
		}
		return Deliver
	default:
		if e.Repeatable && left {
			return Retry
		}
		return AnswerUnknown
	}
}
