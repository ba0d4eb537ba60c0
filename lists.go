package persimmonvalve

// This file defines the two lists that operators publish: the plans of the
// customers, and the allowance of each plan on the shared hosts.

import "time"

// Plan is one kind of work that a customer may submit.
type Plan struct {
	Name         string
	Customer     string
	Service      string // service whose endpoints answer the requests; empty for tasks
	TaskKind     string // kind of the tasks; empty for requests
	Class        Class
	Idempotent   bool          // the work may be run more than once
	Size         Resources     // declared size of one task
	RunTime      time.Duration // declared run time
	Deadline     time.Duration // from submission
	RetryLimit   int
	MaxBodyBytes int64
}

// Allowance is the limit on what one plan may use on the shared hosts.
type Allowance struct {
	Plan               string
	Guaranteed         Resources // amount that the plan gets whenever it needs it
	Ceiling            Resources // maximum that the plan may use at a time
	RequestsPerSecond  float64
	Burst              int64 // requests that may arrive at once
	LinkBytesPerSecond int64 // bytes per second between regions
}

// Weights are the relative weights of the site's objectives in placement decisions;
// each is at least 0.
type Weights struct {
	TailLatency float64
	Throughput  float64
	Evictions   float64
}

// Plans is the list of the customers' plans.
type Plans struct {
	Plans []Plan
}

// Allowances is the list of the plans' allowances, with the settings of the site.
type Allowances struct {
	Weights       Weights
	FleetCapacity Resources // capacity of the whole fleet; the sum of the guaranteed amounts may not exceed it
	Allowances    []Allowance
}

// ListKind is the kind of a list: plans or allowances.
type ListKind string

// The kinds of lists.
const (
	PlansList      ListKind = "plans"
	AllowancesList ListKind = "allowances"
)

// Configuration is the contents of both lists at one version of the configuration
// stream.
type Configuration struct {
	Version    Offset // offset of the last valid change
	Plans      Plans
	Allowances Allowances
}

// PlanByName returns the plan with the given name; it reports false if there is none.
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

// AllowanceOf returns the allowance of the plan with the given name; it reports false
// if there is none.
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
