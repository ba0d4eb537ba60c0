package limiter

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
)

// largestRequest is the memory counted for a request of the largest size inside the platform's
// limits.
const largestRequest = headCost*(16<<10) + bodyCost*(256<<10)

func newTestLimiter(memoryBytes int64, connections int) *Limiter {
	return New(NewSettings(memoryBytes, connections, DefaultBodyTimeout), zap.NewNop(), prometheus.NewRegistry())
}

// fakeConn is a connection that records whether it was closed.
type fakeConn struct {
	net.Conn
	closed bool
}

func (c *fakeConn) Close() error {
	c.closed = true
	return nil
}

func (c *fakeConn) SetReadDeadline(time.Time) error { return nil }

// open admits a connection whose request has a head of headBytes and, if bodyBytes isn't 0, has
// received so much of its body.
func open(t *testing.T, l *Limiter, now time.Time, headBytes, bodyBytes int64) (*fakeConn, *conn) {
	t.Helper()
	inner := &fakeConn{}
	c, ok := l.admit(inner, now)
	if !ok {
		t.Fatal("got a connection refused, want it admitted")
	}
	if headBytes > 0 {
		c.count(headBytes, now)
	}
	if bodyBytes > 0 {
		c.enter(phaseBody)
		c.count(bodyBytes, now)
	}
	return inner, c
}

// Many large bodies stop short of their end beside ordinary requests: the large ones that have
// been held for the longest are closed, the ordinary ones never.
func TestLargeBodiesBesideOrdinaryRequests(t *testing.T) {
	l := newTestLimiter(64<<20, 1000)
	now := time.Now()
	var large []*fakeConn
	var ordinary []*fakeConn
	for range 100 {
		now = now.Add(20 * time.Millisecond)
		inner, _ := open(t, l, now, 200, 261000)
		large = append(large, inner)
		now = now.Add(20 * time.Millisecond)
		inner, _ = open(t, l, now, 200, 1200)
		ordinary = append(ordinary, inner)
		if limit := l.settings.BudgetBytes + l.settings.BudgetBytes/reserveShare; l.held > limit {
			t.Fatalf("got %d bytes held, want at most %d", l.held, limit)
		}
	}
	for i, c := range ordinary {
		if c.closed {
			t.Errorf("got ordinary request %d closed, want it kept", i)
		}
	}
	if !large[0].closed || large[len(large)-1].closed {
		t.Errorf("got the first large body closed: %t, and the last: %t; want true and false", large[0].closed, large[len(large)-1].closed)
	}
}

// Requests that are being handled are never closed, however much they hold. Ordinary callers are
// still admitted beside them.
func TestHandledRequestsAreKept(t *testing.T) {
	l := newTestLimiter(16<<20, 1000)
	now := time.Now()
	var handled []*fakeConn
	for l.held+largestRequest <= l.settings.BudgetBytes {
		inner, c := open(t, l, now, 16<<10, 256<<10)
		c.begin(false)
		handled = append(handled, inner)
	}
	ordinary, _ := open(t, l, now, 200, 1200)
	greedy, _ := open(t, l, now, 16<<10, 256<<10)
	for _, c := range append(handled, ordinary) {
		if c.closed {
			t.Error("got a request closed that is handled or small, want it kept")
		}
	}
	if !greedy.closed {
		t.Error("got a further large request kept beyond the budget, want it closed")
	}
}

// One request of the largest size inside the limits is served in calm on the smallest machine.
func TestLargestRequestInCalm(t *testing.T) {
	l := newTestLimiter(1, DefaultMaxConnections)
	inner, c := open(t, l, time.Now(), 16<<10, 256<<10)
	if inner.closed || l.held != largestRequest {
		t.Errorf("got closed %t with %d bytes held, want it open with %d", inner.closed, l.held, largestRequest)
	}
	c.end(time.Now())
	if l.held != 0 {
		t.Errorf("got %d bytes held after the request, want 0", l.held)
	}
}

// Connections that send nothing, or stop within a head, fill the limit: a newcomer takes the
// place of the oldest, and none that is handled loses its own.
func TestIdleConnectionsAtTheLimit(t *testing.T) {
	l := newTestLimiter(64<<20, 4)
	now := time.Now()
	handled, c := open(t, l, now, 200, 0)
	c.begin(false)
	idle, _ := open(t, l, now.Add(time.Millisecond), 0, 0)
	stopped, _ := open(t, l, now.Add(2*time.Millisecond), 200, 0)
	open(t, l, now.Add(3*time.Millisecond), 0, 0)
	open(t, l, now.Add(4*time.Millisecond), 0, 0)
	if !idle.closed || stopped.closed {
		t.Errorf("got the oldest idle connection closed: %t, a request that has just begun: %t; want true and false", idle.closed, stopped.closed)
	}
	open(t, l, now.Add(2*stalledGrace), 0, 0)
	if !stopped.closed || handled.closed {
		t.Errorf("got an incomplete request closed: %t, a handled one: %t; want true and false", stopped.closed, handled.closed)
	}
	if len(l.conns) != 4 {
		t.Errorf("got %d connections, want 4", len(l.conns))
	}
}

// Callers that send one request after the other fill the limit: a newcomer whose first request is
// still on its way doesn't give its place up to the next newcomer.
func TestNewcomerBesideBusyCallers(t *testing.T) {
	l := newTestLimiter(64<<20, 3)
	now := time.Now()
	newcomer, _ := open(t, l, now, 0, 0)
	var busy []*fakeConn
	for i := range 2 {
		inner, c := open(t, l, now, 200, 0)
		c.begin(false)
		c.end(now.Add(time.Duration(i+1) * time.Millisecond))
		busy = append(busy, inner)
	}
	open(t, l, now.Add(10*time.Millisecond), 0, 0)
	if newcomer.closed || !busy[0].closed || busy[1].closed {
		t.Errorf("got the newcomer closed: %t, the caller that has been idle for longer: %t, the other: %t; want false, true and false", newcomer.closed, busy[0].closed, busy[1].closed)
	}
}

// If all connections have a request in progress, a newcomer is refused.
func TestAllConnectionsHandled(t *testing.T) {
	l := newTestLimiter(64<<20, 2)
	for range 2 {
		_, c := open(t, l, time.Now(), 200, 0)
		c.begin(false)
	}
	if _, ok := l.admit(&fakeConn{}, time.Now()); ok {
		t.Error("got a connection admitted beyond the limit, want it refused")
	}
}

// A body that stops short of its end is given up after the body timeout, one that arrives
// slowly but in time is served, and the connection holds nothing afterwards.
func TestBodyThatStops(t *testing.T) {
	for name, c := range map[string]struct {
		pause time.Duration
		want  int
	}{"slow": {DefaultBodyTimeout - time.Second, http.StatusOK}, "stops": {DefaultBodyTimeout + time.Second, http.StatusBadRequest}} {
		synctest.Test(t, func(t *testing.T) {
			l := newTestLimiter(64<<20, 10)
			client, inner := net.Pipe()
			tracked, _ := l.admit(inner, time.Now())
			handler := l.track(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if _, err := io.ReadAll(r.Body); err != nil {
					w.WriteHeader(http.StatusBadRequest)
				}
			}))
			go func() {
				_, _ = io.WriteString(client, "x")
				time.Sleep(c.pause)
				_ = client.Close() // the end of this body
			}()
			r := httptest.NewRequest(http.MethodPost, "/", io.NopCloser(tracked))
			w := httptest.NewRecorder()
			handler.ServeHTTP(w, r.WithContext(withConn(r.Context(), tracked)))
			if w.Code != c.want || l.held != 0 {
				t.Errorf("%s: got status %d and %d bytes held, want %d and 0", name, w.Code, l.held, c.want)
			}
			_ = inner.Close()
			time.Sleep(c.pause)
		})
	}
}

// Connections take a quarter of the memory by default, and never more than the greatest default.
func TestDefaultConnections(t *testing.T) {
	for memoryMB, want := range map[int64]int{0: 2048, 1: minConnections, 64: 512, 152: 1216, 184: 1472, 536: 2048} {
		if got := NewSettings(memoryMB<<20, 0, DefaultBodyTimeout).MaxConnections; got != want {
			t.Errorf("%d MB: got %d connections, want %d", memoryMB, got, want)
		}
	}
	if got := NewSettings(64<<20, 5000, DefaultBodyTimeout).MaxConnections; got != 5000 {
		t.Errorf("got %d connections, want the 5000 that were set", got)
	}
}

// A request whose connection is closed by the limiter doesn't run, also if its last byte had
// been read by then: its caller learns that it may send it again.
func TestClosedRequestDoesNotRun(t *testing.T) {
	for name, c := range map[string]struct {
		body    string
		closing func(l *Limiter, c *conn) // before the handler runs, or within the body's last read
		within  bool
	}{
		"head":         {closing: func(l *Limiter, c *conn) { l.closeForTest(c) }},
		"body":         {body: "x", closing: func(l *Limiter, c *conn) { l.closeForTest(c) }, within: true},
		"closesItself": {body: "x", closing: func(_ *Limiter, c *conn) { c.count(32<<20, time.Now()) }, within: true},
	} {
		t.Run(name, func(t *testing.T) {
			l := newTestLimiter(64<<20, 10)
			inner := &fakeConn{}
			tracked, _ := l.admit(inner, time.Now())
			tracked.count(200, time.Now()) // the head
			r := httptest.NewRequest(http.MethodPost, "/", nil)
			if c.body != "" {
				r = httptest.NewRequest(http.MethodPost, "/", io.NopCloser(&closingReader{text: c.body, closing: func() { c.closing(l, tracked) }}))
			}
			if !c.within {
				c.closing(l, tracked)
			}
			ran := false
			handler := l.track(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				_, err := io.ReadAll(r.Body)
				ran = err == nil
			}))
			func() {
				defer func() {
					if p := recover(); p != nil && p != http.ErrAbortHandler {
						panic(p)
					}
				}()
				handler.ServeHTTP(httptest.NewRecorder(), r.WithContext(withConn(r.Context(), tracked)))
			}()
			if !inner.closed || ran {
				t.Errorf("got the connection closed: %t, and the request run: %t; want true and false", inner.closed, ran)
			}
		})
	}
}

// closeForTest closes a connection as if another one needed its memory.
func (l *Limiter) closeForTest(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.evict(time.Now(), c, reasonBudget)
}

// closingReader returns its text and the end in one read, before which closing is called.
type closingReader struct {
	text    string
	closing func()
}

func (r *closingReader) Read(p []byte) (int, error) {
	r.closing()
	return copy(p, r.text), io.EOF
}

// Whole requests beside a budget for few of them: the handler has run exactly those that are
// answered.
func TestRequestsRunOrAreClosed(t *testing.T) {
	const callers, bodyBytes = 200, 200 << 10
	l := New(NewSettings(1, 1000, DefaultBodyTimeout), zap.NewNop(), prometheus.NewRegistry())
	var mu sync.Mutex
	ran := map[string]bool{}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		mu.Lock()
		ran[r.URL.Path] = true
		mu.Unlock()
	})}
	l.Configure(server)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(l.Listener(inner)) }()
	defer server.Close()
	answered := map[string]bool{}
	var group sync.WaitGroup
	for i := range callers {
		group.Go(func() {
			path := "/" + strconv.Itoa(i)
			conn, err := net.Dial("tcp", inner.Addr().String())
			if err != nil {
				return
			}
			defer conn.Close()
			body := bytes.Repeat([]byte(" "), bodyBytes)
			head := "POST " + path + " HTTP/1.1\r\nHost: a\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n"
			_, _ = io.WriteString(conn, head)
			_, _ = conn.Write(body)
			if response, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil && response.StatusCode == http.StatusOK {
				mu.Lock()
				answered[path] = true
				mu.Unlock()
			}
		})
	}
	group.Wait()
	t.Logf("%d of %d requests answered", len(answered), callers)
	for path := range ran {
		if !answered[path] {
			t.Errorf("got request %s run without an answer, want it either not run or answered", path)
		}
	}
}

// BenchmarkOrdinaryRequest measures what the limiter adds to a request of 1,200 bytes.
func BenchmarkOrdinaryRequest(b *testing.B) {
	body := bytes.Repeat([]byte(" "), 1200)
	read := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
	for _, limited := range []bool{false, true} {
		b.Run("limited="+strconv.FormatBool(limited), func(b *testing.B) {
			l := newTestLimiter(64<<20, 10)
			c, _ := l.admit(&fakeConn{}, time.Now())
			handler := http.Handler(read)
			if limited {
				handler = l.track(read)
			}
			r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(""))
			r = r.WithContext(withConn(r.Context(), c))
			w := httptest.NewRecorder()
			b.ReportAllocs()
			for b.Loop() {
				if limited {
					c.count(200, time.Now()) // the head, which arrives with the first read
				}
				r.Body = io.NopCloser(bytes.NewReader(body))
				handler.ServeHTTP(w, r)
				if limited {
					c.end(time.Now())
				}
			}
		})
	}
}
