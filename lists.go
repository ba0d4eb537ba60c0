package persimmonvalve

// This file defines the two lists that operators publish: the customers'
// plans, and what each plan may use on the shared hosts.

import "time"

// Plan is one kind of work that a customer may ask for.
type Plan struct {
	Name         string
	Customer     string
	Service      string // endpoint kind; empty for tasks
	TaskKind     string // task kind; empty for requests
	Class        Class
	Idempotent   bool
	Size         Resources // declared size of one task
	RunTime      time.Duration
	Deadline     time.Duration
	RetryLimit   int
	MaxBodyBytes int64
}

// Allowance is what one plan may use on the shared hosts.
type Allowance struct {
	Plan           string
	Guaranteed     Resources
	Ceiling        Resources
	RequestsPerSec float64
	Burst          int64
	LinkBytesPerS  int64 // across regions
}

// Weights is what the site weighs most; the components are relative.
type Weights struct {
	TailLatency float64
	Throughput  float64
	Evictions   float64
}

// Plans is the list of the customers' plans.
type Plans struct {
	Plans []Plan
}

// Allowances is the list of what each plan may use, and the site's weights.
type Allowances struct {
	Site       Weights
	Fleet      Resources // the whole fleet's capacity, an upper bound of the guarantees
	Allowances []Allowance
}

// ListKind names one of the two lists.
type ListKind string

// The two lists.
const (
	PlansList      ListKind = "plans"
	AllowancesList ListKind = "allowances"
)

// Configuration is both lists at one version of the configuration stream.
type Configuration struct {
	Version    Offset // offset of the last valid change
	Plans      Plans
	Allowances Allowances
}

// PlanByName returns the plan with that name.
func (c *Configuration) PlanByName(name string) (Plan, bool) {
	if c == nil {
		return Plan{}, false
	}
	for _, p := range c.Plans.Plans {
		if p.Name == name {
			return p, true
		}
	}
	return Plan{}, false
}

// AllowanceOf returns the allowance of the plan with that name.
func (c *Configuration) AllowanceOf(plan string) (Allowance, bool) {
	if c == nil {
		return Allowance{}, false
	}
	for _, a := range c.Allowances.Allowances {
		if a.Plan == plan {
			return a, true
		}
	}
	return Allowance{}, false
}
