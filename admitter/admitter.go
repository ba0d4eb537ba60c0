package admitter

// This file defines admission. A request passes the plan's rate and burst,
// then gets one of the entry's places or waits in its plan's bounded queue. A
// place that becomes free goes to the plan that the sharer puts first. What
// can't be answered before its deadline is refused early, or dropped from the
// head of its queue: the head has waited longest and is the first to be late.

import (
	"slices"
	"time"

	"golang.org/x/time/rate"

	pv "persimmonvalve"
	"persimmonvalve/sharer"
)

// Settings bound what an entry takes on.
type Settings struct {
	Places     int           // requests in progress at once
	QueueTotal int           // requests that wait, all plans
	QueuePlan  int           // requests of one plan that wait
	FirstGuess time.Duration // of a request's time in progress
}

// DefaultSettings returns the settings of a small entry host.
func DefaultSettings() Settings {
	return Settings{Places: 512, QueueTotal: 4096, QueuePlan: 512, FirstGuess: 20 * time.Millisecond}
}

// Ticket is one request on its way through admission.
type Ticket struct {
	Plan     string
	Deadline time.Time
	Decided  func(reason pv.Reason) // called once for a ticket that waited; empty is admitted

	since time.Time
}

// Decision is the answer to an offer.
type Decision struct {
	Admitted bool
	Waiting  bool
	Reason   pv.Reason // of a refusal
}

type plan struct {
	name      string
	class     pv.Class
	allowance pv.Allowance
	limiter   *rate.Limiter
	busy      int
	queue     []*Ticket
	took      time.Duration // smoothed time in progress
}

// Core is the state of admission. It isn't safe for concurrent use.
type Core struct {
	settings Settings
	places   int // in force
	entries  int // that share the plans' rates
	plans    map[string]*plan
	names    []string
	busy     int
	waiting  int
	version  pv.Offset
	config   *pv.Configuration
}

// New returns a core that knows no plans.
func New(settings Settings) *Core {
	return &Core{settings: settings, places: settings.Places, entries: 1, plans: map[string]*plan{}}
}

// Configure sets the plans and allowances, and how many entries share the
// rates. What is in progress or waits stays so.
func (c *Core) Configure(now time.Time, config *pv.Configuration, entries int) {
	entries = max(entries, 1)
	if c.config != nil && config.Version == c.version && entries == c.entries {
		return
	}
	c.config, c.version, c.entries = config, config.Version, entries
	for _, p := range config.Plans.Plans {
		allowance, _ := config.AllowanceOf(p.Name)
		c.setPlan(now, p, allowance)
	}
}

func (c *Core) setPlan(now time.Time, p pv.Plan, allowance pv.Allowance) {
	s, ok := c.plans[p.Name]
	if !ok {
		s = &plan{name: p.Name, took: c.settings.FirstGuess}
		c.plans[p.Name] = s
		c.names = append(c.names, p.Name)
		slices.Sort(c.names)
	}
	s.class = p.Class
	s.allowance = allowance
	limit := rate.Inf
	if allowance.RequestsPerSec > 0 {
		limit = rate.Limit(allowance.RequestsPerSec / float64(c.entries))
	}
	burst := max(1, int(allowance.Burst)/c.entries)
	if s.limiter == nil {
		s.limiter = rate.NewLimiter(limit, burst)
		return
	}
	s.limiter.SetLimitAt(now, limit)
	s.limiter.SetBurstAt(now, burst)
}

// SetPlaces sets how many requests may be in progress, within the settings'
// bound. Entries follow the slots that their endpoints have: what can't run yet
// waits here, where class, plan and deadline count, and not at an endpoint.
func (c *Core) SetPlaces(now time.Time, places int) {
	c.places = min(max(places, 1), c.settings.Places)
	c.fill(now)
}

// Offer decides about a request: admitted, waiting, or refused with a reason.
func (c *Core) Offer(now time.Time, t *Ticket) Decision {
	p, ok := c.plans[t.Plan]
	if !ok {
		return Decision{Reason: pv.ReasonNoPlan}
	}
	if !p.limiter.AllowN(now, 1) {
		return Decision{Reason: pv.ReasonRate}
	}
	if c.late(now, p, t) {
		return Decision{Reason: pv.ReasonDeadline}
	}
	if c.busy < c.places && c.waiting == 0 {
		c.enter(p)
		return Decision{Admitted: true}
	}
	if len(p.queue) >= c.settings.QueuePlan || c.waiting >= c.settings.QueueTotal {
		return Decision{Reason: pv.ReasonQueueFull}
	}
	if c.wouldBeLate(now, p, t) {
		return Decision{Reason: pv.ReasonDeadline}
	}
	t.since = now
	p.queue = append(p.queue, t)
	c.waiting++
	return Decision{Waiting: true}
}

// Spend takes one request off a plan's rate without a place, as for the
// submission of a task; the reason is empty if the rate allows it.
func (c *Core) Spend(now time.Time, name string) pv.Reason {
	p, ok := c.plans[name]
	switch {
	case !ok:
		return pv.ReasonNoPlan
	case !p.limiter.AllowN(now, 1):
		return pv.ReasonRate
	}
	return pv.NoReason
}

// late reports whether the request can't be answered in time even at once.
func (c *Core) late(now time.Time, p *plan, t *Ticket) bool {
	return now.Add(p.took).After(t.Deadline)
}

// wouldBeLate estimates the wait from the plan's queue, its share of the
// places, and how long its requests take.
func (c *Core) wouldBeLate(now time.Time, p *plan, t *Ticket) bool {
	places := max(p.busy, c.guarantee(p), 1)
	rounds := len(p.queue)/places + 1
	return now.Add(p.took * time.Duration(rounds+1)).After(t.Deadline)
}

// guarantee returns the places that a plan has for itself: its part of the
// rates of all plans.
func (c *Core) guarantee(p *plan) int {
	total := 0.0
	for _, name := range c.names {
		total += c.plans[name].allowance.RequestsPerSec
	}
	if total <= 0 {
		return 0
	}
	return int(float64(c.places) * p.allowance.RequestsPerSec / total)
}

func (c *Core) enter(p *plan) {
	c.busy++
	p.busy++
}

// smoothing is the weight of a new measurement in a plan's time in progress.
const smoothing = 0.1

// Done gives a place back after a request was in progress for some time, and
// admits what waits.
func (c *Core) Done(now time.Time, name string, took time.Duration) {
	p, ok := c.plans[name]
	if !ok || p.busy == 0 {
		return
	}
	p.busy--
	c.busy--
	p.took += time.Duration(smoothing * float64(took-p.took))
	c.fill(now)
}

// Expire drops what can't be answered in time any more.
func (c *Core) Expire(now time.Time) {
	for _, name := range c.names {
		c.dropLate(now, c.plans[name])
	}
	c.fill(now)
}

func (c *Core) dropLate(now time.Time, p *plan) {
	for len(p.queue) > 0 && c.late(now, p, p.queue[0]) {
		c.pop(p).Decided(pv.ReasonDeadline)
	}
}

func (c *Core) pop(p *plan) *Ticket {
	t := p.queue[0]
	p.queue = p.queue[1:]
	c.waiting--
	return t
}

// Withdraw takes a waiting ticket out, as when its caller has gone.
func (c *Core) Withdraw(t *Ticket) bool {
	p, ok := c.plans[t.Plan]
	if !ok {
		return false
	}
	i := slices.Index(p.queue, t)
	if i < 0 {
		return false
	}
	p.queue = slices.Delete(p.queue, i, i+1)
	c.waiting--
	return true
}

// fill gives free places to waiting plans in the sharer's order.
func (c *Core) fill(now time.Time) {
	for c.busy < c.places && c.waiting > 0 {
		p := c.first(now)
		if p == nil {
			return
		}
		t := c.pop(p)
		c.enter(p)
		t.Decided(pv.NoReason)
	}
}

func (c *Core) first(now time.Time) *plan {
	var demands []sharer.Demand
	for _, name := range c.names {
		p := c.plans[name]
		c.dropLate(now, p)
		if len(p.queue) == 0 {
			continue
		}
		demands = append(demands, sharer.Demand{
			Plan:      name,
			Class:     p.class,
			Allowance: pv.Allowance{Guaranteed: pv.Resources{Slots: int64(c.guarantee(p))}},
			Used:      pv.Resources{Slots: int64(p.busy)},
			Waiting:   len(p.queue),
		})
	}
	if len(demands) == 0 {
		return nil
	}
	order := sharer.Order(demands, pv.Resources{Slots: int64(c.places)})
	return c.plans[demands[order[0]].Plan]
}

// Load returns how many requests are in progress and how many wait.
func (c *Core) Load() (busy, waiting int) { return c.busy, c.waiting }
