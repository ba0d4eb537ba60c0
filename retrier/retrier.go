package retrier

import (
	"math/rand/v2"
	"time"

	pv "persimmonvalve"
)

// Settings bound retries.
type Settings struct {
	Ratio     float64       // retries earned by each first try
	Reserve   float64       // retries that may be saved up
	FirstWait time.Duration // mean backoff of the first retry
	LastWait  time.Duration // longest mean backoff
}

// DefaultSettings returns the settings of an entry.
func DefaultSettings() Settings {
	return Settings{Ratio: 0.1, Reserve: 50, FirstWait: 5 * time.Millisecond, LastWait: 250 * time.Millisecond}
}

// Failure is how a try ended.
type Failure struct {
	Reason pv.Reason
	NotRun bool // it provably didn't run
}

// Core holds the retry budget. It isn't safe for concurrent use.
type Core struct {
	settings Settings
	random   *rand.Rand
	budget   float64
}

// New returns a core with a full budget.
func New(settings Settings, random *rand.Rand) *Core {
	return &Core{settings: settings, random: random, budget: settings.Reserve}
}

// First notes a first try, which earns a part of a retry.
func (c *Core) First() {
	c.budget = min(c.budget+c.settings.Ratio, c.settings.Reserve)
}

// Request is what the decision about a retry needs to know.
type Request struct {
	Tries      int // made so far
	Limit      int // retries allowed
	Idempotent bool
	Deadline   time.Time
}

// Next returns how long to wait before the next try, or why there is none.
func (c *Core) Next(now time.Time, r Request, f Failure) (time.Duration, pv.Reason) {
	switch {
	case !f.NotRun && !r.Idempotent:
		return 0, f.Reason
	case r.Tries > r.Limit:
		return 0, pv.ReasonAttempts
	case c.budget < 1:
		return 0, pv.ReasonBudget
	}
	wait := c.backoff(r.Tries)
	if now.Add(wait).After(r.Deadline) {
		return 0, pv.ReasonDeadline
	}
	c.budget--
	return wait, pv.NoReason
}

// Hedge reports whether a second try may run beside the first: it costs a
// retry of the budget.
func (c *Core) Hedge(r Request) bool {
	if !r.Idempotent || c.budget < c.settings.Reserve/2 {
		return false
	}
	c.budget--
	return true
}

// backoff returns a wait drawn evenly from zero to twice the mean, so that
// requests that failed together don't come back together.
func (c *Core) backoff(tries int) time.Duration {
	mean := c.settings.FirstWait
	for i := 1; i < tries && mean < c.settings.LastWait; i++ {
		mean *= 2
	}
	mean = min(mean, c.settings.LastWait)
	return time.Duration(c.random.Int64N(int64(2*mean) + 1))
}
