package intake

import (
	"errors"
	"fmt"
	"math"
	"strconv"
)

// mostPerSecond is the highest rate that is told apart: no endpoint gets that many requests,
// so a higher one bounds nothing either.
const mostPerSecond = 1e6

// Rate is how many requests a second an endpoint takes from all nodes together. The zero
// value is no bound.
type Rate struct {
	perSecond float64
	named     bool
}

// ErrInvalidRate is the error of a number that is no rate.
var ErrInvalidRate = errors.New("a rate is a number of requests a second, 0 or above")

// NewRate returns a rate, in requests a second. The error is ErrRate.
func NewRate(perSecond float64) (Rate, error) {
	if math.IsNaN(perSecond) || math.IsInf(perSecond, 0) || perSecond < 0 {
		return Rate{}, fmt.Errorf("%w: %v", ErrInvalidRate, perSecond)
	}
	// Adding zero makes zero of its negative.
	return Rate{perSecond: min(perSecond, mostPerSecond) + 0, named: true}, nil
}

// Bounded reports whether there is a bound at all.
func (r Rate) Bounded() bool { return r.named }

// PerSecond returns the bound in requests a second, or 0 when there is none.
func (r Rate) PerSecond() float64 { return r.perSecond }

// String returns the rate as in log lines.
func (r Rate) String() string {
	if !r.named {
		return "none"
	}
	return strconv.FormatFloat(r.perSecond, 'g', -1, 64) + "/s"
}

// Lower returns the lower one of two rates.
func Lower(a, b Rate) Rate {
	if !a.named || b.named && b.perSecond < a.perSecond {
		return b
	}
	return a
}
