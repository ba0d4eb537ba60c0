package logsink

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockedWriter is an output whose writes block until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written.Write(p)
}

// A blocked output must not block the goroutines that log. Lines that don't fit in
// the buffer are counted as dropped; the others are written uncut and in order.
func TestBlockedOutput(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	s := New(out)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	started := time.Now()
	const lines = 5000
	for range lines {
		if n, err := s.Write(line); n != len(line) || err != nil {
			t.Fatalf("got %d %v, want %d without error", n, err, len(line))
		}
	}
	if took := time.Since(started); took > 2*time.Second {
		t.Errorf("got %v for writes while the output was blocked, want at most 2 s", took)
	}
	if s.Dropped() == 0 {
		t.Error("got no dropped lines, want some: the lines exceed the buffer")
	}
	close(out.release)
	if err := s.Sync(); err != nil {
		t.Fatal(err)
	}
	out.mu.Lock()
	defer out.mu.Unlock()
	if got, want := int64(out.written.Len()/len(line))+s.Dropped(), int64(lines); got != want {
		t.Errorf("got %d lines written or dropped, want %d", got, want)
	}
	if got := out.written.Len() % len(line); got != 0 {
		t.Errorf("got a truncated line of %d bytes, want whole lines", got)
	}
}
