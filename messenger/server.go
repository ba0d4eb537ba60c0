package messenger

// This file defines Server, the answering side. Its graceful stop refuses new
// calls and waits for those in progress.

import (
	"context"
	"net"
	"sync"

	"github.com/hashicorp/yamux"
	"go.uber.org/zap"

	"persimmonvalve/internal/wire"
)

// Handler returns the reply to a frame, or nil to send none.
type Handler func(ctx context.Context, f *wire.Frame) *wire.Frame

// Server answers calls on a listener.
type Server struct {
	listener net.Listener
	handler  Handler
	mu       sync.Mutex
	sessions map[*yamux.Session]bool
	stopping bool
	calls    sync.WaitGroup
	cancel   context.CancelFunc
}

// NewServer starts to answer calls on the listener.
func NewServer(listener net.Listener, logger *zap.Logger, handler Handler) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{listener: listener, handler: handler, sessions: map[*yamux.Session]bool{}, cancel: cancel}
	go func() {
		acceptAll(listener, logger, func(conn net.Conn) { s.serve(ctx, conn) })
	}()
	return s
}

// Address returns the listener's address.
func (s *Server) Address() net.Addr { return s.listener.Addr() }

func (s *Server) serve(ctx context.Context, conn net.Conn) {
	session, err := yamux.Server(conn, sessionConfig())
	if err != nil {
		_ = conn.Close()
		return
	}
	if !s.addSession(session) {
		_ = session.Close()
		return
	}
	go func() {
		defer s.removeSession(session)
		for {
			stream, err := session.Accept()
			if err != nil {
				return
			}
			if !s.beginCall() {
				_ = stream.Close() // the caller's read fails, so it sees an unanswered call
				continue
			}
			go func() {
				defer s.calls.Done()
				s.handleCall(ctx, stream)
			}()
		}
	}()
}

func (s *Server) handleCall(ctx context.Context, stream net.Conn) {
	defer stream.Close()
	f := &wire.Frame{}
	if err := Read(stream, f); err != nil {
		return
	}
	if reply := s.handler(ctx, f); reply != nil {
		_ = Write(stream, reply) // on an error the caller gets no reply: its read fails or times out
	}
}

// beginCall counts a call as in progress. It reports false while the server stops.
func (s *Server) beginCall() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return false
	}
	s.calls.Add(1)
	return true
}

func (s *Server) addSession(session *yamux.Session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return false
	}
	s.sessions[session] = true
	return true
}

func (s *Server) removeSession(session *yamux.Session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, session)
	_ = session.Close()
}

// Stop refuses new sessions and calls, waits for the calls in progress until ctx
// is done, and then closes all sessions. It returns an error if ctx was done first.
func (s *Server) Stop(ctx context.Context) error {
	s.mu.Lock()
	s.stopping = true
	s.mu.Unlock()
	_ = s.listener.Close()
	drained := make(chan struct{})
	go func() {
		s.calls.Wait()
		close(drained)
	}()
	var err error
	select {
	case <-drained:
	case <-ctx.Done():
		err = Error.Wrap(ctx.Err())
	}
	s.cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	for session := range s.sessions {
		_ = session.Close()
	}
	return err
}
