package messenger

// This file defines the answering side. A graceful stop takes no new calls and
// waits for those in progress.

import (
	"context"
	"net"
	"sync"

	"github.com/hashicorp/yamux"

	"persimmonvalve/internal/wire"
)

// Handler answers one frame. It returns nil to answer nothing.
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
func NewServer(listener net.Listener, handler Handler) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{listener: listener, handler: handler, sessions: map[*yamux.Session]bool{}, cancel: cancel}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return // closed by Stop
			}
			s.serve(ctx, conn)
		}
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
	if !s.add(session) {
		_ = session.Close()
		return
	}
	go func() {
		defer s.remove(session)
		for {
			stream, err := session.Accept()
			if err != nil {
				return
			}
			if !s.begin() {
				_ = stream.Close() // the caller sees it as not answered
				continue
			}
			go func() {
				defer s.calls.Done()
				s.answer(ctx, stream)
			}()
		}
	}()
}

func (s *Server) answer(ctx context.Context, stream net.Conn) {
	defer stream.Close()
	f := &wire.Frame{}
	if err := Read(stream, f); err != nil {
		return
	}
	if reply := s.handler(ctx, f); reply != nil {
		_ = Write(stream, reply) // the caller's deadline decides if this fails
	}
}

func (s *Server) begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return false
	}
	s.calls.Add(1)
	return true
}

func (s *Server) add(session *yamux.Session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return false
	}
	s.sessions[session] = true
	return true
}

func (s *Server) remove(session *yamux.Session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, session)
	_ = session.Close()
}

// Stop takes no new sessions and calls, waits for the calls in progress until
// ctx is done, and closes the sessions.
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
