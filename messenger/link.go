package messenger

// This file defines a link: one stream of frames between the leader and another
// process, for as long as both live. Frames are written by one goroutine, which
// gathers what is waiting into one write. A peer that doesn't read, or says
// nothing for too long, loses its link.

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

// Bounds of a link.
const (
	linkQueue        = 4096            // frames that wait to be written; a peer further behind is cut off
	linkWriteTimeout = 2 * time.Second // of one write
	linkBuffer       = 16 << 10        // bytes gathered into one write
	LinkTimeout      = 2 * time.Second // without a frame the link is taken to be dead
	PingInterval     = 500 * time.Millisecond
)

// Link is one stream of frames. It is safe for concurrent use.
type Link struct {
	session *yamux.Session
	stream  net.Conn
	out     chan *wire.LinkFrame
	done    chan struct{}
	once    sync.Once
	heard   atomic.Int64 // Unix nanoseconds of the steady clock's base plus the time of the last frame
}

var linkBase = time.Now()

// DialFunc opens a connection to another process.
type DialFunc func(ctx context.Context, address netip.AddrPort) (net.Conn, error)

// DialTCP opens a connection over TCP.
func DialTCP(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address.String())
	return conn, Error.Wrap(err)
}

// OpenLink opens a link.
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
	return newLink(session, stream), nil
}

// accept takes the link that the other side of a connection opens.
func accept(conn net.Conn) (*Link, error) {
	session, err := yamux.Server(conn, linkConfig())
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
	return newLink(session, stream), nil
}

func linkConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	config.EnableKeepAlive = false // links have their own pings
	config.ConnectionWriteTimeout = linkWriteTimeout
	config.LogOutput = io.Discard // a broken link is logged by its owner
	return config
}

func newLink(session *yamux.Session, stream net.Conn) *Link {
	l := &Link{session: session, stream: stream, out: make(chan *wire.LinkFrame, linkQueue), done: make(chan struct{})}
	l.heard.Store(int64(time.Since(linkBase)))
	return l
}

// Run reads and writes frames until the link ends, and says why it ended. The
// handler is called by one goroutine at a time.
func (l *Link) Run(handle func(*wire.LinkFrame)) error {
	defer l.Close()
	go func() {
		defer l.Close()
		l.write()
	}()
	reader := bufio.NewReaderSize(l.stream, linkBuffer)
	for {
		if err := l.stream.SetReadDeadline(time.Now().Add(LinkTimeout)); err != nil {
			return Error.Wrap(err)
		}
		f := &wire.LinkFrame{}
		if err := readOptions.UnmarshalFrom(reader, f); err != nil {
			return Error.Wrap(err)
		}
		l.heard.Store(int64(time.Since(linkBase)))
		handle(f)
	}
}

func (l *Link) write() {
	writer := bufio.NewWriterSize(l.stream, linkBuffer)
	for {
		select {
		case f := <-l.out:
			if _, err := protodelim.MarshalTo(writer, f); err != nil {
				return
			}
		case <-l.done:
			return
		}
		for more := true; more; {
			select {
			case f := <-l.out:
				if _, err := protodelim.MarshalTo(writer, f); err != nil {
					return
				}
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

// Send queues a frame. It reports false, and ends the link, when the peer is
// too far behind.
func (l *Link) Send(f *wire.LinkFrame) bool {
	select {
	case <-l.done:
		return false
	default:
	}
	select {
	case l.out <- f:
		return true
	default:
		l.Close()
		return false
	}
}

// SilentFor returns the time since the last frame.
func (l *Link) SilentFor() time.Duration { return time.Since(linkBase) - time.Duration(l.heard.Load()) }

// Close ends the link.
func (l *Link) Close() {
	l.once.Do(func() {
		close(l.done)
		_ = l.session.Close()
	})
}

func (l *Link) ended() bool {
	select {
	case <-l.done:
		return true
	default:
		return false
	}
}

// Done is closed when the link has ended.
func (l *Link) Done() <-chan struct{} { return l.done }
