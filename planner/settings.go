package planner

// This file defines the planner's settings.

import "time"

// Settings are the planner's bounds. New fills in nothing: use DefaultSettings.
type Settings struct {
	LeaseDuration       time.Duration // how long a worker may run on without a lease renewal from a leader
	ClockDrift          float64       // share by which a worker's clock may be slow
	LapseMargin         time.Duration // added to the proof that a lease has lapsed
	OrphanWait          time.Duration // a new leader's wait for workers that it never reached
	ReportTimeout       time.Duration // age of a worker's report at which it gets no new runs
	EndedRetention      time.Duration // how long ended jobs are remembered
	DeregistrationGrace time.Duration // from a worker's deregistration to the end of all its runs
	MinPlaceInterval    time.Duration // least time between passes over waiting tasks
	MaxPlaceInterval    time.Duration // between passes over waiting tasks without other cause
	QuarantineDuration  time.Duration // a worker that fails what it starts gets nothing for so long
}

// leaderAuthority is how long a leader that can't reach the store goes on
// extending leases. With the lease itself it bridges an outage of 9 s; a
// successor waits as long for a worker that it never reached.
const leaderAuthority = 3 * time.Second

// DefaultSettings returns the settings for a site with the given bounds.
func DefaultSettings() Settings {
	s := Settings{
		LeaseDuration:       6 * time.Second, // a killed agent is back within it, a lost machine's tasks restart within 7 s
		ClockDrift:          0.02,            // the platform's bound
		LapseMargin:         300 * time.Millisecond,
		ReportTimeout:       2 * time.Second, // four reports
		EndedRetention:      135 * time.Second,
		DeregistrationGrace: 500 * time.Millisecond,
		MinPlaceInterval:    8 * time.Millisecond, // a tenth of the time to the first start; ends come in crowds
		MaxPlaceInterval:    100 * time.Millisecond,
		QuarantineDuration:  3 * time.Second,
	}
	s.OrphanWait = leaderAuthority + s.lease() + s.LapseMargin
	return s
}

// LeaderLease returns how long a leader that can't reach the store renews leases.
func (Settings) LeaderLease() time.Duration { return leaderAuthority }

// lease is the longest real time in which a worker's clock runs through LeaseDuration.
func (s Settings) lease() time.Duration { return s.stretch(s.LeaseDuration) }

// stretch is the longest real time in which a worker's clock runs through d.
func (s Settings) stretch(d time.Duration) time.Duration {
	return time.Duration(float64(d) / (1 - s.ClockDrift))
}
