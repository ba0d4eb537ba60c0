package planner

// This file defines the planner's settings.

import "time"

// Settings are the planner's time limits and the bound of the workers' clock drift. New
// applies no defaults: start from DefaultSettings.
type Settings struct {
	LeaseDuration       time.Duration // how long a worker may go on without a lease renewal from a leader
	MaxClockDrift       float64       // largest fraction by which a worker's clock runs slow
	MaxLease            time.Duration // longest lease that a worker accepts, whoever sends it
	LapseMargin         time.Duration // added to the computed time at which a lease has lapsed
	MaxReportAge        time.Duration // age of a worker's last poll result at which it no longer gets new runs
	EndedRetention      time.Duration // how long ended jobs and disconnected workers are kept
	DeregistrationGrace time.Duration // from a worker's deregistration until its runs count as ended
	MinPlaceInterval    time.Duration // between two placement passes
	MaxPlaceInterval    time.Duration // between two placement passes without a change of state
	QuarantineDuration  time.Duration // how long a quarantined worker gets no new runs
	StopTime            time.Duration // longest time that a worker takes to stop a run
	RestoreTime         time.Duration // that a task takes to resume from a checkpoint
}

// leaderLease is how long a leader that can't reach the store goes on renewing
// workers' leases. Together with LeaseDuration it bridges a store outage of 9 s.
const leaderLease = 3 * time.Second

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		LeaseDuration:       6 * time.Second, // a killed supervisor restarts within it; tasks of a lost machine restart within 7 s
		MaxClockDrift:       0.02,            // bound given by the platform
		MaxLease:            10 * time.Second,
		LapseMargin:         300 * time.Millisecond,
		MaxReportAge:        2 * time.Second, // four polls of at most 500 ms
		EndedRetention:      135 * time.Second,
		DeregistrationGrace: 500 * time.Millisecond,
		MinPlaceInterval:    8 * time.Millisecond, // a tenth of the time to a job's first start; groups ends that arrive together
		MaxPlaceInterval:    100 * time.Millisecond,
		QuarantineDuration:  3 * time.Second,
		StopTime:            400 * time.Millisecond,
		RestoreTime:         100 * time.Millisecond,
	}
}

// OrphanTimeout returns how long after the last append of the former leader a new one waits
// before it ends the runs of a worker that it could not poll. The former leader may have
// renewed the lease until its leader lease ended, and it sends starts to an incarnation that
// may still hold a lease of another one (incarnationLease) since before that append.
func (s Settings) OrphanTimeout() time.Duration {
	return max(leaderLease+s.maxRealLease(), s.maxRealTime(s.MaxLease)) + s.LapseMargin
}

// LeaderLease returns how long a leader that can't reach the store goes on renewing leases.
func (Settings) LeaderLease() time.Duration { return leaderLease }

// maxRealLease returns the longest real time in which a worker's clock advances by
// LeaseDuration.
func (s Settings) maxRealLease() time.Duration { return s.maxRealTime(s.LeaseDuration) }

// maxRealTime returns the longest real time in which a worker's clock advances by d.
func (s Settings) maxRealTime(d time.Duration) time.Duration {
	return time.Duration(float64(d) / (1 - s.MaxClockDrift))
}
