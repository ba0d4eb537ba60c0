package agent

// This file defines an agent's settings and what it is built from.

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

// Settings are an agent's settings.
type Settings struct {
	Member       pv.Member // name, role, address, place, service, incarnation
	Slots        int       // requests that the endpoint runs at once
	Connections  int       // requests in progress or waiting for a slot
	Layout       partitioner.Layout
	Holder       holder.Settings
	Scheduler    scheduler.Settings
	Tick         time.Duration // of the control goroutine
	ConfigPoll   time.Duration
	MemberPoll   time.Duration
	FleetPoll    time.Duration
	Announce     time.Duration // between announcements, well below the log's retention
	CallTimeout  time.Duration // of calls to the platform
	Candidates   int           // members that watch a stream
	StopTimeout  time.Duration // of a graceful stop
	Linger       time.Duration // after the last request, so that every entry learns of the leave
	UnknownAfter time.Duration // after a call's deadline, an open request counts as unknown
}

// DefaultSettings returns the settings for a site of the target size.
func DefaultSettings() Settings {
	return Settings{
		Slots:        8,
		Connections:  64,
		Holder:       holder.DefaultSettings(),
		Scheduler:    scheduler.DefaultSettings(),
		Tick:         50 * time.Millisecond,
		ConfigPoll:   10 * time.Second,
		MemberPoll:   2 * time.Second,
		FleetPoll:    time.Minute,
		Announce:     5 * time.Minute,
		CallTimeout:  3 * time.Second,
		Candidates:   4,
		StopTimeout:  30 * time.Second,
		Linger:       time.Second,
		UnknownAfter: 5 * time.Second,
	}
}

// Platform is what an agent uses of the platform.
type Platform struct {
	Log      pv.Log
	Fleet    pv.Fleet
	Workers  pv.Workers
	Endpoint pv.Endpoint
}

// Dependencies is what an agent is built from.
type Dependencies struct {
	Platform Platform
	Listener net.Listener // for the frames of entries
	Logger   *zap.Logger
	Registry prometheus.Registerer
}
