package standin

import (
	"fmt"
	"sync"
	"time"
)

// Fault is one way in which a stand-in misbehaves.
type Fault string

// The faults. The Close faults cut the connection at the named point.
const (
	FaultNone         Fault = ""
	FaultSlow         Fault = "slow"
	FaultHang         Fault = "hang"
	FaultRefuse       Fault = "refuse"
	FaultFail         Fault = "fail"
	FaultLeaving      Fault = "leaving"
	FaultCloseHeaders Fault = "close_after_headers"
	FaultCloseBody    Fault = "close_mid_body"
	FaultCloseWork    Fault = "close_after_work"
	FaultCloseAnswer  Fault = "close_mid_answer"
	FaultOutage       Fault = "outage"
	FaultLoseAnswer   Fault = "lose_answer"
)

var knownFaults = []Fault{
	FaultNone, FaultSlow, FaultHang, FaultRefuse, FaultFail, FaultLeaving, FaultCloseHeaders, FaultCloseBody,
	FaultCloseWork, FaultCloseAnswer, FaultOutage, FaultLoseAnswer,
}

// FaultSpec sets a fault on a target from now on, for a time or for a number of
// calls; both 0 mean until the next order.
type FaultSpec struct {
	Target  string  `json:"target"`
	Fault   Fault   `json:"fault"`
	Factor  float64 `json:"factor"`
	Seconds float64 `json:"seconds"`
	Calls   int     `json:"calls"`
}

func (o FaultSpec) check() error {
	for _, f := range knownFaults {
		if o.Fault == f {
			return nil
		}
	}
	return fmt.Errorf("unknown fault %q, expected one of %v", o.Fault, knownFaults)
}

// faults is the switch of one stand-in.
type faults struct {
	mu    sync.Mutex
	order FaultSpec
	until time.Time
	calls int
}

func (f *faults) set(o FaultSpec) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.order = o
	f.calls = o.Calls
	f.until = time.Time{}
	if o.Seconds > 0 {
		f.until = time.Now().Add(time.Duration(o.Seconds * float64(time.Second)))
	}
}

// now returns the fault in force and counts one call against it.
func (f *faults) now() FaultSpec {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.order.Fault == FaultNone {
		return FaultSpec{}
	}
	if !f.until.IsZero() && time.Now().After(f.until) {
		f.order = FaultSpec{}
		return FaultSpec{}
	}
	o := f.order
	if o.Calls > 0 {
		f.calls--
		if f.calls <= 0 {
			f.order = FaultSpec{}
		}
	}
	return o
}
