package messenger

// This file defines LeaderAcceptor, which accepts the links that leaders open. It
// refuses a leader whose epoch is lower than the highest one seen. A link with the
// same or a higher epoch replaces the current one. Connections on which no leader has been
// accepted yet are few, and their frames are small.

import (
	"math"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"persimmonvalve/internal/wire"
)

// MaxEpoch bounds the epochs of leaders. A process that took a higher one for a leader's
// would refuse all leaders.
const MaxEpoch = 1 << 50

// Limits of the connections on which no leader has been accepted.
const (
	maxPendingLinks = 16       // a further one takes the place of the oldest
	maxPendingBytes = 32 << 10 // received on one of them
)

// pendingConn is a connection that may receive a limited number of bytes.
type pendingConn struct {
	net.Conn
	bytesLeft atomic.Int64
}

// Read implements net.Conn.
func (c *pendingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.bytesLeft.Add(-int64(n)) < 0 {
		return 0, Error.New("too many bytes before a leader was accepted")
	}
	return n, err
}

// LeaderAcceptor accepts the leader's link. It is safe for concurrent use.
type LeaderAcceptor struct {
	node, role string
	listener   net.Listener
	handler    LeaderHandler

	mu             sync.Mutex
	epoch          int64 // highest epoch seen
	link           *Link
	links          map[*Link]bool
	pending        []*pendingConn // on which no leader has been accepted, oldest first
	stalledSince   time.Time      // first of the pings in a row that report that the store doesn't answer the leader; zero if the last ping didn't
	disconnectedAt time.Time      // of the last frame on the last leader's link, which has ended, or when it stepped down; at first, when this process started
	steppedDown    bool           // the last leader announced that it steps down
}

// LeaderHandler handles the events of leaders' links. Calls for one link are
// sequential; calls for the previous link may still be in progress.
type LeaderHandler interface {
	// LeaderConnected is called after the handshake on a link, before its frames.
	LeaderConnected(l *Link, leader string, epoch int64)
	// Frame is called with each frame of a link other than handshakes and pings.
	Frame(l *Link, f *wire.LinkFrame)
	// LeaderDisconnected is called when a link has ended, with the reason.
	LeaderDisconnected(l *Link, err error)
}

// NewLeaderAcceptor starts to accept links on the listener.
func NewLeaderAcceptor(node, role string, listener net.Listener, logger *zap.Logger, handler LeaderHandler) *LeaderAcceptor {
	a := &LeaderAcceptor{node: node, role: role, listener: listener, handler: handler, links: map[*Link]bool{}, disconnectedAt: time.Now()}
	go func() {
		acceptAll(listener, logger, func(conn net.Conn) {
			pending := &pendingConn{Conn: conn}
			pending.bytesLeft.Store(maxPendingBytes)
			a.addPending(pending)
			go a.serve(pending)
		})
	}()
	return a
}

func (a *LeaderAcceptor) addPending(conn *pendingConn) {
	a.mu.Lock()
	a.pending = append(a.pending, conn)
	var oldest *pendingConn
	if len(a.pending) > maxPendingLinks {
		oldest = a.pending[0]
		a.pending = a.pending[1:]
	}
	a.mu.Unlock()
	if oldest != nil {
		_ = oldest.Close() // its goroutine sees the end of the link
	}
}

func (a *LeaderAcceptor) removePending(conn *pendingConn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pending = slices.DeleteFunc(a.pending, func(p *pendingConn) bool { return p == conn })
}

func (a *LeaderAcceptor) serve(conn *pendingConn) {
	defer a.removePending(conn)
	l, err := accept(conn)
	if err != nil {
		return // the connection failed before a link was open
	}
	a.mu.Lock()
	a.links[l] = true
	a.mu.Unlock()
	connected := false
	err = l.Run(func(f *wire.LinkFrame) {
		switch body := f.Body.(type) {
		case *wire.LinkFrame_Greeting:
			if connected = a.handleGreeting(l, body.Greeting); connected {
				a.removePending(conn)
				conn.bytesLeft.Store(math.MaxInt64)
				l.maxFrameBytes = MaxFrameBytes
			}
		case *wire.LinkFrame_Ping:
			l.Send(&wire.LinkFrame{Body: &wire.LinkFrame_Pong{Pong: body.Ping}})
			a.handlePing(l, body.Ping)
		default:
			if connected {
				a.handler.Frame(l, f)
			}
		}
	})
	a.mu.Lock()
	delete(a.links, l)
	if a.link == l {
		a.link, a.disconnectedAt = nil, time.Now().Add(-l.SilentFor())
	}
	a.mu.Unlock()
	if connected {
		a.handler.LeaderDisconnected(l, err)
	}
}

// handleGreeting answers the handshake and makes l the leader's link, unless a
// higher epoch was seen. It reports whether it accepted l.
func (a *LeaderAcceptor) handleGreeting(l *Link, g *wire.Greeting) bool {
	a.mu.Lock()
	accepted := g.Epoch >= a.epoch && g.Epoch <= MaxEpoch
	var previous *Link
	if accepted {
		a.epoch = g.Epoch
		if a.link != l {
			previous, a.link, a.stalledSince, a.steppedDown = a.link, l, time.Time{}, false
		}
	}
	l.Send(&wire.LinkFrame{Body: &wire.LinkFrame_Introduction{Introduction: &wire.Introduction{Node: a.node, Role: a.role, HighestEpoch: a.epoch}}})
	a.mu.Unlock()
	if previous != nil {
		previous.Close()
	}
	if accepted {
		a.handler.LeaderConnected(l, g.Leader, g.Epoch)
	}
	return accepted
}

// handlePing updates the leader status from a ping of the current leader.
func (a *LeaderAcceptor) handlePing(l *Link, p *wire.Ping) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.link != l:
	case p.Leaving:
		a.link, a.disconnectedAt, a.steppedDown = nil, time.Now(), true
	case !p.Stuck:
		a.stalledSince = time.Time{}
	case a.stalledSince.IsZero():
		a.stalledSince = time.Now()
	}
}

// LeaderStatus is what a process has observed of the leader.
type LeaderStatus struct {
	Linked         bool          // the leader is connected and has not stepped down
	SteppedDown    bool          // the last leader announced that it steps down, and no other has connected since
	Epoch          int64         // of the last leader
	StoreStalled   bool          // the store doesn't answer the leader
	UnavailableFor time.Duration // since the last frame; if StoreStalled, since the stall began
}

// LeaderStatus returns what this process has observed of the leader.
func (a *LeaderAcceptor) LeaderStatus() LeaderStatus {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.link == nil:
		return LeaderStatus{Epoch: a.epoch, SteppedDown: a.steppedDown, UnavailableFor: time.Since(a.disconnectedAt)}
	case !a.stalledSince.IsZero():
		return LeaderStatus{Epoch: a.epoch, Linked: true, StoreStalled: true, UnavailableFor: time.Since(a.stalledSince)}
	}
	return LeaderStatus{Epoch: a.epoch, Linked: true, UnavailableFor: a.link.SilentFor()}
}

// Leader returns the leader's link, or nil if there is none. It never returns a
// link that has ended, even if the link's goroutine hasn't removed it yet.
func (a *LeaderAcceptor) Leader() *Link {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.link == nil || a.link.isClosed() {
		return nil
	}
	return a.link
}

// Close stops accepting links and closes all open ones.
func (a *LeaderAcceptor) Close() {
	_ = a.listener.Close() // on an error, too, no more links are accepted
	a.mu.Lock()
	defer a.mu.Unlock()
	for l := range a.links {
		l.Close()
	}
}
