package admitter

// This file defines admission. A request must pass its plan's rate limit. It is
// then admitted if the entry is below its concurrency limit and no request is
// queued, or else waits in its plan's bounded queue. When a request ends, the
// next one is taken from the plan that package sharer orders first. A request
// that can't be answered before its deadline is refused on arrival or dropped
// from the head of its queue. Only the head is checked, because it has waited
// longest and normally expires first; a later request with an earlier deadline is
// dropped when it reaches the head.

import (
	"slices"
	"time"

	"golang.org/x/time/rate"

	pv "persimmonvalve"
	"persimmonvalve/sharer"
)

// Settings are the limits of one entry.
type Settings struct {
	MaxConcurrencyLimit int           // maximum of the concurrency limit, which is the number of requests in progress at once
	MaxQueued           int           // queued requests of all plans together
	MaxQueuedPerPlan    int           // queued requests of one plan
	InitialServiceTime  time.Duration // estimate of a plan's service time before its first measurement
}

// DefaultSettings returns the settings of a small entry host.
func DefaultSettings() Settings {
	return Settings{MaxConcurrencyLimit: 512, MaxQueued: 4096, MaxQueuedPerPlan: 512, InitialServiceTime: 20 * time.Millisecond}
}

// Ticket is one request that asks for admission.
type Ticket struct {
	Plan       string
	Deadline   time.Time
	OnDecision func(reason pv.Reason) // called once for a queued ticket unless it is withdrawn; NoReason means admitted

	queuedAt time.Time
}

// Decision is the result of Offer. Exactly one of the fields is set.
type Decision struct {
	Admitted bool
	Queued   bool
	Reason   pv.Reason // set if the request is refused
}

type plan struct {
	name        string
	class       pv.Class
	allowance   pv.Allowance
	limiter     *rate.Limiter
	inProgress  int
	queue       []*Ticket
	serviceTime time.Duration // time in progress, exponentially smoothed
	removed     bool          // no longer configured; kept until its requests have ended
}

// Core holds the state of admission. It isn't safe for concurrent use.
type Core struct {
	settings         Settings
	concurrencyLimit int // at most the limit in settings
	entries          int // number of entries that share the plans' rates
	plans            map[string]*plan
	planNames        []string
	inProgress       int
	queued           int
	version          pv.Offset
	config           *pv.Configuration
}

// New returns a core without plans.
func New(settings Settings) *Core {
	return &Core{settings: settings, concurrencyLimit: settings.MaxConcurrencyLimit, entries: 1, plans: map[string]*plan{}}
}

// Configure adds or updates plans with their allowances, and sets how many
// entries share the rates. It does nothing if the version and the number of
// entries are unchanged. A plan that is no longer configured admits no new requests and
// has no guaranteed concurrency. Requests in progress and in the queues are not affected.
func (c *Core) Configure(now time.Time, config *pv.Configuration, entries int) {
	entries = max(entries, 1)
	if c.config != nil && config.Version == c.version && entries == c.entries {
		return
	}
	c.config, c.version, c.entries = config, config.Version, entries
	for _, p := range c.plans {
		p.removed = true
	}
	for _, p := range config.Plans.Plans {
		allowance, _ := config.AllowanceOf(p.Name)
		c.setPlan(now, p, allowance)
	}
	for _, p := range c.plans {
		if p.removed {
			p.allowance = pv.Allowance{}
			c.forgetIfIdle(p)
		}
	}
}

// forgetIfIdle deletes a removed plan without requests.
func (c *Core) forgetIfIdle(p *plan) {
	if p.removed && p.inProgress == 0 && len(p.queue) == 0 {
		delete(c.plans, p.name)
		c.planNames = slices.DeleteFunc(c.planNames, func(name string) bool { return name == p.name })
	}
}

func (c *Core) setPlan(now time.Time, p pv.Plan, allowance pv.Allowance) {
	s, ok := c.plans[p.Name]
	if !ok {
		s = &plan{name: p.Name, serviceTime: c.settings.InitialServiceTime}
		c.plans[p.Name] = s
		c.planNames = append(c.planNames, p.Name)
		slices.Sort(c.planNames)
	}
	s.removed = false
	s.class = p.Class
	s.allowance = allowance
	limit := rate.Inf
	if allowance.RequestsPerSecond > 0 {
		limit = rate.Limit(allowance.RequestsPerSecond / float64(c.entries))
	}
	burst := max(1, int(allowance.Burst)/c.entries)
	if s.limiter == nil {
		s.limiter = rate.NewLimiter(limit, burst)
		return
	}
	s.limiter.SetLimitAt(now, limit)
	s.limiter.SetBurstAt(now, burst)
}

// SetConcurrencyLimit sets the concurrency limit, between 1 and the limit in
// Settings. Entries derive it from the slots of their endpoints, so that requests
// wait in the entry's queues, which take class, plan and deadline into account,
// rather than at an endpoint.
func (c *Core) SetConcurrencyLimit(now time.Time, limit int) {
	c.concurrencyLimit = min(max(limit, 1), c.settings.MaxConcurrencyLimit)
	c.admitQueued(now)
}

// Offer admits, queues or refuses a request.
func (c *Core) Offer(now time.Time, t *Ticket) Decision {
	p, ok := c.plans[t.Plan]
	if !ok || p.removed {
		return Decision{Reason: pv.ReasonUnknownPlan}
	}
	if !p.limiter.AllowN(now, 1) {
		return Decision{Reason: pv.ReasonRateExceeded}
	}
	if c.missesDeadlineIfAdmitted(now, p, t) {
		return Decision{Reason: pv.ReasonDeadlineTooClose}
	}
	if c.inProgress < c.concurrencyLimit && c.queued == 0 {
		c.admit(p)
		return Decision{Admitted: true}
	}
	if len(p.queue) >= c.settings.MaxQueuedPerPlan || c.queued >= c.settings.MaxQueued {
		return Decision{Reason: pv.ReasonQueueFull}
	}
	if c.missesDeadlineIfQueued(now, p, t) {
		return Decision{Reason: pv.ReasonDeadlineTooClose}
	}
	t.queuedAt = now
	p.queue = append(p.queue, t)
	c.queued++
	return Decision{Queued: true}
}

// ConsumeRate counts one request against a plan's rate limit but not against the
// concurrency limit, as for the submission of a task. It returns NoReason if
// the rate limit permits the request.
func (c *Core) ConsumeRate(now time.Time, name string) pv.Reason {
	p, ok := c.plans[name]
	switch {
	case !ok || p.removed:
		return pv.ReasonUnknownPlan
	case !p.limiter.AllowN(now, 1):
		return pv.ReasonRateExceeded
	}
	return pv.NoReason
}

// missesDeadlineIfAdmitted reports whether the request would miss its deadline
// even if it were admitted now.
func (c *Core) missesDeadlineIfAdmitted(now time.Time, p *plan, t *Ticket) bool {
	return now.Add(p.serviceTime).After(t.Deadline)
}

// missesDeadlineIfQueued reports whether the request would miss its deadline if it
// were queued now. The estimate is (queued requests of the plan / concurrency + 2)
// * service time: of the 2, one is for the requests in progress and one for the
// request itself. Concurrency is the larger of the plan's requests in progress and
// its guaranteed part of the concurrency limit.
func (c *Core) missesDeadlineIfQueued(now time.Time, p *plan, t *Ticket) bool {
	concurrency := max(p.inProgress, c.guaranteedConcurrency(p), 1)
	rounds := len(p.queue)/concurrency + 1
	return now.Add(p.serviceTime * time.Duration(rounds+1)).After(t.Deadline)
}

// guaranteedConcurrency returns the part of the concurrency limit that is
// reserved for a plan: limit * rate of the plan / sum of all rates.
func (c *Core) guaranteedConcurrency(p *plan) int {
	total := 0.0
	for _, name := range c.planNames {
		total += c.plans[name].allowance.RequestsPerSecond
	}
	if total <= 0 {
		return 0
	}
	return int(float64(c.concurrencyLimit) * p.allowance.RequestsPerSecond / total)
}

func (c *Core) admit(p *plan) {
	c.inProgress++
	p.inProgress++
}

// serviceTimeWeight is the weight of a new measurement in a plan's smoothed
// service time.
const serviceTimeWeight = 0.1

// RequestEnded records that an admitted request ended after serviceTime in progress, and
// admits queued requests.
func (c *Core) RequestEnded(now time.Time, name string, serviceTime time.Duration) {
	p, ok := c.plans[name]
	if !ok || p.inProgress == 0 {
		return
	}
	p.inProgress--
	c.inProgress--
	p.serviceTime += time.Duration(serviceTimeWeight * float64(serviceTime-p.serviceTime))
	c.admitQueued(now)
	c.forgetIfIdle(p)
}

// Expire drops requests that would miss their deadline from the heads of the
// queues, and admits queued requests up to the concurrency limit.
func (c *Core) Expire(now time.Time) {
	for _, name := range c.planNames {
		c.dropExpired(now, c.plans[name])
	}
	c.admitQueued(now)
}

func (c *Core) dropExpired(now time.Time, p *plan) {
	for len(p.queue) > 0 && c.missesDeadlineIfAdmitted(now, p, p.queue[0]) {
		c.pop(p).OnDecision(pv.ReasonDeadlineTooClose)
	}
}

func (c *Core) pop(p *plan) *Ticket {
	t := p.queue[0]
	p.queue = p.queue[1:]
	c.queued--
	return t
}

// Withdraw removes a queued ticket, for example when its caller has
// disconnected. It reports whether the ticket was queued.
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
	c.queued--
	return true
}

// admitQueued admits queued requests up to the concurrency limit, in the order
// of package sharer.
func (c *Core) admitQueued(now time.Time) {
	for c.inProgress < c.concurrencyLimit && c.queued > 0 {
		p := c.nextPlan(now)
		if p == nil {
			return
		}
		t := c.pop(p)
		c.admit(p)
		t.OnDecision(pv.NoReason)
	}
}

// nextPlan returns the plan whose queue is served next, or nil if no request is
// queued.
func (c *Core) nextPlan(now time.Time) *plan {
	var demands []sharer.Demand
	for _, name := range c.planNames {
		p := c.plans[name]
		c.dropExpired(now, p)
		if len(p.queue) == 0 {
			continue
		}
		demands = append(demands, sharer.Demand{
			Plan:      name,
			Class:     p.class,
			Allowance: pv.Allowance{Guaranteed: pv.Resources{Slots: int64(c.guaranteedConcurrency(p))}},
			Used:      pv.Resources{Slots: int64(p.inProgress)},
			Waiting:   len(p.queue),
		})
	}
	if len(demands) == 0 {
		return nil
	}
	order := sharer.Order(demands, pv.Resources{Slots: int64(c.concurrencyLimit)})
	return c.plans[demands[order[0]].Plan]
}

// Load returns the numbers of requests in progress and in the queues.
func (c *Core) Load() (inProgress, queued int) { return c.inProgress, c.queued }
