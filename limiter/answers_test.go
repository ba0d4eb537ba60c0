package limiter

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
)

// The server of these tests answers /large with more than the buffers of a connection hold, /slow
// with what a slow caller takes in some seconds, and /wait once the caller has gone.
const (
	largeAnswerBytes = 4 << 20
	slowAnswerBytes  = 128 << 10
)

// smallBuffers is a listener whose connections have small buffers for sending.
type smallBuffers struct{ net.Listener }

func (l smallBuffers) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(4096)
	}
	return c, err
}

// startServer serves within the settings and returns the address, and the number of requests in
// progress.
func startServer(t *testing.T, s Settings) (address string, inProgress *atomic.Int64) {
	t.Helper()
	l := New(s, zap.NewNop(), prometheus.NewRegistry())
	inProgress = &atomic.Int64{}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		inProgress.Add(1)
		defer inProgress.Add(-1)
		switch r.URL.Path {
		case "/large":
			_, _ = w.Write(bytes.Repeat([]byte("x"), largeAnswerBytes))
		case "/slow":
			_, _ = w.Write(bytes.Repeat([]byte("x"), slowAnswerBytes))
		case "/wait":
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		}
	})}
	l.Configure(server)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(l.Listener(smallBuffers{inner})) }()
	t.Cleanup(func() { _ = server.Close() })
	return inner.Addr().String(), inProgress
}

// occupy opens connections that send a request each and read nothing, and waits until all are in
// progress.
func occupy(t *testing.T, address string, inProgress *atomic.Int64, count int, request string) []net.Conn {
	t.Helper()
	var out []net.Conn
	for range count {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		_ = conn.(*net.TCPConn).SetReadBuffer(4096)
		if _, err := io.WriteString(conn, request); err != nil {
			t.Fatal(err)
		}
		out = append(out, conn)
	}
	for end := time.Now().Add(5 * time.Second); inProgress.Load() < int64(count); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("got %d requests in progress, want %d", inProgress.Load(), count)
		}
	}
	return out
}

// isServed reports whether a newcomer's request is answered before the deadline, and tries again
// after each connection that is closed.
func isServed(address string, deadline time.Time) bool {
	for ; time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			continue
		}
		_ = conn.SetDeadline(deadline)
		_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		_ = conn.Close()
		if err == nil && response.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// All connections have an answer that nobody reads, or a read in progress: a newcomer takes the
// place of one of them. It doesn't take that of a request that may change something.
func TestNewcomersBesideOccupiedConnections(t *testing.T) {
	for name, c := range map[string]struct {
		request string
		want    bool
	}{
		"unread answers":      {"GET /large HTTP/1.1\r\nHost: a\r\n\r\n", true},
		"unread, may change":  {"POST /large HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n", true},
		"reads that wait":     {"GET /wait HTTP/1.1\r\nHost: a\r\n\r\n", true},
		"unread bodies":       {"POST /ignored HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{", true},
		"changes in progress": {"POST /wait HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}", false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const connections = 20
			address, inProgress := startServer(t, NewSettings(64<<20, connections, DefaultBodyTimeout))
			if strings.Contains(c.request, "/ignored") {
				for range connections { // the handler doesn't wait, so there is none in progress
					conn, err := net.Dial("tcp", address)
					if err != nil {
						t.Fatal(err)
					}
					t.Cleanup(func() { _ = conn.Close() })
					_, _ = io.WriteString(conn, c.request)
				}
				time.Sleep(minTenure)
			} else {
				occupy(t, address, inProgress, connections, c.request)
			}
			if got := isServed(address, time.Now().Add(3*stalledGrace)); got != c.want {
				t.Errorf("got a newcomer served: %t, want %t", got, c.want)
			}
		})
	}
}

// An answer that nobody takes ends its connection; one that is taken slowly doesn't.
func TestAnswerTimeout(t *testing.T) {
	t.Parallel()
	s := NewSettings(64<<20, 20, DefaultBodyTimeout)
	s.AnswerTimeout = time.Second
	address, inProgress := startServer(t, s)
	occupy(t, address, inProgress, 10, "GET /large HTTP/1.1\r\nHost: a\r\n\r\n")
	for end := time.Now().Add(5 * time.Second); inProgress.Load() > 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("got %d unread answers left, want none", inProgress.Load())
		}
	}
	slow := occupy(t, address, inProgress, 1, "GET /slow HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")[0]
	response, err := http.ReadResponse(bufio.NewReader(slow), nil)
	if err != nil {
		t.Fatal(err)
	}
	got, began := int64(0), time.Now()
	for n := int64(1); n > 0; got += n {
		time.Sleep(20 * time.Millisecond)
		n, _ = io.CopyN(io.Discard, response.Body, 2048) // the length shows an answer that is cut off
	}
	if took := time.Since(began); got != slowAnswerBytes || took < 2*s.AnswerTimeout {
		t.Errorf("got %d bytes of an answer that is read slowly, in %v, want %d in at least twice the timeout", got, took, int64(slowAnswerBytes))
	}
}

// Callers that come back at once and send nothing don't keep a newcomer from sending its request.
func TestNewcomerBesideReturningCallers(t *testing.T) {
	t.Parallel()
	const connections = 20
	address, _ := startServer(t, NewSettings(64<<20, connections, DefaultBodyTimeout))
	gone := make(chan struct{})
	var callers sync.WaitGroup
	for range 5 * connections {
		callers.Go(func() {
			for {
				select {
				case <-gone:
					return
				default:
				}
				conn, err := net.Dial("tcp", address)
				if err != nil {
					continue
				}
				_ = conn.SetReadDeadline(time.Now().Add(time.Second))
				_, _ = conn.Read(make([]byte, 1)) // ends when the connection is closed
				_ = conn.Close()
			}
		})
	}
	time.Sleep(minTenure)
	for range 5 {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(minTenure / 4) // the request is on its way
		_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		if response, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || response.StatusCode != http.StatusOK {
			t.Errorf("got %v for a newcomer's request, want it answered", err)
		}
		_ = conn.Close()
	}
	close(gone)
	callers.Wait()
}
