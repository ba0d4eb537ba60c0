package guard

import (
	"sync"

	pv "persimmonvalve"
)

// Guard counts what an endpoint carries. It is safe for concurrent use.
type Guard struct {
	mu          sync.Mutex
	slots       int
	connections int
	running     int
	queued      int
	leaving     bool
	idle        chan struct{} // closed when leaving and nothing is in progress
	wake        chan struct{}
}

// New returns the guard of an endpoint that runs up to slots requests at once
// and holds up to connections, running ones included.
func New(slots, connections int) *Guard {
	return &Guard{
		slots:       slots,
		connections: max(slots, connections),
		idle:        make(chan struct{}),
		wake:        make(chan struct{}),
	}
}

// Enter takes a connection, and a slot as soon as one is free or until done is
// closed. On success the caller calls leave once.
func (g *Guard) Enter(done <-chan struct{}) (leave func(), reason pv.Reason) {
	g.mu.Lock()
	if g.leaving {
		g.mu.Unlock()
		return nil, pv.ReasonLeaving
	}
	if g.running+g.queued >= g.connections {
		g.mu.Unlock()
		return nil, pv.ReasonEndpointFul
	}
	g.queued++
	for g.running >= g.slots {
		wake := g.wake
		g.mu.Unlock()
		select {
		case <-wake:
		case <-done:
			g.giveUp()
			return nil, pv.ReasonTimeout
		}
		g.mu.Lock()
	}
	g.queued--
	g.running++
	g.mu.Unlock()
	return sync.OnceFunc(g.exit), pv.NoReason
}

func (g *Guard) giveUp() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queued--
	g.settle()
}

func (g *Guard) exit() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	g.settle()
}

// settle wakes who waits for a slot, or for the last request to end.
func (g *Guard) settle() {
	close(g.wake)
	g.wake = make(chan struct{})
	if g.leaving && g.running+g.queued == 0 {
		select {
		case <-g.idle:
		default:
			close(g.idle)
		}
	}
}

// Leave refuses new requests from now on. The channel that it returns is
// closed when nothing is in progress any more.
func (g *Guard) Leave() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaving = true
	g.settle()
	return g.idle
}

// Load returns how many requests run and how many wait for a slot.
func (g *Guard) Load() (running, queued int, leaving bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running, g.queued, g.leaving
}
