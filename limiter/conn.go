package limiter

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"
)

// phase is the phase of a connection's request.
type phase int

const (
	phaseIdle     phase = iota // no byte of the next request has arrived
	phaseHead                  // its head is being read
	phaseBody                  // its body is being read
	phaseHandling              // it has been read, or doesn't have to be
)

// conn is a connection of a server. The fields below the first two are guarded by Limiter.mu.
type conn struct {
	net.Conn
	limiter *Limiter

	phase phase
	since time.Time // when the request began, or the connection became idle
	held  int64     // memory counted for the request
}

// Read implements net.Conn. It counts what is read towards the budget.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.count(int64(n), time.Now())
	}
	return n, err
}

func (c *conn) count(bytes int64, now time.Time) {
	l := c.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.conns[c] {
		return // it has been closed
	}
	switch c.phase {
	case phaseIdle:
		c.phase, c.since = phaseHead, now
		l.charge(c, headCost*bytes, now)
	case phaseHead:
		l.charge(c, headCost*bytes, now)
	case phaseBody:
		l.charge(c, bodyCost*bytes, now)
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.limiter.mu.Lock()
	c.limiter.forget(c)
	c.limiter.mu.Unlock()
	return c.Conn.Close()
}

// begin marks the head of the connection's request as read.
func (c *conn) begin(hasBody bool) {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.phase = phaseHandling
	if hasBody {
		c.phase = phaseBody
	}
}

// bodyRead marks the request as read.
func (c *conn) bodyRead() {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.phase = phaseHandling
}

// end marks the request as handled. What was read beyond it belongs to the next one.
func (c *conn) end(now time.Time) {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.limiter.release(c)
	c.phase, c.since = phaseIdle, now
}

type connKey struct{}

// withConn keeps the connection in the context of its requests.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// track returns a handler that tells the limiter how far a request is, and bounds the time for
// reading its body.
func (l *Limiter) track(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok {
			h.ServeHTTP(w, r)
			return
		}
		hasBody := r.Body != nil && r.Body != http.NoBody
		c.begin(hasBody)
		if hasBody {
			_ = c.SetReadDeadline(time.Now().Add(l.settings.BodyTimeout)) // fails only on a closed connection
			r.Body = &body{ReadCloser: r.Body, conn: c}
		}
		defer func() { c.end(time.Now()) }()
		h.ServeHTTP(w, r)
	})
}

// body is the body of a request.
type body struct {
	io.ReadCloser
	conn *conn
	read bool // to its end
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && !b.read {
		b.read = true
		b.conn.bodyRead()
		_ = b.conn.SetReadDeadline(time.Time{}) // the server goes on to watch for the caller's disconnect
	}
	return n, err
}
