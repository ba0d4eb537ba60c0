package router

// This file defines the choice of an endpoint.
//
// Two endpoints are drawn from the nearest tier that has an open one. An
// endpoint is hot when its requests in progress are above a quantile of what
// was seen lately; of two cold ones the faster is taken, otherwise the one
// with fewer requests in progress (the hot-cold rule of Prequel, NSDI 2024).
// The other region is the last tier, and only within its byte budget.

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"

	pv "persimmonvalve"
)

// Settings are the bounds of routing.
type Settings struct {
	Subset       int           // endpoints of one service that an entry uses
	HotQuantile  float64       // of requests in progress, above which an endpoint is hot
	EjectAfter   int           // failures in a row
	EjectFor     time.Duration // first pause
	EjectUpTo    time.Duration // longest pause
	SlowFactor   float64       // times the median latency from which an endpoint counts as slow
	Silence      time.Duration // an endpoint not heard of for so long gets no new work
	LinkBytesPer float64       // bytes a second that requests may send between regions
	LinkBurst    int
}

// DefaultSettings returns the settings for both sites of today.
func DefaultSettings() Settings {
	return Settings{
		Subset:       20,
		HotQuantile:  0.75,
		EjectAfter:   3,
		EjectFor:     500 * time.Millisecond,
		EjectUpTo:    30 * time.Second,
		SlowFactor:   4,
		Silence:      3 * time.Second,
		LinkBytesPer: 1e6,
		LinkBurst:    1e6,
	}
}

// Endpoint is what the router knows of one endpoint's agent.
type Endpoint struct {
	Member   pv.Member
	Leaving  bool
	Slots    int
	Reported int           // requests in progress, as the agent last said
	Own      int           // requests in progress from here
	Latency  time.Duration // smoothed
	Heard    time.Time
	Ejected  time.Time // until
	failures int
	pause    time.Duration
	asked    int
}

// inProgress is the agent's count, or the own one if that is higher already.
func (e *Endpoint) inProgress() int { return max(e.Reported, e.Own) }

// Core chooses endpoints. It isn't safe for concurrent use.
type Core struct {
	settings  Settings
	self      pv.Member
	random    *rand.Rand
	endpoints map[string][]*Endpoint // the subset, by service, nearest first
	byName    map[string]*Endpoint
	link      *rate.Limiter
}

// New returns a router that knows no endpoints.
func New(settings Settings, self pv.Member, random *rand.Rand) *Core {
	return &Core{
		settings:  settings,
		self:      self,
		random:    random,
		endpoints: map[string][]*Endpoint{},
		byName:    map[string]*Endpoint{},
		link:      rate.NewLimiter(rate.Limit(settings.LinkBytesPer), settings.LinkBurst),
	}
}

// SetMembers takes the known agents and keeps the nearest of each service, in
// an order that differs between entries, so that no endpoint has all entries.
func (c *Core) SetMembers(now time.Time, members []pv.Member) {
	byService := map[string][]pv.Member{}
	for _, m := range members {
		if m.Role == pv.RoleAgent && m.Service != "" {
			byService[m.Service] = append(byService[m.Service], m)
		}
	}
	kept := map[string]*Endpoint{}
	c.endpoints = map[string][]*Endpoint{}
	for service, ms := range byService {
		slices.SortFunc(ms, c.nearer)
		for _, m := range ms[:min(len(ms), c.settings.Subset)] {
			e := c.endpoint(now, m)
			kept[m.Name] = e
			c.endpoints[service] = append(c.endpoints[service], e)
		}
	}
	c.byName = kept
}

// endpoint returns the known endpoint, or a new one for a new incarnation at
// the same name.
func (c *Core) endpoint(now time.Time, m pv.Member) *Endpoint {
	e, ok := c.byName[m.Name]
	if ok && e.Member.Incarnation == m.Incarnation {
		return e
	}
	return &Endpoint{Member: m, Heard: now}
}

func (c *Core) nearer(a, b pv.Member) int {
	if d := cmp.Compare(c.tier(a), c.tier(b)); d != 0 {
		return d
	}
	if d := cmp.Compare(c.hash(a.Name), c.hash(b.Name)); d != 0 {
		return d
	}
	return cmp.Compare(a.Name, b.Name)
}

func (c *Core) hash(name string) uint64 { return xxhash.Sum64String(c.self.Name + "/" + name) }

// The tiers, nearest first.
const (
	sameZone = iota
	sameRegion
	otherRegion
	tiers
)

func (c *Core) tier(m pv.Member) int {
	switch {
	case m.Place.Region != c.self.Place.Region:
		return otherRegion
	case m.Place.Zone != c.self.Place.Zone:
		return sameRegion
	}
	return sameZone
}

// Request is what a choice needs to know.
type Request struct {
	Service string
	Bytes   int             // of the request's body, for the paid link
	Tried   map[string]bool // endpoints tried before
}

// Choose returns the endpoint for a request, or why there is none.
func (c *Core) Choose(now time.Time, r Request) (*Endpoint, pv.Reason) {
	var byTier [tiers][]*Endpoint
	for _, e := range c.endpoints[r.Service] {
		if c.open(now, e) && !r.Tried[e.Member.Name] {
			t := c.tier(e.Member)
			byTier[t] = append(byTier[t], e)
		}
	}
	var full *Endpoint
	for tier, open := range byTier {
		if len(open) == 0 {
			continue
		}
		if tier == otherRegion && !c.link.AllowN(now, min(r.Bytes, c.settings.LinkBurst)) {
			if full != nil {
				break
			}
			return nil, pv.ReasonLink
		}
		e := c.better(open)
		if e.Slots == 0 || e.inProgress() < e.Slots {
			return e, pv.NoReason
		}
		full = cmp.Or(full, e) // a tier further away may have a free slot
	}
	if full == nil {
		return nil, pv.ReasonNoEndpoint
	}
	return full, pv.NoReason
}

func (c *Core) open(now time.Time, e *Endpoint) bool {
	return !e.Leaving && !now.Before(e.Ejected) && now.Sub(e.Heard) <= c.settings.Silence
}

// better draws two and applies the hot-cold rule.
func (c *Core) better(open []*Endpoint) *Endpoint {
	a := open[c.random.IntN(len(open))]
	if len(open) == 1 {
		return a
	}
	b := a
	for b == a {
		b = open[c.random.IntN(len(open))]
	}
	limit := c.hotLimit(open)
	hotA, hotB := a.inProgress() > limit, b.inProgress() > limit
	switch {
	case hotA != hotB && hotA:
		return b
	case hotA != hotB:
		return a
	case hotA:
		return fewer(a, b)
	}
	return faster(a, b)
}

func (c *Core) hotLimit(open []*Endpoint) int {
	counts := make([]int, len(open))
	for i, e := range open {
		counts[i] = e.inProgress()
	}
	slices.Sort(counts)
	return counts[int(c.settings.HotQuantile*float64(len(counts)-1))]
}

func fewer(a, b *Endpoint) *Endpoint {
	if b.inProgress() < a.inProgress() {
		return b
	}
	return a
}

// faster compares expected times: latency as measured, times what is ahead.
func faster(a, b *Endpoint) *Endpoint {
	if expected(b) < expected(a) {
		return b
	}
	return a
}

func expected(e *Endpoint) time.Duration {
	ahead := 1.0
	if e.Slots > 0 {
		ahead += float64(e.inProgress()) / float64(e.Slots)
	}
	return time.Duration(float64(e.Latency) * ahead)
}

// Began notes that a request goes to an endpoint.
func (c *Core) Began(e *Endpoint) { e.Own++ }

// smoothing is the weight of a new latency.
const smoothing = 0.2

// Answered notes the end of a request. A refusal by the guard is no failure.
func (c *Core) Answered(now time.Time, e *Endpoint, took time.Duration, ok bool) {
	e.Own--
	e.asked++
	if !ok {
		c.failed(now, e)
		return
	}
	e.Heard = now
	e.failures = 0
	if e.Latency == 0 {
		e.Latency = took
	}
	e.Latency += time.Duration(smoothing * float64(took-e.Latency))
	c.ejectSlow(now, e)
}

// Refused notes that the guard refused a request.
func (c *Core) Refused(now time.Time, e *Endpoint, reason pv.Reason) {
	e.Own--
	e.Heard = now
	switch reason {
	case pv.ReasonLeaving:
		e.Leaving = true
	case pv.ReasonEndpointFul:
		e.Reported = max(e.Reported, e.Slots)
	}
}

// Report takes in what an agent says of itself.
func (c *Core) Report(now time.Time, name string, inProgress, slots int, leaving bool) {
	e, ok := c.byName[name]
	if !ok {
		return
	}
	e.Heard = now
	e.Reported = inProgress
	e.Slots = slots
	e.Leaving = e.Leaving || leaving
}

func (c *Core) failed(now time.Time, e *Endpoint) {
	e.failures++
	if e.failures >= c.settings.EjectAfter {
		c.eject(now, e)
	}
}

// ejectSlow ejects an endpoint that answers far slower than the median of its
// service, so that a probe after the pause can find it well again.
func (c *Core) ejectSlow(now time.Time, e *Endpoint) {
	peers := c.endpoints[e.Member.Service]
	if len(peers) < 3 || e.asked < 5 || c.byName[e.Member.Name] != e {
		return // too little to compare, or it left the subset meanwhile
	}
	latencies := make([]time.Duration, 0, len(peers))
	for _, p := range peers {
		if p.Latency > 0 {
			latencies = append(latencies, p.Latency)
		}
	}
	slices.Sort(latencies)
	median := latencies[(len(latencies)-1)/2]
	if float64(e.Latency) > c.settings.SlowFactor*float64(median) {
		c.eject(now, e)
		e.Latency = median // judged anew by the next requests
		e.asked = 0
	}
}

// eject keeps new requests off an endpoint for a pause that doubles, but never
// more than half of a service's endpoints.
func (c *Core) eject(now time.Time, e *Endpoint) {
	peers := c.endpoints[e.Member.Service]
	ejected := 0
	for _, p := range peers {
		if now.Before(p.Ejected) {
			ejected++
		}
	}
	if 2*(ejected+1) > len(peers) {
		return
	}
	e.pause = min(max(2*e.pause, c.settings.EjectFor), c.settings.EjectUpTo)
	e.Ejected = now.Add(e.pause)
	e.failures = 0
}

// Slots returns how many requests the open endpoints of all services run at
// once.
func (c *Core) Slots(now time.Time) int {
	sum := 0
	for _, e := range c.byName {
		if c.open(now, e) {
			sum += e.Slots
		}
	}
	return sum
}

// Endpoints returns the endpoints of all services in a fixed order.
func (c *Core) Endpoints() []*Endpoint {
	out := make([]*Endpoint, 0, len(c.byName))
	for _, e := range c.byName {
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b *Endpoint) int { return cmp.Compare(a.Member.Name, b.Member.Name) })
	return out
}
