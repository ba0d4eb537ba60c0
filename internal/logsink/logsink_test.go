package logsink

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"
)

// stuck is an output that takes nothing until it is released.
type stuck struct {
	release chan struct{}
	mu      sync.Mutex
	got     bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(p)
}

// An output that hangs blocks nobody; what doesn't fit is counted, and lines
// that were taken come out whole and in order.
func TestStuckOutput(t *testing.T) {
	out := &stuck{release: make(chan struct{})}
	s := New(out)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	begun := time.Now()
	const lines = 5000
	for range lines {
		if n, err := s.Write(line); n != len(line) || err != nil {
			t.Fatalf("got %d %v, want %d without error", n, err, len(line))
		}
	}
	if took := time.Since(begun); took > 2*time.Second {
		t.Errorf("got %v for writes beside a stuck output, want no wait", took)
	}
	if s.Dropped() == 0 {
		t.Error("got no dropped lines, want some")
	}
	close(out.release)
	if err := s.Sync(); err != nil {
		t.Fatal(err)
	}
	out.mu.Lock()
	defer out.mu.Unlock()
	if got, want := int64(out.got.Len()/len(line))+s.Dropped(), int64(lines); got != want {
		t.Errorf("got %d lines written or counted as dropped, want %d", got, want)
	}
	if got := out.got.Len() % len(line); got != 0 {
		t.Errorf("got a cut line of %d bytes, want whole lines", got)
	}
}
