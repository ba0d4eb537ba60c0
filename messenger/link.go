package messenger

// This file defines Link, one long-lived stream of frames between the leader and
// another process. One goroutine batches the queued frames into few writes. A link
// is closed when its queue is full, when a write takes longer than
// linkWriteTimeout, or when no frame arrives within LinkTimeout.

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"

	"persimmonvalve/internal/wire"
)

// Limits and intervals of a link.
const (
	linkQueueFrames  = 4096                   // frames waiting to be written; one more closes the link
	linkWriteTimeout = 2 * time.Second        // of one write
	linkBufferBytes  = 16 << 10               // size of the read and write buffers
	maxGreetingBytes = 16 << 10               // of the frames before a leader is accepted
	LinkTimeout      = 2 * time.Second        // time without a frame after which a link is closed
	PingInterval     = 500 * time.Millisecond // between two pings of the leader
)

// Link is one stream of frames. It is safe for concurrent use.
type Link struct {
	session       *yamux.Session
	stream        net.Conn
	outgoing      chan *wire.LinkFrame
	done          chan struct{}
	closeOnce     sync.Once
	maxFrameBytes int64        // of a received frame; owned by the goroutine of Run
	lastFrameAt   atomic.Int64 // time of the last received frame in nanoseconds since clockBase; at first, of the link's opening
}

// clockBase is the origin of Link.lastFrameAt, which is monotonic.
var clockBase = time.Now()

// DialFunc opens a connection to another process.
type DialFunc func(ctx context.Context, address netip.AddrPort) (net.Conn, error)

// DialTCP opens a connection over TCP.
func DialTCP(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address.String())
	return conn, Error.Wrap(err)
}

// OpenLink opens a link to the address.
func OpenLink(ctx context.Context, dial DialFunc, address netip.AddrPort) (*Link, error) {
	conn, err := dial(ctx, address)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	session, err := yamux.Client(conn, linkConfig())
	if err != nil {
		_ = conn.Close()
		return nil, Error.Wrap(err)
	}
	stream, err := session.Open()
	if err != nil {
		_ = session.Close()
		return nil, Error.Wrap(err)
	}
	return newLink(session, stream, MaxFrameBytes), nil
}

// accept waits at most LinkTimeout for the peer to open a link on the connection. Further streams
// on it are refused.
func accept(conn net.Conn) (*Link, error) {
	config := linkConfig()
	config.AcceptBacklog = 1
	session, err := yamux.Server(conn, config)
	if err != nil {
		_ = conn.Close()
		return nil, Error.Wrap(err)
	}
	timer := time.AfterFunc(LinkTimeout, func() { _ = session.Close() })
	defer timer.Stop()
	stream, err := session.Accept()
	if err != nil {
		_ = session.Close()
		return nil, Error.Wrap(err)
	}
	return newLink(session, stream, maxGreetingBytes), nil
}

func linkConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	config.EnableKeepAlive = false // links have their own pings
	config.ConnectionWriteTimeout = linkWriteTimeout
	config.LogOutput = io.Discard // the owner of a link logs its end
	return config
}

func newLink(session *yamux.Session, stream net.Conn, maxFrameBytes int64) *Link {
	l := &Link{session: session, stream: stream, maxFrameBytes: maxFrameBytes, outgoing: make(chan *wire.LinkFrame, linkQueueFrames), done: make(chan struct{})}
	l.lastFrameAt.Store(int64(time.Since(clockBase)))
	return l
}

// Run reads and writes frames until the link ends, and returns the reason. It
// calls handle for each received frame, on the calling goroutine.
func (l *Link) Run(handle func(*wire.LinkFrame)) error {
	defer l.Close()
	go func() {
		defer l.Close()
		l.write()
	}()
	reader := bufio.NewReaderSize(l.stream, linkBufferBytes)
	for {
		if err := l.stream.SetReadDeadline(time.Now().Add(LinkTimeout)); err != nil {
			return Error.Wrap(err)
		}
		f := &wire.LinkFrame{}
		options := protodelim.UnmarshalOptions{MaxSize: l.maxFrameBytes}
		if err := options.UnmarshalFrom(reader, f); err != nil {
			return Error.Wrap(err)
		}
		l.lastFrameAt.Store(int64(time.Since(clockBase)))
		handle(f)
	}
}

// write writes queued frames until the link ends. It flushes its buffer when the
// queue is empty. A frame that can't be encoded is dropped, so that it doesn't end the
// link for the others; Flush returns the errors of the stream.
func (l *Link) write() {
	writer := bufio.NewWriterSize(l.stream, linkBufferBytes)
	for {
		select {
		case f := <-l.outgoing:
			_, _ = protodelim.MarshalTo(writer, f)
		case <-l.done:
			return
		}
		for more := true; more; {
			select {
			case f := <-l.outgoing:
				_, _ = protodelim.MarshalTo(writer, f)
			default:
				more = false
			}
		}
		if err := l.stream.SetWriteDeadline(time.Now().Add(linkWriteTimeout)); err != nil {
			return
		}
		if err := writer.Flush(); err != nil {
			return
		}
	}
}

// Send queues a frame. It reports false if the link has ended. If the queue is
// full, it closes the link and reports false.
func (l *Link) Send(f *wire.LinkFrame) bool {
	select {
	case <-l.done:
		return false
	default:
	}
	select {
	case l.outgoing <- f:
		return true
	default:
		l.Close()
		return false
	}
}

// SilentFor returns the time since the last received frame, or since the link was
// opened.
func (l *Link) SilentFor() time.Duration {
	return time.Since(clockBase) - time.Duration(l.lastFrameAt.Load())
}

// Close closes the link.
func (l *Link) Close() {
	l.closeOnce.Do(func() {
		close(l.done)
		_ = l.session.Close()
	})
}

func (l *Link) isClosed() bool {
	select {
	case <-l.done:
		return true
	default:
		return false
	}
}

// Done returns a channel that is closed when the link has ended.
func (l *Link) Done() <-chan struct{} { return l.done }
