package meter

import (
	"context"
	"net"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
)

// Meter counts the bytes sent and received on connections. A nil *Meter counts nothing.
type Meter struct {
	sent, received atomic.Int64
}

// New returns a meter whose counters are registered with the given kind of traffic as
// label.
func New(r prometheus.Registerer, kind string) *Meter {
	m := &Meter{}
	for direction, n := range map[string]*atomic.Int64{"sent": &m.sent, "received": &m.received} {
		r.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace: "pvalve", Name: "traffic_bytes_total", Help: "Bytes on connections, by kind of traffic and direction.",
			ConstLabels: prometheus.Labels{"kind": kind, "direction": direction},
		}, func() float64 { return float64(n.Load()) }))
	}
	return m
}

// Conn returns a connection that counts the bytes of c.
func (m *Meter) Conn(c net.Conn) net.Conn {
	if m == nil {
		return c
	}
	return &conn{Conn: c, meter: m}
}

// Listener returns a listener that counts the bytes of the connections it accepts.
func (m *Meter) Listener(l net.Listener) net.Listener { return &listener{Listener: l, meter: m} }

// Dial opens a TCP connection whose bytes are counted.
func (m *Meter) Dial(ctx context.Context, d *net.Dialer, address string) (net.Conn, error) {
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return m.Conn(c), nil
}

type conn struct {
	net.Conn
	meter *Meter
}

func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.meter.received.Add(int64(n))
	return n, err
}

func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.meter.sent.Add(int64(n))
	return n, err
}

type listener struct {
	net.Listener
	meter *Meter
}

func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.meter.Conn(c), nil
}
