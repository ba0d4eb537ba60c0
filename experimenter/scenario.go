package experimenter

// This file defines the sites, the scenarios and the published configuration.

import (
	"time"

	pv "persimmonvalve"
)

// site holds the settings in which the two sites differ.
type site struct {
	name        string
	weights     pv.Weights
	deadline    time.Duration // of a request
	clientDelay time.Duration // one way, between client and entry
}

var sites = []site{
	{name: "workshop", weights: pv.Weights{TailLatency: 1, Throughput: 3, Evictions: 3}, deadline: 800 * time.Millisecond, clientDelay: time.Millisecond},
	{name: "cooperative", weights: pv.Weights{TailLatency: 4, Throughput: 1, Evictions: 1}, deadline: 400 * time.Millisecond, clientDelay: 3 * time.Millisecond},
}

// scenario is a sequence of load changes and injected faults.
type scenario struct {
	name             string
	declarationError float64 // factor between declared and true sizes and run times; 1 if they are equal
	setUp            func(*simulation)
	actions          []action
}

// action is one change of the load, or one fault.
type action struct {
	offset time.Duration // from the end of the warm-up
	run    func(*simulation)
}

// The flood of requests has about twice the rate that the endpoints can serve.
const (
	floodRequestsPerSecond = 6000.0
	requestFloodDuration   = time.Minute
)

// Durations of every run.
const (
	warmUpDuration   = 5 * time.Minute
	measuredDuration = 20 * time.Minute
)

func scenarios() []scenario {
	return []scenario{
		{name: "steady", declarationError: 1},
		{name: "noisyWave", declarationError: 1, setUp: addInterferenceWaves},
		{name: "floodHeavy", declarationError: 1, actions: []action{{2 * time.Minute, func(sim *simulation) { sim.floodTasks(planHeavyFlood, 1500) }}}},
		{name: "floodUrgent", declarationError: 1, actions: []action{
			{2 * time.Minute, func(sim *simulation) { sim.floodTasks(planUrgentFlood, 4000) }},
			{2 * time.Minute, func(sim *simulation) { sim.floodRequests(floodRequestsPerSecond, sim.now.Add(requestFloodDuration)) }},
		}},
		{name: "declarations10x", declarationError: 10},
		{name: "badWorkers", declarationError: 1, actions: []action{{time.Minute, func(sim *simulation) { sim.setFailAll(3, true) }}}},
		{name: "rackLoss", declarationError: 1, actions: []action{
			{2 * time.Minute, func(sim *simulation) { sim.setRackDown(1, true) }},
			{12 * time.Minute, func(sim *simulation) { sim.setRackDown(1, false) }},
		}},
		{name: "logOutage", declarationError: 1, setUp: addInterferenceWaves, actions: []action{
			{2 * time.Minute, func(sim *simulation) { sim.logOutage = true }},
			{12 * time.Minute, func(sim *simulation) { sim.logOutage = false }},
		}},
		{name: "cancelWave", declarationError: 1, actions: []action{{2 * time.Minute, func(sim *simulation) { sim.cancelHalfOfHeavyTasks() }}}},
		{name: "slowLink", declarationError: 1, setUp: func(sim *simulation) { sim.remoteRacks = 2 }},
	}
}

// addInterferenceWaves makes the interference of the noisy kind four times as strong
// for two of every five minutes.
func addInterferenceWaves(sim *simulation) {
	sim.truth.noisyInterferenceFactor = func(now time.Time) float64 {
		if now.Sub(startTime)%(5*time.Minute) < 2*time.Minute {
			return 4
		}
		return 1
	}
}

// Names of the plans and of the service.
const (
	planService      = "service"
	planHeavy        = "museum"
	planNoisy        = "village"
	planStanding     = "watches"
	planUrgent       = "express"
	planHeavyFlood   = "flood"
	planUrgentFlood  = "expressFlood"
	planRequestFlood = "lookupFlood"
	serviceName      = "lookup"
)

// taskSize returns the resources of a task that takes one slot.
func taskSize(cores, memoryMB int64) pv.Resources {
	return pv.Resources{MilliCores: cores * 1000, MemoryMB: memoryMB, Slots: 1}
}

// multiple returns the resources of n equal parts.
func multiple(n int64, each pv.Resources) pv.Resources { return each.Scale(n, 1) }

// configuration returns a site's plans and allowances. The guarantees leave part of
// the fleet free.
func configuration(s site) *pv.Configuration {
	heavySize, serviceSize, standingSize, urgentSize := taskSize(4, 12000), taskSize(4, 8000), taskSize(1, 1000), taskSize(2, 2000)
	fleet := multiple(88, pv.Resources{MilliCores: 4000, MemoryMB: 15625, Slots: 1})
	newTaskPlan := func(name, kind string, class pv.Class, size pv.Resources, runTime time.Duration) pv.Plan {
		return pv.Plan{Name: name, Customer: s.name, TaskKind: kind, Class: class, Size: size, RunTime: runTime, RetryLimit: 3}
	}
	return &pv.Configuration{
		Plans: pv.Plans{Plans: []pv.Plan{
			newTaskPlan(planService, kindService, pv.ClassUrgent, serviceSize, 0),
			newTaskPlan(planHeavy, kindHeavy, pv.ClassHeavy, heavySize, 6*time.Minute),
			newTaskPlan(planNoisy, kindNoisy, pv.ClassHeavy, heavySize, 4*time.Minute),
			newTaskPlan(planStanding, kindStanding, pv.ClassStanding, standingSize, 0),
			newTaskPlan(planUrgent, kindUrgent, pv.ClassUrgent, urgentSize, 5*time.Second),
			newTaskPlan(planHeavyFlood, kindHeavy, pv.ClassStanding, heavySize, 6*time.Minute),
			newTaskPlan(planUrgentFlood, kindUrgent, pv.ClassUrgent, urgentSize, 20*time.Second),
			{Name: planRequestFlood, Customer: s.name, Service: serviceName, Class: pv.ClassUrgent, Idempotent: true, Deadline: s.deadline},
		}},
		Allowances: pv.Allowances{Weights: s.weights, Allowances: []pv.Allowance{
			{Plan: planService, Guaranteed: multiple(11, serviceSize), Ceiling: multiple(11, serviceSize), RequestsPerSecond: 4000, Burst: 4000},
			{Plan: planHeavy, Guaranteed: multiple(30, heavySize), Ceiling: fleet},
			{Plan: planNoisy, Guaranteed: multiple(10, heavySize), Ceiling: multiple(24, heavySize)},
			{Plan: planStanding, Guaranteed: multiple(6, standingSize), Ceiling: multiple(12, standingSize)},
			{Plan: planUrgent, Guaranteed: multiple(6, urgentSize), Ceiling: multiple(12, urgentSize)},
			{Plan: planHeavyFlood, Ceiling: fleet},
			{Plan: planUrgentFlood, Ceiling: fleet},
			{Plan: planRequestFlood, RequestsPerSecond: 10000, Burst: 10000},
		}},
	}
}
