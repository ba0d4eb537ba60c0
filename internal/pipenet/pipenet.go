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

// Bubble runs a test under its own paused clock. The session library pools its
// timers for the whole process, and one of an earlier bubble can't be used in a
// later; two collections empty the pool.
func Bubble(t *testing.T, f func(*testing.T)) {
	t.Helper()
	runtime.GC()
	runtime.GC()
	synctest.Test(t, f)
}

// Network connects processes by pipes. It is safe for concurrent use.
type Network struct {
	mu        sync.Mutex
	listeners map[netip.AddrPort]*Listener
	conns     []pair
	blocked   map[string]bool
	next      uint16
}

type pair struct {
	conn     net.Conn
	from, to string // names of the processes
}

// New returns a network without listeners.
func New() *Network {
	return &Network{listeners: map[netip.AddrPort]*Listener{}, blocked: map[string]bool{}}
}

// Listener accepts connections to one address.
type Listener struct {
	address netip.AddrPort
	name    string
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// Listen returns a listener of a process at a new address.
func (n *Network) Listen(name string) *Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.next++
	l := &Listener{
		address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), n.next), name: name,
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
	errNoAddress = errors.New("no such address")
	errRefused   = errors.New("connection refused")
)

// Dialer returns the dial function of a process.
func (n *Network) Dialer(from string) func(context.Context, netip.AddrPort) (net.Conn, error) {
	return func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
		n.mu.Lock()
		l, ok := n.listeners[address]
		blocked := ok && (n.blocked[from] || n.blocked[l.name]) && from != l.name
		n.mu.Unlock()
		if !ok {
			return nil, errNoAddress
		}
		if blocked {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		near, far := net.Pipe()
		select {
		case l.conns <- far:
		case <-l.closed:
			return nil, errRefused
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		n.mu.Lock()
		defer n.mu.Unlock()
		n.conns = append(n.conns, pair{near, from, l.name})
		return near, nil
	}
}

// Cut breaks all connections; processes may connect again.
func (n *Network) Cut() { n.drop(func(pair) bool { return true }) }

// Isolate breaks all connections of a process and lets it open none, until it
// is called again with false.
func (n *Network) Isolate(name string, cut bool) {
	n.mu.Lock()
	n.blocked[name] = cut
	n.mu.Unlock()
	if cut {
		n.drop(func(p pair) bool { return (p.from == name) != (p.to == name) })
	}
}

// Kill closes a process's listeners and connections for good.
func (n *Network) Kill(name string) {
	n.mu.Lock()
	for _, l := range n.listeners {
		if l.name == name {
			_ = l.Close()
		}
	}
	n.mu.Unlock()
	n.drop(func(p pair) bool { return p.from == name || p.to == name })
}

func (n *Network) drop(which func(pair) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	var kept []pair
	for _, p := range n.conns {
		if which(p) {
			_ = p.conn.Close()
		} else {
			kept = append(kept, p)
		}
	}
	n.conns = kept
}
