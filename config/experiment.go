package config

// Values of an experiment's split_by.
const (
	SplitByRequest = "request"
	SplitByAccount = "account"
)

// Experiment splits a pipeline's traffic over arms.
type Experiment struct{ f fileExperiment }

// Name returns the experiment's name.
func (e *Experiment) Name() string { return e.f.Name }

// ByAccount reports whether whole accounts are split, not single requests.
func (e *Experiment) ByAccount() bool { return e.f.SplitBy == SplitByAccount }

// Arms returns the arms in the file's order.
func (e *Experiment) Arms() []Arm {
	arms := make([]Arm, len(e.f.Arms))
	for i, a := range e.f.Arms {
		arms[i] = Arm{f: a}
	}
	return arms
}

// Arm returns the arm of a request by its stable hash.
func (e *Experiment) Arm(hash uint64) Arm {
	total := 0
	for _, a := range e.f.Arms {
		total += a.Share
	}
	point := int(hash % uint64(max(total, 1)))
	for _, a := range e.f.Arms {
		if point < a.Share {
			return Arm{f: a}
		}
		point -= a.Share
	}
	return Arm{f: e.f.Arms[len(e.f.Arms)-1]}
}

// Arm is one arm of an experiment.
type Arm struct{ f fileArm }

// Name returns the arm's name.
func (a Arm) Name() string { return a.f.Name }

// Share returns the arm's part of the traffic, relative to the other arms.
func (a Arm) Share() int { return a.f.Share }

// Place names the arm's place policy; "" means the pool's own.
func (a Arm) Place() string { return a.f.Place }
