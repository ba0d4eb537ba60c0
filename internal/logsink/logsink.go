package logsink

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	maxBuffer  = 1 << 20               // bytes of lines that wait
	writeEvery = 50 * time.Millisecond // lines are gathered for so long
)

// Sink implements zapcore.WriteSyncer. It is safe for concurrent use.
type Sink struct {
	out     io.Writer
	dropped atomic.Int64

	mu      sync.Mutex
	waiting []byte
	spare   []byte
	wake    chan struct{}
	writing sync.Mutex
}

// New returns a sink that writes to out from a goroutine of its own.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, wake: make(chan struct{}, 1)}
	go func() {
		for range s.wake {
			time.Sleep(writeEvery)
			s.flush()
		}
	}()
	return s
}

// Write keeps a line for later; it never fails and never waits for the output.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	fits := len(s.waiting)+len(line) <= maxBuffer
	if fits {
		s.waiting = append(s.waiting, line...)
	}
	s.mu.Unlock()
	if !fits {
		s.dropped.Add(1)
		return len(line), nil
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Sync writes what waits. Programs call it before they end.
func (s *Sink) Sync() error { return s.flush() }

// Dropped returns the number of lines that found no room.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

func (s *Sink) flush() error {
	s.writing.Lock()
	defer s.writing.Unlock()
	s.mu.Lock()
	lines := s.waiting
	s.waiting, s.spare = s.spare[:0], lines
	s.mu.Unlock()
	if len(lines) == 0 {
		return nil
	}
	_, err := s.out.Write(lines)
	return err
}
