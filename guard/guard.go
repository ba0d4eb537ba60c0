package guard

import (
	"sync"

	pv "persimmonvalve"
)

// Guard counts the requests that an endpoint runs and queues. It is safe for
// concurrent use.
type Guard struct {
	mu          sync.Mutex
	slots       int
	maxRequests int
	running     int
	queued      int
	draining    bool
	drained     chan struct{} // closed once draining and no request is running or queued
	changed     chan struct{} // closed and replaced when a request ends or draining starts
}

// New returns the guard of an endpoint that runs up to slots requests at once
// and accepts up to maxRequests requests, running and queued.
func New(slots, maxRequests int) *Guard {
	return &Guard{
		slots:       slots,
		maxRequests: max(slots, maxRequests),
		drained:     make(chan struct{}),
		changed:     make(chan struct{}),
	}
}

// Acquire accepts a request and waits for a free slot. It refuses the request with
// ReasonEndpointDraining if the endpoint is draining, with ReasonEndpointFull if
// maxRequests requests are running or queued, and with ReasonTimeout if done is
// closed before a slot is free. On success the caller must call release when the
// request ends.
func (g *Guard) Acquire(done <-chan struct{}) (release func(), reason pv.Reason) {
	g.mu.Lock()
	if g.draining {
		g.mu.Unlock()
		return nil, pv.ReasonEndpointDraining
	}
	if g.running+g.queued >= g.maxRequests {
		g.mu.Unlock()
		return nil, pv.ReasonEndpointFull
	}
	g.queued++
	for g.running >= g.slots {
		changed := g.changed
		g.mu.Unlock()
		select {
		case <-changed:
		case <-done:
			g.cancelWait()
			return nil, pv.ReasonTimeout
		}
		g.mu.Lock()
	}
	g.queued--
	g.running++
	g.mu.Unlock()
	return sync.OnceFunc(g.release), pv.NoReason
}

func (g *Guard) cancelWait() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queued--
	g.notify()
}

func (g *Guard) release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	g.notify()
}

// notify wakes the requests that wait for a slot, and closes drained if draining
// and no request is left. The caller must hold mu.
func (g *Guard) notify() {
	close(g.changed)
	g.changed = make(chan struct{})
	if g.draining && g.running+g.queued == 0 {
		select {
		case <-g.drained:
		default:
			close(g.drained)
		}
	}
}

// Drain refuses new requests from now on. The returned channel is closed when no
// request is running or queued.
func (g *Guard) Drain() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = true
	g.notify()
	return g.drained
}

// Load returns the numbers of running requests and of requests that wait for a
// slot, and whether the endpoint is draining.
func (g *Guard) Load() (running, queued int, draining bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running, g.queued, g.draining
}
