package messenger

// This file defines the calling side: a session for each address, opened on
// the first call and again after it broke.

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
	mu    sync.Mutex // held while dialling
	yamux *yamux.Session
}

// dialTimeout bounds the opening of a session.
const dialTimeout = 2 * time.Second

// NewClient returns a client over TCP, counted by the meter, which may be nil.
func NewClient(m *meter.Meter) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return NewClientWith(func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
		return m.Dial(ctx, dialer, address.String())
	})
}

// NewClientWith returns a client over connections that dial opens.
func NewClientWith(dial func(context.Context, netip.AddrPort) (net.Conn, error)) *Client {
	return &Client{dial: dial, sessions: map[netip.AddrPort]*session{}}
}

// Call sends a frame and returns the reply. When it fails, sent says whether
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

func (c *Client) open(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	s := c.session(address)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.yamux != nil && !s.yamux.IsClosed() {
		if stream, err := s.yamux.Open(); err == nil {
			return stream, nil
		}
		_ = s.yamux.Close() // the peer has gone away; a new session decides
	}
	conn, err := c.dial(ctx, address)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	s.yamux, err = yamux.Client(conn, sessionConfig())
	if err != nil {
		return nil, Error.Wrap(err)
	}
	stream, err := s.yamux.Open()
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

// Keep closes the sessions with addresses that are no longer wanted.
func (c *Client) Keep(wanted map[netip.AddrPort]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, s := range c.sessions {
		if wanted[address] || !s.mu.TryLock() {
			continue
		}
		if s.yamux != nil && s.yamux.NumStreams() == 0 {
			_ = s.yamux.Close()
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
		if s.yamux != nil {
			_ = s.yamux.Close()
		}
		s.mu.Unlock()
	}
	c.sessions = map[netip.AddrPort]*session{}
	return nil
}

// Session intervals. Calls have their own deadlines; the keepalive only finds
// sessions whose peer has vanished.
const (
	keepAlive    = 10 * time.Second
	writeTimeout = 5 * time.Second
	streamWindow = 256 << 10
)

func sessionConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	config.KeepAliveInterval = keepAlive
	config.ConnectionWriteTimeout = writeTimeout
	config.MaxStreamWindowSize = streamWindow
	config.LogOutput = io.Discard // a broken session shows in the calls' errors
	return config
}
