package gateway_test

// This file defines links that arrive late, or are held by a silent partition: neither end
// notices it before its timeouts, and what was written is delivered when it ends.

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	pv "persimmonvalve"
	"persimmonvalve/messenger"
)

// heldCheckInterval is the time between two checks of whether a partition has ended.
const heldCheckInterval = 10 * time.Millisecond

// injection is a fault of links or of store calls. Fields that are nil are without faults.
type injection struct {
	// link returns the state of the links from a leader's process to another one.
	link func(from, to string) linkState
	// storeHeld reports whether a process's store calls wait; those whose contexts have ended
	// when they go on have no effect.
	storeHeld func(process string) bool
	// storeHangs reports whether a process's reads of a topic or appends to it get no answer
	// and have no effect.
	storeHangs func(process string, topic pv.Topic, appends bool) bool
}

// linkState is the state of the links between a leader's process and another one.
type linkState struct {
	delay time.Duration // from a write until it arrives, in each direction
	held  bool          // nothing arrives
}

// inject puts an injection into effect, until undo is called. The first one for links has
// all links opened anew.
func (s *siteHarness) inject(i injection) (undo func()) {
	s.injectionMu.Lock()
	s.lastInjection++
	number := s.lastInjection
	s.injections[number] = i
	reopen := i.link != nil && !s.delaysLinks
	s.delaysLinks = s.delaysLinks || i.link != nil
	s.injectionMu.Unlock()
	if reopen {
		s.network.CloseConnections()
	}
	return func() {
		s.injectionMu.Lock()
		defer s.injectionMu.Unlock()
		delete(s.injections, number)
	}
}

// linkBetween returns the present state of the link from a leader's process to another one.
func (s *siteHarness) linkBetween(from, to string) linkState {
	s.injectionMu.Lock()
	defer s.injectionMu.Unlock()
	out := linkState{}
	for _, i := range s.injections {
		if i.link != nil {
			l := i.link(from, to)
			out = linkState{delay: max(out.delay, l.delay), held: out.held || l.held}
		}
	}
	return out
}

// storeCallHeld reports whether a process's store calls wait at present.
func (s *siteHarness) storeCallHeld(process string) bool {
	s.injectionMu.Lock()
	defer s.injectionMu.Unlock()
	for _, i := range s.injections {
		if i.storeHeld != nil && i.storeHeld(process) {
			return true
		}
	}
	return false
}

// storeCallHangsNow reports whether a call to the store that begins now gets no answer.
func (s *siteHarness) storeCallHangsNow(process string, topic pv.Topic, appends bool) bool {
	s.injectionMu.Lock()
	defer s.injectionMu.Unlock()
	for _, i := range s.injections {
		if i.storeHangs != nil && i.storeHangs(process, topic, appends) {
			return true
		}
	}
	return false
}

// listen returns a listener of the named process, whose links can be delayed.
func (s *siteHarness) listen(name string) processListener {
	l := s.network.Listen(name)
	s.injectionMu.Lock()
	defer s.injectionMu.Unlock()
	s.processAt[l.Address()] = name
	return l
}

// processListener is a listener of a process.
type processListener interface {
	net.Listener
	Address() netip.AddrPort
}

// dialer returns the function by which the leader of a process opens links.
func (s *siteHarness) dialer(from string) messenger.DialFunc {
	dial := s.network.Dialer(from)
	return func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
		s.injectionMu.Lock()
		to, delays := s.processAt[address], s.delaysLinks
		s.injectionMu.Unlock()
		conn, err := dial(ctx, address)
		if err != nil || !delays {
			return conn, err
		}
		return newDelayedConn(conn, func() linkState { return s.linkBetween(from, to) }), nil
	}
}

// segment is what one write to a connection holds.
type segment struct {
	data  []byte
	dueAt time.Time
}

// delayedConn is a leader's end of a connection whose state can be changed. Deadlines don't
// apply to it; links have their own.
type delayedConn struct {
	net.Conn
	state    func() linkState
	outgoing chan segment
	incoming chan segment
	reader   *io.PipeReader
	writer   *io.PipeWriter
	closed   chan struct{}
	once     sync.Once
}

func newDelayedConn(conn net.Conn, state func() linkState) *delayedConn {
	c := &delayedConn{Conn: conn, state: state, outgoing: make(chan segment, 4096), incoming: make(chan segment, 4096), closed: make(chan struct{})}
	c.reader, c.writer = io.Pipe()
	go c.deliver(c.outgoing, c.Conn)
	go c.deliver(c.incoming, c.writer)
	go func() {
		defer c.Close()
		buffer := make([]byte, 16<<10)
		for {
			n, err := c.Conn.Read(buffer)
			if err != nil || c.pass(c.incoming, buffer[:n]) != nil {
				return
			}
		}
	}()
	return c
}

// pass queues what was written, to be delivered after the link's present delay.
func (c *delayedConn) pass(queue chan<- segment, b []byte) error {
	select {
	case queue <- segment{data: bytes.Clone(b), dueAt: time.Now().Add(c.state().delay)}:
		return nil
	case <-c.closed:
		return net.ErrClosed
	}
}

// deliver writes the segments of a queue when they are due and the link isn't held.
func (c *delayedConn) deliver(queue <-chan segment, to io.Writer) {
	defer c.Close()
	for {
		select {
		case s := <-queue:
			wait := time.Until(s.dueAt)
			for wait > 0 || c.state().held {
				select {
				case <-time.After(max(wait, heldCheckInterval)):
				case <-c.closed:
					return
				}
				wait = time.Until(s.dueAt)
			}
			if _, err := to.Write(s.data); err != nil {
				return
			}
		case <-c.closed:
			return
		}
	}
}

// Read implements net.Conn.
func (c *delayedConn) Read(b []byte) (int, error) { return c.reader.Read(b) }

// Write implements net.Conn.
func (c *delayedConn) Write(b []byte) (int, error) {
	if err := c.pass(c.outgoing, b); err != nil {
		return 0, err
	}
	return len(b), nil
}

// Close implements net.Conn.
func (c *delayedConn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		_ = c.Conn.Close()
		_ = c.reader.Close()
		_ = c.writer.Close()
	})
	return nil
}
