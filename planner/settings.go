package planner

// This file defines the planner's settings.

import "time"

// Settings are the planner's bounds. New fills in nothing: use DefaultSettings.
type Settings struct {
	Grant      time.Duration // what a worker may run on without word from a leader
	ClockDrift float64       // share by which a worker's clock may be slow
	LapseSlack time.Duration // added to the proof that a lease has lapsed
	OrphanWait time.Duration // a new leader's wait for workers that it never reached
	FreshFor   time.Duration // age of a worker's report at which it gets no new runs
	KeepEnded  time.Duration // how long ended jobs are remembered
	DepartWait time.Duration // from a worker's goodbye to the end of all that it ran
	PlaceGap   time.Duration // least time between passes over waiting tasks
	PlaceEvery time.Duration // between passes over waiting tasks without other cause
	Quarantine time.Duration // a worker that fails what it starts gets nothing for so long
}

// leaderAuthority is how long a leader that can't reach the store goes on
// extending leases. With the lease itself it bridges an outage of 9 s; a
// successor waits as long for a worker that it never reached.
const leaderAuthority = 3 * time.Second

// DefaultSettings returns the settings for a site with the given bounds.
func DefaultSettings() Settings {
	s := Settings{
		Grant:      6 * time.Second, // a killed agent is back within it, a lost machine's tasks restart within 7 s
		ClockDrift: 0.02,            // the platform's bound
		LapseSlack: 300 * time.Millisecond,
		FreshFor:   2 * time.Second, // four reports
		KeepEnded:  135 * time.Second,
		DepartWait: 500 * time.Millisecond,
		PlaceGap:   8 * time.Millisecond, // a tenth of the time to the first start; ends come in crowds
		PlaceEvery: 100 * time.Millisecond,
		Quarantine: 3 * time.Second,
	}
	s.OrphanWait = leaderAuthority + s.lease() + s.LapseSlack
	return s
}

// Authority returns how long a leader without the store extends leases.
func (Settings) Authority() time.Duration { return leaderAuthority }

// lease is the longest real time in which a worker's clock runs through Grant.
func (s Settings) lease() time.Duration { return s.stretch(s.Grant) }

// stretch is the longest real time in which a worker's clock runs through d.
func (s Settings) stretch(d time.Duration) time.Duration {
	return time.Duration(float64(d) / (1 - s.ClockDrift))
}
