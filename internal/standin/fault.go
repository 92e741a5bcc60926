package standin

import (
	"fmt"
	"sync"
	"time"
)

// Fault is a fault that a stand-in can inject.
type Fault string

// The faults. The FaultClose faults close the connection at the named point.
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

// FaultSpec sets a fault on a target for Seconds or for a number of Calls. If both
// are 0, the fault stays in force until the next FaultSpec for the target.
type FaultSpec struct {
	Target  string  `json:"target"`
	Fault   Fault   `json:"fault"`
	Factor  float64 `json:"factor"`
	Seconds float64 `json:"seconds"`
	Calls   int     `json:"calls"`
}

func (spec FaultSpec) validate() error {
	for _, f := range knownFaults {
		if spec.Fault == f {
			return nil
		}
	}
	return fmt.Errorf("unknown fault %q, expected one of %v", spec.Fault, knownFaults)
}

// faultSwitch holds the fault in force of one stand-in.
type faultSwitch struct {
	mu        sync.Mutex
	current   FaultSpec
	expires   time.Time
	callsLeft int
}

func (f *faultSwitch) set(spec FaultSpec) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current = spec
	f.callsLeft = spec.Calls
	f.expires = time.Time{}
	if spec.Seconds > 0 {
		f.expires = time.Now().Add(time.Duration(spec.Seconds * float64(time.Second)))
	}
}

// consume returns the fault in force for one call and counts the call against its limit.
func (f *faultSwitch) consume() FaultSpec {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current.Fault == FaultNone {
		return FaultSpec{}
	}
	if !f.expires.IsZero() && time.Now().After(f.expires) {
		f.current = FaultSpec{}
		return FaultSpec{}
	}
	spec := f.current
	if spec.Calls > 0 {
		f.callsLeft--
		if f.callsLeft <= 0 {
			f.current = FaultSpec{}
		}
	}
	return spec
}
