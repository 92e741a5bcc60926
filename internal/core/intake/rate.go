package intake

import (
	"errors"
	"fmt"
	"math"
	"strconv"
)

// maxPerSecond is the highest distinct rate. No endpoint gets that many requests, so higher limits
// have no effect.
const maxPerSecond = 1e6

// Rate is a limit on the requests per second that an endpoint gets from all nodes together. The
// zero value is no limit.
type Rate struct {
	perSecond float64
	bounded   bool
}

// ErrInvalidRate is the error of a number that is not a valid rate.
var ErrInvalidRate = errors.New("rate must be a non-negative number of requests per second")

// NewRate returns a rate in requests per second. The error wraps ErrInvalidRate.
func NewRate(perSecond float64) (Rate, error) {
	if math.IsNaN(perSecond) || math.IsInf(perSecond, 0) || perSecond < 0 {
		return Rate{}, fmt.Errorf("%w: %v", ErrInvalidRate, perSecond)
	}
	// Adding zero turns negative zero into zero.
	return Rate{perSecond: min(perSecond, maxPerSecond) + 0, bounded: true}, nil
}

// Bounded reports whether there is a limit.
func (r Rate) Bounded() bool { return r.bounded }

// PerSecond returns the limit in requests per second, or 0 if there is none.
func (r Rate) PerSecond() float64 { return r.perSecond }

// String formats the rate for log lines.
func (r Rate) String() string {
	if !r.bounded {
		return "none"
	}
	return strconv.FormatFloat(r.perSecond, 'g', -1, 64) + "/s"
}

// Lower returns the lower of two rates.
func Lower(a, b Rate) Rate {
	if !a.bounded || b.bounded && b.perSecond < a.perSecond {
		return b
	}
	return a
}
