package retrier

import (
	"math/rand/v2"
	"time"

	pv "persimmonvalve"
)

// Settings are the limits of retries.
type Settings struct {
	BudgetPerRequest float64       // added to the budget by each first attempt
	MaxBudget        float64       // upper limit of the budget, in retries
	InitialBackoff   time.Duration // mean backoff before the first retry
	MaxBackoff       time.Duration // upper limit of the mean backoff
}

// DefaultSettings returns the settings of an entry.
func DefaultSettings() Settings {
	return Settings{BudgetPerRequest: 0.1, MaxBudget: 50, InitialBackoff: 5 * time.Millisecond, MaxBackoff: 250 * time.Millisecond}
}

// Failure describes how an attempt failed.
type Failure struct {
	Reason pv.Reason
	NotRun bool // the request provably didn't run
}

// Core holds the retry budget. It isn't safe for concurrent use.
type Core struct {
	settings Settings
	rng      *rand.Rand
	budget   float64 // in retries
}

// New returns a core with a full budget.
func New(settings Settings, rng *rand.Rand) *Core {
	return &Core{settings: settings, rng: rng, budget: settings.MaxBudget}
}

// RecordFirstAttempt records a first attempt, which adds to the budget.
func (c *Core) RecordFirstAttempt() {
	c.budget = min(c.budget+c.settings.BudgetPerRequest, c.settings.MaxBudget)
}

// Request describes a request for which a retry is considered.
type Request struct {
	Attempts   int // attempts made so far
	RetryLimit int // maximum number of retries
	Idempotent bool
	Deadline   time.Time
}

// NextBackoff returns the backoff before the next attempt, or the reason why there is
// none.
func (c *Core) NextBackoff(now time.Time, r Request, f Failure) (time.Duration, pv.Reason) {
	switch {
	case !f.NotRun && !r.Idempotent:
		return 0, f.Reason
	case r.Attempts > r.RetryLimit:
		return 0, pv.ReasonAttemptsExhausted
	case c.budget < 1:
		return 0, pv.ReasonRetryBudget
	}
	backoff := c.backoff(r.Attempts)
	if now.Add(backoff).After(r.Deadline) {
		return 0, pv.ReasonDeadlineTooClose
	}
	c.budget--
	return backoff, pv.NoReason
}

// Hedge reports whether a hedged second attempt may run beside the first. It
// takes one retry from the budget and needs at least half of the maximum budget,
// so that about half of the budget is left to retries.
func (c *Core) Hedge(r Request) bool {
	if !r.Idempotent || c.budget < c.settings.MaxBudget/2 {
		return false
	}
	c.budget--
	return true
}

// backoff returns a duration drawn uniformly from zero to twice the mean, so that
// requests that failed together aren't retried together. The mean doubles with
// each attempt up to MaxBackoff.
func (c *Core) backoff(attempts int) time.Duration {
	mean := c.settings.InitialBackoff
	for i := 1; i < attempts && mean < c.settings.MaxBackoff; i++ {
		mean *= 2
	}
	mean = min(mean, c.settings.MaxBackoff)
	return time.Duration(c.rng.Int64N(int64(2*mean) + 1))
}
