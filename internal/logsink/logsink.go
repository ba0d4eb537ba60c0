package logsink

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	maxBufferBytes = 1 << 20               // maximum size of the buffered lines in bytes
	writeDelay     = 50 * time.Millisecond // time for which lines are collected before a write
)

// Sink is a buffered log output; it implements zapcore.WriteSyncer. It is safe for
// concurrent use.
type Sink struct {
	out     io.Writer
	dropped atomic.Int64

	mu      sync.Mutex
	buffer  []byte // lines that are not written yet
	spare   []byte // buffer of the last write, to be reused
	wake    chan struct{}
	writeMu sync.Mutex // held while writing to out
}

// New returns a sink that writes to out on its own goroutine.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, wake: make(chan struct{}, 1)}
	go func() {
		for range s.wake {
			time.Sleep(writeDelay)
			s.flush()
		}
	}()
	return s
}

// Write adds a line to the buffer. It never fails and never waits for the output.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	fits := len(s.buffer)+len(line) <= maxBufferBytes
	if fits {
		s.buffer = append(s.buffer, line...)
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

// Sync writes the buffered lines to the output. Programs call it before they exit.
func (s *Sink) Sync() error { return s.flush() }

// Dropped returns the number of lines dropped because the buffer was full.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

func (s *Sink) flush() error {
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	s.mu.Lock()
	lines := s.buffer
	s.buffer, s.spare = s.spare[:0], lines
	s.mu.Unlock()
	if len(lines) == 0 {
		return nil
	}
	_, err := s.out.Write(lines)
	return err
}
