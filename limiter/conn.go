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
	phaseHandling              // it has been read, or doesn't have to be, and its answer hasn't been written
)

// conn is a connection of a server. The fields below the first two are guarded by Limiter.mu.
type conn struct {
	net.Conn
	limiter *Limiter

	phase        phase
	since        time.Time // when the request began, or the connection became idle
	held         int64     // memory counted for the request
	used         bool      // a request has been handled
	safe         bool      // the request changes nothing
	writingSince time.Time // when the present write began; zero if there is none
}

// Read implements net.Conn. It counts what is read towards the budget. It returns nothing of
// what was read if the limiter closes the connection, since the request could be complete.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.count(int64(n), time.Now()) {
		return 0, net.ErrClosed
	}
	return n, err
}

// count counts bytes that have been read. It reports whether the connection is still open.
func (c *conn) count(bytes int64, now time.Time) bool {
	l := c.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.conns[c] {
		return false
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
	return l.conns[c]
}

// maxWriteBytes is how much the caller has to take within the answer timeout.
const maxWriteBytes = 16 << 10

// Write implements net.Conn. It fails if the caller doesn't take what is written in time.
func (c *conn) Write(p []byte) (int, error) {
	written := 0
	for {
		n, err := c.writePart(p[written:min(len(p), written+maxWriteBytes)])
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

func (c *conn) writePart(p []byte) (int, error) {
	now := time.Now()
	c.setWriting(now)
	defer c.setWriting(time.Time{})
	if err := c.SetWriteDeadline(now.Add(c.limiter.settings.AnswerTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

func (c *conn) setWriting(since time.Time) {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.writingSince = since
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.limiter.mu.Lock()
	c.limiter.forget(c)
	c.limiter.mu.Unlock()
	return c.Conn.Close()
}

// begin marks the head of the request as read. It reports whether the connection is still open.
func (c *conn) begin(safe bool) bool {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.phase, c.safe, c.used = phaseHandling, safe, true
	return c.limiter.conns[c]
}

// enter sets the phase of the request. It reports whether the connection is still open. In
// phaseHandling, the limiter closes it only for a newcomer, and only while its answer isn't taken
// or if the request is safe.
func (c *conn) enter(p phase) bool {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.phase = p
	return c.limiter.conns[c]
}

// handled releases the memory of the request, whose answer may still have to be written. If its
// body hasn't ended, the server reads on before it writes the answer, so that the request is
// incomplete again.
func (c *conn) handled(bodyEnded bool) {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.limiter.release(c)
	if !bodyEnded {
		c.phase = phaseBody
	}
}

// end marks the request as answered. What was read beyond it belongs to the next one.
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
// reading its body. Of a request whose connection the limiter has closed, it passes on neither
// the head nor the end of the body.
func (l *Limiter) track(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok {
			h.ServeHTTP(w, r)
			return
		}
		if !c.begin(r.Method == http.MethodGet || r.Method == http.MethodHead) {
			panic(http.ErrAbortHandler) // ends the request without an answer
		}
		if r.Body == nil || r.Body == http.NoBody {
			defer c.handled(true)
		} else {
			_ = c.SetReadDeadline(time.Now().Add(l.settings.BodyTimeout)) // fails only on a closed connection
			b := &body{ReadCloser: r.Body, conn: c}
			r.Body = b
			defer func() { c.handled(b.read) }()
		}
		h.ServeHTTP(w, r)
	})
}

// body is the body of a request. A handler that doesn't read it is handling the request, one that
// does isn't until the body has ended.
type body struct {
	io.ReadCloser
	conn    *conn
	started bool // the first read has begun
	read    bool // to its end
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if !b.started {
		b.started = true
		b.conn.enter(phaseBody)
	}
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && !b.read {
		if !b.conn.enter(phaseHandling) {
			return 0, net.ErrClosed
		}
		b.read = true
		_ = b.conn.SetReadDeadline(time.Time{}) // the server goes on to watch for the caller's disconnect
	}
	return n, err
}
