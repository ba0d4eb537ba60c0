package agent

// This file defines an agent's settings and dependencies.

import (
	"net"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	pv "persimmonvalve"
	"persimmonvalve/holder"
	"persimmonvalve/partitioner"
	"persimmonvalve/scheduler"
)

// Settings configures an agent.
type Settings struct {
	Member              pv.Member // this process as it announces itself
	Slots               int       // maximum concurrent requests at the endpoint
	MaxRequests         int       // maximum requests running or waiting for a slot
	Layout              partitioner.Layout
	Holder              holder.Settings
	Scheduler           scheduler.Settings
	TickInterval        time.Duration // between ticks of the event loop
	ConfigPollInterval  time.Duration // between reads of the configuration stream
	MemberPollInterval  time.Duration // between reads of the membership stream
	FleetPollInterval   time.Duration // between reads of the list of workers
	AnnounceInterval    time.Duration // must be well below the log's retention, so that new readers find every member
	CallTimeout         time.Duration // of each call to the platform except to workers (Scheduler.CallTimeout); an append and the read after it share one
	CandidatesPerStream int           // members that read a stream and may claim its term
	StopTimeout         time.Duration // timeout of a graceful stop
	Linger              time.Duration // wait after the last request, so that every entry reads the deregistration record
	UnknownDelay        time.Duration // time from a call's deadline until its open request is ended as unknown
}

// DefaultSettings returns the settings for a site of the target size.
func DefaultSettings() Settings {
	return Settings{
		Slots:               8,
		MaxRequests:         64,
		Holder:              holder.DefaultSettings(),
		Scheduler:           scheduler.DefaultSettings(),
		TickInterval:        50 * time.Millisecond,
		ConfigPollInterval:  10 * time.Second,
		MemberPollInterval:  2 * time.Second,
		FleetPollInterval:   time.Minute,
		AnnounceInterval:    5 * time.Minute,
		CallTimeout:         3 * time.Second,
		CandidatesPerStream: 4,
		StopTimeout:         30 * time.Second,
		Linger:              time.Second,
		UnknownDelay:        5 * time.Second,
	}
}

// Platform groups the platform interfaces that an agent uses.
type Platform struct {
	Log      pv.Log
	Fleet    pv.Fleet
	Workers  pv.Workers
	Endpoint pv.Endpoint
}

// Dependencies groups what New needs besides settings.
type Dependencies struct {
	Platform Platform
	Listener net.Listener // accepts sessions from entries
	Logger   *zap.Logger
	Registry prometheus.Registerer
}
