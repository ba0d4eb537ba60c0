package messenger

// This file defines the side of links that the leader opens to. It follows the
// leader of the highest epoch: a link of a lower one is refused, a link of the
// same or a higher one takes the place of the link before.

import (
	"net"
	"sync"
	"time"

	"persimmonvalve/internal/wire"
)

// LeaderAcceptor accepts the leader's link. It is safe for concurrent use.
type LeaderAcceptor struct {
	node, role string
	listener   net.Listener
	handler    LeaderHandler

	mu    sync.Mutex
	epoch int64
	link  *Link
	links map[*Link]bool
	stuck time.Time // since when the store doesn't answer the leader; zero while it does
	lost  time.Time // when the last leader's link ended, or this side began
	left  bool      // the last leader said that it leaves
}

// LeaderHandler is told of the leader's link. Calls for one link come one
// at a time; those for a former link may still be under way.
type LeaderHandler interface {
	// LeaderConnected is called with a new leader's link, before its frames.
	LeaderConnected(l *Link, leader string, epoch int64)
	// Frame takes a frame that came on a link.
	Frame(l *Link, f *wire.LinkFrame)
	// LeaderDisconnected is called when a link has ended.
	LeaderDisconnected(l *Link, err error)
}

// NewLeaderAcceptor starts to accept links on the listener.
func NewLeaderAcceptor(node, role string, listener net.Listener, handler LeaderHandler) *LeaderAcceptor {
	a := &LeaderAcceptor{node: node, role: role, listener: listener, handler: handler, links: map[*Link]bool{}, lost: time.Now()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return // closed by Close
			}
			go a.serve(conn)
		}
	}()
	return a
}

func (a *LeaderAcceptor) serve(conn net.Conn) {
	l, err := accept(conn)
	if err != nil {
		return // nothing came on it
	}
	a.mu.Lock()
	a.links[l] = true
	a.mu.Unlock()
	attached := false
	err = l.Run(func(f *wire.LinkFrame) {
		switch body := f.Body.(type) {
		case *wire.LinkFrame_Greeting:
			attached = a.greet(l, body.Greeting)
		case *wire.LinkFrame_Ping:
			l.Send(&wire.LinkFrame{Body: &wire.LinkFrame_Pong{Pong: body.Ping}})
			a.notice(l, body.Ping)
		default:
			if attached {
				a.handler.Frame(l, f)
			}
		}
	})
	a.mu.Lock()
	delete(a.links, l)
	if a.link == l {
		a.link, a.lost = nil, time.Now()
	}
	a.mu.Unlock()
	if attached {
		a.handler.LeaderDisconnected(l, err)
	}
}

func (a *LeaderAcceptor) greet(l *Link, g *wire.Greeting) bool {
	a.mu.Lock()
	ok := g.Epoch >= a.epoch
	var former *Link
	if ok {
		a.epoch = g.Epoch
		if a.link != l {
			former, a.link, a.stuck, a.left = a.link, l, time.Time{}, false
		}
	}
	l.Send(&wire.LinkFrame{Body: &wire.LinkFrame_Introduction{Introduction: &wire.Introduction{Node: a.node, Role: a.role, HighestEpoch: a.epoch}}})
	a.mu.Unlock()
	if former != nil {
		former.Close()
	}
	if ok {
		a.handler.LeaderConnected(l, g.Leader, g.Epoch)
	}
	return ok
}

func (a *LeaderAcceptor) notice(l *Link, p *wire.Ping) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.link != l:
	case p.Leaving:
		a.link, a.lost, a.left = nil, time.Now(), true
	case !p.Stuck:
		a.stuck = time.Time{}
	case a.stuck.IsZero():
		a.stuck = time.Now()
	}
}

// LeaderStatus is what a process knows of the leader.
type LeaderStatus struct {
	Linked       bool          // there is a link
	SteppedDown  bool          // the last leader announced that it steps down, and none came since
	Epoch        int64         // of the last leader
	StoreStalled bool          // the store doesn't answer the leader
	SilentFor    time.Duration // since the last frame, the end of the link or the start of the store's stall
}

// LeaderStatus returns what this process knows of the leader.
func (a *LeaderAcceptor) LeaderStatus() LeaderStatus {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.link == nil:
		return LeaderStatus{Epoch: a.epoch, SteppedDown: a.left, SilentFor: time.Since(a.lost)}
	case !a.stuck.IsZero():
		return LeaderStatus{Epoch: a.epoch, Linked: true, StoreStalled: true, SilentFor: time.Since(a.stuck)}
	}
	return LeaderStatus{Epoch: a.epoch, Linked: true, SilentFor: a.link.SilentFor()}
}

// Leader returns the leader's link, nil when there is none. A link that has ended
// is none, also before its goroutine has taken note of that.
func (a *LeaderAcceptor) Leader() *Link {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.link == nil || a.link.ended() {
		return nil
	}
	return a.link
}

// Close stops accepting and ends all links.
func (a *LeaderAcceptor) Close() {
	_ = a.listener.Close() // nothing more is accepted either way
	a.mu.Lock()
	defer a.mu.Unlock()
	for l := range a.links {
		l.Close()
	}
}
