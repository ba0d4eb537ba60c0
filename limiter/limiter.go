package limiter

import (
	"cmp"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
)

// Settings are the limits of the servers of one process.
type Settings struct {
	BudgetBytes    int64         // memory for requests that aren't handled yet
	MaxConnections int           // open connections
	MaxHeaderBytes int           // of the head of one request
	HeaderTimeout  time.Duration // for reading the head of a request
	BodyTimeout    time.Duration // for reading the body of a request, from the end of its head
	AnswerTimeout  time.Duration // for the caller to take maxWriteBytes of an answer
}

// Limits that no caller meets which stays inside the platform's limits: 16 KiB of headers and
// bodies of 256 KiB.
const (
	DefaultMaxConnections = 2048             // of a process that has the memory for them
	DefaultBodyTimeout    = 10 * time.Second // 26 KB/s for the largest body; a link of 10 Mbit/s carries it in 0.2 s
	DefaultAnswerTimeout  = 10 * time.Second // 1.6 KB/s
	maxHeaderBytes        = 32 << 10
	headerTimeout         = 5 * time.Second
	DefaultMemoryBytes    = 256 << 20 // of a process whose memory isn't known
	budgetShare           = 4         // the process's memory divided by the budget
	connectionShare       = 4         // the process's memory divided by that of connections
	connectionBytes       = 32 << 10  // of an open connection: its buffers and its goroutine
	// minBudgetBytes is the budget for several requests of the largest size.
	minBudgetBytes = 4 << 20
	minConnections = 16
)

// Memory that one byte of a request takes until it is handled. A head of many short lines takes
// the most; a body is copied as its buffer grows.
const (
	headCost = 16
	bodyCost = 3
)

// NewSettings returns the limits of a process that may use the given memory in bytes, 0 if it
// isn't known, and so many connections, 0 for as many as its memory has room for.
func NewSettings(memoryBytes int64, maxConnections int, bodyTimeout time.Duration) Settings {
	memoryBytes = cmp.Or(memoryBytes, DefaultMemoryBytes)
	room := max(minConnections, memoryBytes/connectionShare/connectionBytes)
	return Settings{
		BudgetBytes:    max(minBudgetBytes, memoryBytes/budgetShare),
		MaxConnections: cmp.Or(maxConnections, int(min(DefaultMaxConnections, room))),
		MaxHeaderBytes: maxHeaderBytes, HeaderTimeout: headerTimeout, BodyTimeout: bodyTimeout, AnswerTimeout: DefaultAnswerTimeout,
	}
}

// DefaultSettings returns the limits of a process without settings of its own.
func DefaultSettings() Settings {
	return NewSettings(DefaultMemoryBytes, 0, DefaultBodyTimeout)
}

// Limiter bounds what the connections of one process hold. It is safe for concurrent use.
type Limiter struct {
	settings Settings
	logger   *zap.Logger
	closed   *prometheus.CounterVec

	mu       sync.Mutex
	conns    map[*conn]bool
	held     int64 // by all connections, in bytes of memory
	loggedAt time.Time
	unlogged int // connections closed since the last log message
}

// New returns a limiter without connections.
func New(s Settings, logger *zap.Logger, registry prometheus.Registerer) *Limiter {
	l := &Limiter{settings: s, logger: logger, conns: map[*conn]bool{}}
	l.closed = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "pvalve", Name: "limiter_closed_total", Help: "Connections closed by the limiter, by reason."}, []string{"reason"})
	locked := func(value func() float64) func() float64 {
		return func() float64 {
			l.mu.Lock()
			defer l.mu.Unlock()
			return value()
		}
	}
	registry.MustRegister(l.closed,
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "pvalve", Name: "limiter_held_bytes", Help: "Memory counted for requests that aren't handled yet."}, locked(func() float64 { return float64(l.held) })),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "pvalve", Name: "limiter_connections", Help: "Open connections."}, locked(func() float64 { return float64(len(l.conns)) })),
	)
	return l
}

// The reasons for which a connection is closed, also values of the label "reason".
const (
	reasonBudget      = "budget"
	reasonConnections = "connections" // idle or incomplete
	reasonUnread      = "unread"      // its caller doesn't take the answer; the request may have run
	reasonSafe        = "safe"        // its request has been in progress for a while and changes nothing
	reasonNewcomer    = "newcomer"    // every other connection has a request in progress that may change something
)

// Configure sets the limits of a server and lets it tell the limiter about its connections. The
// server must be served on a listener of Listener.
func (l *Limiter) Configure(s *http.Server) {
	s.MaxHeaderBytes, s.ReadHeaderTimeout = l.settings.MaxHeaderBytes, l.settings.HeaderTimeout
	s.ConnContext = withConn
	s.ConnState = func(inner net.Conn, state http.ConnState) {
		if c, ok := inner.(*conn); ok && state == http.StateIdle { // the answer has been written
			c.end(time.Now())
		}
	}
	s.Handler = l.track(s.Handler)
}

// Listener returns a listener whose connections count towards the limits.
func (l *Limiter) Listener(inner net.Listener) net.Listener { return &listener{inner, l} }

type listener struct {
	net.Listener
	limiter *Limiter
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		l.limiter.awaitPlace()
		if c, ok := l.limiter.admit(inner, time.Now()); ok {
			return c, nil
		}
		_ = inner.Close() // the caller sees the connection end; its request was never read
	}
}

// minTenure is the time for a connection to send its request before a newcomer takes its place, and
// the longest wait of a newcomer for a place.
const minTenure = 100 * time.Millisecond

// awaitPlace waits, at most for minTenure, until there is a place for a newcomer that isn't that of
// one which has just come. Callers that come back at once would otherwise leave nobody the time to
// send a request.
func (l *Limiter) awaitPlace() {
	const step = 2 * time.Millisecond
	for range minTenure / step {
		if l.hasPlace(time.Now()) {
			return
		}
		time.Sleep(step)
	}
}

func (l *Limiter) hasPlace(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) < l.settings.MaxConnections {
		return true
	}
	victim, _ := l.leastUseful(now)
	return victim != nil && (victim.phase == phaseIdle && victim.used || now.Sub(victim.stalledSince()) >= minTenure)
}

// admit registers a connection. At the limit it closes another one for it, or refuses it if there
// is none to close.
func (l *Limiter) admit(inner net.Conn, now time.Time) (*conn, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) >= l.settings.MaxConnections {
		victim, reason := l.leastUseful(now)
		if victim == nil {
			l.countClosed(now, reason)
			return nil, false
		}
		l.evict(now, victim, reason)
	}
	c := &conn{Conn: inner, limiter: l, since: now}
	l.conns[c] = true
	return c, true
}

// leastUseful returns the connection to close when there are too many, and the reason: the oldest
// of those whose request has been incomplete, or whose answer hasn't been taken, for a while; else
// the one that has been idle for the longest time since its last request; else the oldest
// incomplete request, which may not have begun; else the oldest safe request that has been in
// progress for a while. It returns nil if all others have a request in progress that may change
// something.
func (l *Limiter) leastUseful(now time.Time) (victim *conn, reason string) {
	var incomplete, unread, idle, safe *conn
	for c := range l.conns {
		switch {
		case !c.writingSince.IsZero():
			unread = older(unread, c)
		case c.phase == phaseIdle && c.used:
			idle = older(idle, c)
		case c.phase != phaseHandling:
			incomplete = older(incomplete, c)
		case c.safe:
			safe = older(safe, c)
		}
	}
	lasts := func(c *conn) bool { return c != nil && now.Sub(c.stalledSince()) >= stalledGrace }
	switch {
	case lasts(incomplete):
		return incomplete, reasonConnections
	case lasts(unread):
		return unread, reasonUnread
	case idle != nil:
		return idle, reasonConnections
	case incomplete != nil:
		return incomplete, reasonConnections
	case lasts(safe):
		return safe, reasonSafe
	}
	return nil, reasonNewcomer
}

// older returns the connection that has been in its state for longer; a may be nil.
func older(a, b *conn) *conn {
	if a == nil || b.stalledSince().Before(a.stalledSince()) {
		return b
	}
	return a
}

// stalledSince returns when the present write began, else when the request began or the
// connection became idle.
func (c *conn) stalledSince() time.Time {
	if !c.writingSince.IsZero() {
		return c.writingSince
	}
	return c.since
}

// stalledGrace is how long a request may be incomplete, or its answer untaken, before its connection
// is closed in place of an idle one, and how long a safe request has before it gives its place up.
const stalledGrace = time.Second

// charge counts more memory for a connection's request. While the budget is short it closes the
// connections that have held the most for the longest.
func (l *Limiter) charge(c *conn, bytes int64, now time.Time) {
	c.held += bytes
	l.held += bytes
	for l.held > l.settings.BudgetBytes {
		var worst *conn
		worstCost := 0.0
		for o := range l.conns {
			if o.phase == phaseIdle || o.phase == phaseHandling || o.held == 0 {
				continue
			}
			if cost := float64(o.held) * (now.Sub(o.since) + minHoldTime).Seconds(); worst == nil || cost > worstCost {
				worst, worstCost = o, cost
			}
		}
		if worst == nil || worst.held <= smallRequest && l.held <= l.settings.BudgetBytes+l.settings.BudgetBytes/reserveShare {
			return // most is held by requests that are being handled
		}
		l.evict(now, worst, reasonBudget)
	}
}

// Requests that take up to smallRequest of memory may exceed the budget by one reserveShare-th, so
// that large ones that are being handled don't close the connections of ordinary callers.
const (
	smallRequest = 64 << 10
	reserveShare = 4
)

// minHoldTime is added to the time for which a request has been held, so that size decides among
// requests that have just begun.
const minHoldTime = 100 * time.Millisecond

// evict closes a connection, whose reads and writes then fail. Unless the reason is reasonUnread,
// no complete request of it has run or changes anything.
func (l *Limiter) evict(now time.Time, c *conn, reason string) {
	l.forget(c)
	_ = c.Conn.Close()
	l.countClosed(now, reason)
}

// forget removes a connection and what it holds.
func (l *Limiter) forget(c *conn) {
	if !l.conns[c] {
		return
	}
	delete(l.conns, c)
	l.release(c)
}

func (l *Limiter) release(c *conn) {
	l.held -= c.held
	c.held = 0
}

// logInterval is the shortest time between two log messages about closed connections.
const logInterval = time.Second

func (l *Limiter) countClosed(now time.Time, reason string) {
	l.closed.WithLabelValues(reason).Inc()
	l.unlogged++
	if now.Sub(l.loggedAt) < logInterval {
		return
	}
	l.logger.Warn("limiter: connections closed", zap.String("reason", reason), zap.Int("closed", l.unlogged), zap.Int64("heldBytes", l.held), zap.Int64("budgetBytes", l.settings.BudgetBytes), zap.Int("connections", len(l.conns)))
	l.loggedAt, l.unlogged = now, 0
}
