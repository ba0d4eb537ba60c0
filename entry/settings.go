package entry

// This file defines an entry's settings and what it is built from.

import (
	"math/rand/v2"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	pv "persimmonvalve"
	"persimmonvalve/admitter"
	"persimmonvalve/messenger"
	"persimmonvalve/partitioner"
	"persimmonvalve/retrier"
	"persimmonvalve/router"
)

// Settings are an entry's settings.
type Settings struct {
	Member        pv.Member
	Layout        partitioner.Layout
	Admission     admitter.Settings
	Routing       router.Settings
	Retries       retrier.Settings
	Tick          time.Duration // of the control goroutine
	ConfigPoll    time.Duration
	MemberPoll    time.Duration
	FleetPoll     time.Duration
	StatusEvery   time.Duration // between status calls to an endpoint's agent
	HolderEvery   time.Duration // between status calls to an agent that only holds streams
	AccountsEvery time.Duration // between records of the account
	Announce      time.Duration // between announcements
	Checkpoint    time.Duration // between configuration checkpoints of all entries
	CallTimeout   time.Duration // of calls to the platform and to holders
	PendingAfter  time.Duration // a submission that no cell has accepted by then is driven again
}

// DefaultSettings returns the settings of a small entry host.
func DefaultSettings() Settings {
	return Settings{
		Admission:     admitter.DefaultSettings(),
		Routing:       router.DefaultSettings(),
		Retries:       retrier.DefaultSettings(),
		Tick:          10 * time.Millisecond,
		ConfigPoll:    time.Second,
		MemberPoll:    time.Second,
		FleetPoll:     time.Minute,
		StatusEvery:   time.Second,
		HolderEvery:   3 * time.Second,
		AccountsEvery: 5 * time.Second,
		Announce:      5 * time.Minute,
		Checkpoint:    5 * time.Minute,
		CallTimeout:   3 * time.Second,
		PendingAfter:  2 * time.Second,
	}
}

// Dependencies is what an entry is built from.
type Dependencies struct {
	Log      pv.Log
	Fleet    pv.Fleet
	Client   *messenger.Client
	Logger   *zap.Logger
	Registry prometheus.Registerer
	Random   *rand.Rand
}
