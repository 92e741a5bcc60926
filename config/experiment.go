package config

// Values of an experiment's split_by.
const (
	SplitByRequest = "request"
	SplitByAccount = "account"
)

// Experiment splits a pipeline's traffic between arms.
type Experiment struct{ f fileExperiment }

// Name returns the experiment's name.
func (e *Experiment) Name() string { return e.f.Name }

// ByAccount reports whether all requests of an account get the same arm. If not,
// requests are split one by one.
func (e *Experiment) ByAccount() bool { return e.f.SplitBy == SplitByAccount }

// Arms returns the arms in the file's order.
func (e *Experiment) Arms() []Arm {
	arms := make([]Arm, len(e.f.Arms))
	for i, a := range e.f.Arms {
		arms[i] = Arm{f: a}
	}
	return arms
}

// Arm returns the arm for a request hash, chosen in proportion to the arms'
// shares. Equal hashes get the same arm.
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

// Share returns the arm's weight in the split of the traffic.
func (a Arm) Share() int { return a.f.Share }

// Place returns the name of the arm's place policy; "" means the pool's policy.
func (a Arm) Place() string { return a.f.Place }
