package entry

// This file defines the settings and the dependencies of an entry.

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

// Settings configures an entry.
type Settings struct {
	Member               pv.Member
	Layout               partitioner.Layout
	Admitter             admitter.Settings
	Router               router.Settings
	Retrier              retrier.Settings
	TickInterval         time.Duration // between ticks of the event loop
	ConfigPollInterval   time.Duration // between reads of the configuration stream
	MemberPollInterval   time.Duration // between reads of the membership stream
	FleetPollInterval    time.Duration // between reads of the list of workers
	StatusInterval       time.Duration // between status calls to an endpoint's agent
	HolderStatusInterval time.Duration // between status calls to an agent that only holds streams
	AccountInterval      time.Duration // between records in the accounts stream
	AnnounceInterval     time.Duration // between membership announcements
	CheckpointInterval   time.Duration // longest time between configuration checkpoints; the shortest is half of it
	CallTimeout          time.Duration // of calls to the platform and of configuration exchanges
	TransferRetryAge     time.Duration // age of a submission from which its transfer is retried if no cell has accepted it
}

// DefaultSettings returns settings for an entry on a small host.
func DefaultSettings() Settings {
	return Settings{
		Admitter:             admitter.DefaultSettings(),
		Router:               router.DefaultSettings(),
		Retrier:              retrier.DefaultSettings(),
		TickInterval:         10 * time.Millisecond,
		ConfigPollInterval:   time.Second,
		MemberPollInterval:   time.Second,
		FleetPollInterval:    time.Minute,
		StatusInterval:       time.Second,
		HolderStatusInterval: 3 * time.Second,
		AccountInterval:      5 * time.Second,
		AnnounceInterval:     5 * time.Minute,
		CheckpointInterval:   5 * time.Minute,
		CallTimeout:          3 * time.Second,
		TransferRetryAge:     2 * time.Second,
	}
}

// Dependencies are the services and objects that an entry uses.
type Dependencies struct {
	Log      pv.Log
	Fleet    pv.Fleet
	Client   *messenger.Client
	Logger   *zap.Logger
	Registry prometheus.Registerer
	Random   *rand.Rand
}
