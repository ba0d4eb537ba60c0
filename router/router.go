package router

// This file defines the selection of an endpoint.
//
// Two endpoints are drawn at random from the nearest tier that has an available
// one. An endpoint is hot if its requests in progress exceed a quantile over the
// tier's available endpoints. Of two cold endpoints the faster is selected, of a
// hot and a cold one the cold one, and of two hot ones the one with fewer requests
// in progress (the hot-cold rule of Prequel, NSDI 2024). If the selected endpoint
// has no free slot, the next tier is tried. The other region is the last tier and
// is used only within its byte budget.

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"

	pv "persimmonvalve"
)

// Settings are the parameters of routing.
type Settings struct {
	SubsetSize         int           // maximum number of endpoints of one service that an entry uses
	HotQuantile        float64       // quantile of requests in progress above which an endpoint is hot
	EjectAfterFailures int           // consecutive failures that eject an endpoint
	MinEjection        time.Duration // duration of the first ejection
	MaxEjection        time.Duration // upper limit of the doubling duration
	SlowFactor         float64       // an endpoint is ejected above SlowFactor * median latency
	SuspicionTimeout   time.Duration // an endpoint gets no requests if its last message is older
	LinkBytesPerSecond float64       // bytes of request bodies that may be sent to other regions per second
	LinkBurstBytes     int           // bytes of request bodies that may be sent to other regions in one burst
}

// DefaultSettings returns the default settings, which fit the two existing sites.
func DefaultSettings() Settings {
	return Settings{
		SubsetSize:         20,
		HotQuantile:        0.75,
		EjectAfterFailures: 3,
		MinEjection:        500 * time.Millisecond,
		MaxEjection:        30 * time.Second,
		SlowFactor:         4,
		SuspicionTimeout:   3 * time.Second,
		LinkBytesPerSecond: 1e6,
		LinkBurstBytes:     1e6,
	}
}

// Endpoint is the router's state for one endpoint.
type Endpoint struct {
	Member             pv.Member
	Draining           bool
	Slots              int           // last reported by the agent; 0 before its first report
	ReportedInProgress int           // requests in progress, last reported by the agent
	OwnInProgress      int           // requests in progress from this entry
	Latency            time.Duration // exponentially smoothed
	LastMessageAt      time.Time     // time of the last message
	EjectedUntil       time.Time     // end of the last ejection; zero if never ejected

	consecutiveFailures int
	ejectionDuration    time.Duration // duration of the last ejection
	endedRequests       int           // ended since the endpoint was last found slow
}

// inProgress returns the larger of the reported count and this entry's own, as
// the report may be outdated.
func (e *Endpoint) inProgress() int { return max(e.ReportedInProgress, e.OwnInProgress) }

// Core selects endpoints. It isn't safe for concurrent use.
type Core struct {
	settings   Settings
	self       pv.Member
	rng        *rand.Rand
	endpoints  map[string][]*Endpoint // by service, nearest first
	byName     map[string]*Endpoint
	linkBudget *rate.Limiter
}

// New returns a router without endpoints.
func New(settings Settings, self pv.Member, rng *rand.Rand) *Core {
	return &Core{
		settings:   settings,
		self:       self,
		rng:        rng,
		endpoints:  map[string][]*Endpoint{},
		byName:     map[string]*Endpoint{},
		linkBudget: rate.NewLimiter(rate.Limit(settings.LinkBytesPerSecond), settings.LinkBurstBytes),
	}
}

// SetMembers sets the current members and selects the nearest agents of each
// service, up to the size of the subset. Within a tier the order depends on the
// entry's name, so that not all entries use the same endpoints if a tier has more
// of them than fit.
func (c *Core) SetMembers(now time.Time, members []pv.Member) {
	byService := map[string][]pv.Member{}
	for _, m := range members {
		if m.Role == pv.RoleAgent && m.Service != "" {
			byService[m.Service] = append(byService[m.Service], m)
		}
	}
	byName := map[string]*Endpoint{}
	c.endpoints = map[string][]*Endpoint{}
	for service, candidates := range byService {
		slices.SortFunc(candidates, c.compareDistance)
		for _, m := range candidates[:min(len(candidates), c.settings.SubsetSize)] {
			e := c.endpointOf(now, m)
			byName[m.Name] = e
			c.endpoints[service] = append(c.endpoints[service], e)
		}
	}
	c.byName = byName
}

// endpointOf returns the state of a member's endpoint. A new incarnation of the
// same name starts with new state.
func (c *Core) endpointOf(now time.Time, m pv.Member) *Endpoint {
	e, ok := c.byName[m.Name]
	if ok && e.Member.Incarnation == m.Incarnation {
		return e
	}
	return &Endpoint{Member: m, LastMessageAt: now}
}

// compareDistance orders members by tier, then by orderHash.
func (c *Core) compareDistance(a, b pv.Member) int {
	if d := cmp.Compare(c.tier(a), c.tier(b)); d != 0 {
		return d
	}
	if d := cmp.Compare(c.orderHash(a.Name), c.orderHash(b.Name)); d != 0 {
		return d
	}
	return cmp.Compare(a.Name, b.Name)
}

func (c *Core) orderHash(name string) uint64 { return xxhash.Sum64String(c.self.Name + "/" + name) }

// The tiers of distance, nearest first.
const (
	sameZone = iota
	sameRegion
	otherRegion
	tierCount
)

func (c *Core) tier(m pv.Member) int {
	switch {
	case m.Location.Region != c.self.Location.Region:
		return otherRegion
	case m.Location.Zone != c.self.Location.Zone:
		return sameRegion
	}
	return sameZone
}

// Request describes a request for which an endpoint is selected.
type Request struct {
	Service string
	Bytes   int             // size of the body; up to LinkBurstBytes of it are charged to the budget between regions
	Tried   map[string]bool // names of endpoints that must not be selected again
}

// Select returns the endpoint for a request, or the reason why there is none. If
// the selected endpoints of all tiers are full, it returns the one of the nearest
// tier.
func (c *Core) Select(now time.Time, r Request) (*Endpoint, pv.Reason) {
	var byTier [tierCount][]*Endpoint
	for _, e := range c.endpoints[r.Service] {
		if c.available(now, e) && !r.Tried[e.Member.Name] {
			t := c.tier(e.Member)
			byTier[t] = append(byTier[t], e)
		}
	}
	var firstFull *Endpoint
	for tier, candidates := range byTier {
		if len(candidates) == 0 {
			continue
		}
		if tier == otherRegion && !c.linkBudget.AllowN(now, min(r.Bytes, c.settings.LinkBurstBytes)) {
			if firstFull != nil {
				break
			}
			return nil, pv.ReasonLinkBudget
		}
		e := c.selectOfTwo(candidates)
		if e.Slots == 0 || e.inProgress() < e.Slots {
			return e, pv.NoReason
		}
		firstFull = cmp.Or(firstFull, e) // a more distant tier may have a free slot
	}
	if firstFull == nil {
		return nil, pv.ReasonNoEndpoint
	}
	return firstFull, pv.NoReason
}

// available reports whether an endpoint may get new requests: it isn't draining
// or ejected, and its last message is recent.
func (c *Core) available(now time.Time, e *Endpoint) bool {
	return !e.Draining && !now.Before(e.EjectedUntil) && now.Sub(e.LastMessageAt) <= c.settings.SuspicionTimeout
}

// selectOfTwo draws two endpoints at random and selects one by the hot-cold rule.
func (c *Core) selectOfTwo(candidates []*Endpoint) *Endpoint {
	a := candidates[c.rng.IntN(len(candidates))]
	if len(candidates) == 1 {
		return a
	}
	b := a
	for b == a {
		b = candidates[c.rng.IntN(len(candidates))]
	}
	threshold := c.hotThreshold(candidates)
	hotA, hotB := a.inProgress() > threshold, b.inProgress() > threshold
	switch {
	case hotA != hotB && hotA:
		return b
	case hotA != hotB:
		return a
	case hotA:
		return lessLoaded(a, b)
	}
	return faster(a, b)
}

// hotThreshold returns the HotQuantile of the candidates' requests in progress.
func (c *Core) hotThreshold(candidates []*Endpoint) int {
	counts := make([]int, len(candidates))
	for i, e := range candidates {
		counts[i] = e.inProgress()
	}
	slices.Sort(counts)
	return counts[int(c.settings.HotQuantile*float64(len(counts)-1))]
}

func lessLoaded(a, b *Endpoint) *Endpoint {
	if b.inProgress() < a.inProgress() {
		return b
	}
	return a
}

// faster returns the endpoint with the shorter expected latency.
func faster(a, b *Endpoint) *Endpoint {
	if expectedLatency(b) < expectedLatency(a) {
		return b
	}
	return a
}

// expectedLatency returns latency * (1 + requests in progress / slots).
func expectedLatency(e *Endpoint) time.Duration {
	load := 1.0
	if e.Slots > 0 {
		load += float64(e.inProgress()) / float64(e.Slots)
	}
	return time.Duration(float64(e.Latency) * load)
}

// RequestStarted records that a request is sent to an endpoint.
func (c *Core) RequestStarted(e *Endpoint) { e.OwnInProgress++ }

// latencyWeight is the weight of a new measurement in the smoothed latency.
const latencyWeight = 0.2

// RequestEnded records the end of a request that the endpoint did not refuse; ok is
// false if the request failed. A refusal is not a failure and is recorded by
// RequestRefused.
func (c *Core) RequestEnded(now time.Time, e *Endpoint, latency time.Duration, ok bool) {
	e.OwnInProgress--
	e.endedRequests++
	if !ok {
		c.recordFailure(now, e)
		return
	}
	e.LastMessageAt = now
	e.consecutiveFailures = 0
	if e.Latency == 0 {
		e.Latency = latency
	}
	e.Latency += time.Duration(latencyWeight * float64(latency-e.Latency))
	c.ejectIfSlow(now, e)
}

// RequestRefused records that the endpoint's guard refused a request.
func (c *Core) RequestRefused(now time.Time, e *Endpoint, reason pv.Reason) {
	e.OwnInProgress--
	e.LastMessageAt = now
	switch reason {
	case pv.ReasonEndpointDraining:
		e.Draining = true
	case pv.ReasonEndpointFull:
		e.ReportedInProgress = max(e.ReportedInProgress, e.Slots)
	}
}

// Report updates an endpoint from a status report of its agent.
func (c *Core) Report(now time.Time, name string, inProgress, slots int, draining bool) {
	e, ok := c.byName[name]
	if !ok {
		return
	}
	e.LastMessageAt = now
	e.ReportedInProgress = inProgress
	e.Slots = slots
	e.Draining = e.Draining || draining
}

func (c *Core) recordFailure(now time.Time, e *Endpoint) {
	e.consecutiveFailures++
	if e.consecutiveFailures >= c.settings.EjectAfterFailures {
		c.eject(now, e)
	}
}

// ejectIfSlow ejects an endpoint whose latency exceeds SlowFactor times the
// median of its service. It gets requests again after the ejection, which show
// whether it has recovered.
func (c *Core) ejectIfSlow(now time.Time, e *Endpoint) {
	peers := c.endpoints[e.Member.Service]
	if len(peers) < 3 || e.endedRequests < 5 || c.byName[e.Member.Name] != e {
		return // too few endpoints or requests to compare, or no longer in the subset
	}
	latencies := make([]time.Duration, 0, len(peers))
	for _, p := range peers {
		if p.Latency > 0 {
			latencies = append(latencies, p.Latency)
		}
	}
	if len(latencies) == 0 {
		return // all within the resolution of the clock
	}
	slices.Sort(latencies)
	median := latencies[(len(latencies)-1)/2]
	if float64(e.Latency) > c.settings.SlowFactor*float64(median) {
		c.eject(now, e)
		e.Latency = median // the next requests measure it anew
		e.endedRequests = 0
	}
}

// eject excludes an endpoint from selection for a duration that doubles with each
// ejection. It does nothing if more than half of the service's endpoints would then
// be ejected.
func (c *Core) eject(now time.Time, e *Endpoint) {
	peers := c.endpoints[e.Member.Service]
	ejected := 0
	for _, p := range peers {
		if now.Before(p.EjectedUntil) {
			ejected++
		}
	}
	if 2*(ejected+1) > len(peers) {
		return
	}
	e.ejectionDuration = min(max(2*e.ejectionDuration, c.settings.MinEjection), c.settings.MaxEjection)
	e.EjectedUntil = now.Add(e.ejectionDuration)
	e.consecutiveFailures = 0
}

// TotalSlots returns the total slots of the available endpoints of all services.
func (c *Core) TotalSlots(now time.Time) int {
	sum := 0
	for _, e := range c.byName {
		if c.available(now, e) {
			sum += e.Slots
		}
	}
	return sum
}

// Endpoints returns the endpoints of all services, ordered by name.
func (c *Core) Endpoints() []*Endpoint {
	out := make([]*Endpoint, 0, len(c.byName))
	for _, e := range c.byName {
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b *Endpoint) int { return cmp.Compare(a.Member.Name, b.Member.Name) })
	return out
}
