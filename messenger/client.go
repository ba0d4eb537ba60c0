package messenger

// This file defines Client, the calling side: one yamux session per address,
// opened on the first call and reopened after a failure.

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/hashicorp/yamux"

	"persimmonvalve/internal/meter"
	"persimmonvalve/internal/wire"
)

// Client calls other processes. It is safe for concurrent use.
type Client struct {
	dial     func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
	mu       sync.Mutex
	sessions map[netip.AddrPort]*session
}

type session struct {
	mu  sync.Mutex // held while dialling and opening a stream
	mux *yamux.Session
}

// dialTimeout bounds the opening of a TCP connection.
const dialTimeout = 2 * time.Second

// NewClient returns a client over TCP. The meter counts its traffic and may be nil.
func NewClient(m *meter.Meter) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return NewClientWithDial(func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
		return m.Dial(ctx, dialer, address.String())
	})
}

// NewClientWithDial returns a client that opens its connections with dial.
func NewClientWithDial(dial func(context.Context, netip.AddrPort) (net.Conn, error)) *Client {
	return &Client{dial: dial, sessions: map[netip.AddrPort]*session{}}
}

// Call sends a frame and returns the reply. When it fails, sent reports whether
// the frame may have reached the other side.
func (c *Client) Call(ctx context.Context, address netip.AddrPort, f *wire.Frame) (reply *wire.Frame, sent bool, err error) {
	stream, err := c.open(ctx, address)
	if err != nil {
		return nil, false, err
	}
	defer stream.Close()
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Now()) })
	defer stop()
	if err := Write(stream, f); err != nil {
		return nil, true, err
	}
	reply = &wire.Frame{}
	if err := Read(stream, reply); err != nil {
		return nil, true, err
	}
	return reply, true, nil
}

// open returns a new stream to the address. It opens a new session if there is
// none that accepts streams.
func (c *Client) open(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	s := c.session(address)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mux != nil && !s.mux.IsClosed() {
		if stream, err := s.mux.Open(); err == nil {
			return stream, nil
		}
		_ = s.mux.Close() // the session accepts no more streams; open a new one
	}
	conn, err := c.dial(ctx, address)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	s.mux, err = yamux.Client(conn, sessionConfig())
	if err != nil {
		return nil, Error.Wrap(err)
	}
	stream, err := s.mux.Open()
	return stream, Error.Wrap(err)
}

func (c *Client) session(address netip.AddrPort) *session {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.sessions[address]
	if !ok {
		s = &session{}
		c.sessions[address] = s
	}
	return s
}

// CloseUnneeded closes the sessions whose address is not in needed, except those with
// calls in progress.
func (c *Client) CloseUnneeded(needed map[netip.AddrPort]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, s := range c.sessions {
		if needed[address] || !s.mu.TryLock() {
			continue
		}
		if s.mux != nil && s.mux.NumStreams() == 0 {
			_ = s.mux.Close()
			delete(c.sessions, address)
		}
		s.mu.Unlock()
	}
}

// Close closes all sessions.
func (c *Client) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.sessions {
		s.mu.Lock()
		if s.mux != nil {
			_ = s.mux.Close()
		}
		s.mu.Unlock()
	}
	c.sessions = map[netip.AddrPort]*session{}
	return nil
}

// Parameters of yamux sessions. Calls have their own deadlines; the keep-alive
// probes only detect sessions whose peer is unreachable.
const (
	keepAliveInterval    = 10 * time.Second
	writeTimeout         = 5 * time.Second
	maxStreamWindowBytes = 256 << 10
)

func sessionConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	config.KeepAliveInterval = keepAliveInterval
	config.ConnectionWriteTimeout = writeTimeout
	config.MaxStreamWindowSize = maxStreamWindowBytes
	config.LogOutput = io.Discard // the calls on a broken session return its errors
	return config
}
