package pipenet

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
)

// Bubble runs a test in a synctest bubble, which has its own fake clock. The library
// yamux keeps timers in a pool of the process, and a timer of an earlier bubble
// can't be used in a later one; two garbage collections empty the pool.
func Bubble(t *testing.T, f func(*testing.T)) {
	t.Helper()
	runtime.GC()
	runtime.GC()
	synctest.Test(t, f)
}

// Network connects simulated processes by pipes. It is safe for concurrent use.
type Network struct {
	mu        sync.Mutex
	listeners map[netip.AddrPort]*Listener
	conns     []connection
	isolated  map[string]bool // by name of the process
	lastPort  uint16          // port of the last listener
}

type connection struct {
	conn     net.Conn
	from, to string // names of the processes
}

// New returns a network without listeners.
func New() *Network {
	return &Network{listeners: map[netip.AddrPort]*Listener{}, isolated: map[string]bool{}}
}

// Listener accepts connections to one address of a process; it implements
// net.Listener.
type Listener struct {
	address netip.AddrPort
	name    string
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// Listen returns a listener of the named process on a new address.
func (n *Network) Listen(name string) *Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lastPort++
	l := &Listener{
		address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), n.lastPort), name: name,
		conns: make(chan net.Conn), closed: make(chan struct{}),
	}
	n.listeners[l.address] = l
	return l
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.address) }

// Address returns the listener's address.
func (l *Listener) Address() netip.AddrPort { return l.address }

var (
	errNoAddress = errors.New("no listener on this address")
	errRefused   = errors.New("connection refused")
)

// Dialer returns the dial function of the named process. Between an isolated process
// and others it blocks until the context is done.
func (n *Network) Dialer(from string) func(context.Context, netip.AddrPort) (net.Conn, error) {
	return func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
		n.mu.Lock()
		l, ok := n.listeners[address]
		isolated := ok && (n.isolated[from] || n.isolated[l.name]) && from != l.name
		n.mu.Unlock()
		if !ok {
			return nil, errNoAddress
		}
		if isolated {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		client, server := net.Pipe()
		select {
		case l.conns <- server:
		case <-l.closed:
			return nil, errRefused
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		n.mu.Lock()
		defer n.mu.Unlock()
		n.conns = append(n.conns, connection{client, from, l.name})
		return client, nil
	}
}

// CloseConnections closes all connections; processes may connect again.
func (n *Network) CloseConnections() { n.closeMatching(func(connection) bool { return true }) }

// Isolate closes all connections between a process and others and blocks new ones.
// With isolate false it allows connections again.
func (n *Network) Isolate(name string, isolate bool) {
	n.mu.Lock()
	n.isolated[name] = isolate
	n.mu.Unlock()
	if isolate {
		n.closeMatching(func(c connection) bool { return (c.from == name) != (c.to == name) })
	}
}

// Kill closes all listeners and connections of a process.
func (n *Network) Kill(name string) {
	n.mu.Lock()
	for _, l := range n.listeners {
		if l.name == name {
			_ = l.Close()
		}
	}
	n.mu.Unlock()
	n.closeMatching(func(c connection) bool { return c.from == name || c.to == name })
}

func (n *Network) closeMatching(match func(connection) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	var kept []connection
	for _, c := range n.conns {
		if match(c) {
			_ = c.conn.Close()
		} else {
			kept = append(kept, c)
		}
	}
	n.conns = kept
}
