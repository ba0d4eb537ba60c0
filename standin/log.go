package standin

// This file defines the fake log service: streams in memory, limited
// retention, outages, slowness, and acknowledgements that are lost after the
// append took effect.

import (
	"context"
	"sync"
	"time"

	pv "persimmonvalve"
)

// LogFaults are the faults of the fake log.
type LogFaults struct {
	Outage       bool          `json:"outage"`       // every call fails, nothing takes effect
	LoseAcks     int           `json:"loseAcks"`     // so many appends take effect and return an error
	LoseRequests int           `json:"loseRequests"` // so many appends fail without effect
	Delay        time.Duration `json:"delay"`        // added to every call
	Keep         int           `json:"keep"`         // records kept in a stream; 0 keeps all
}

type stream struct {
	horizon pv.Offset
	records [][]byte
}

// Log is a fake log service in memory, safe for concurrent use.
type Log struct {
	mu      sync.Mutex
	streams map[pv.StreamName]*stream
	faults  LogFaults
	Appends int64
	Reads   int64
	Bytes   int64 // appended
}

var _ pv.Log = (*Log)(nil)

// NewLog returns an empty log.
func NewLog() *Log {
	return &Log{streams: map[pv.StreamName]*stream{}}
}

// SetFaults replaces the faults; a retention cut takes effect at once.
func (l *Log) SetFaults(f LogFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
	for _, s := range l.streams {
		l.cut(s)
	}
}

// Append implements pv.Log.
func (l *Log) Append(ctx context.Context, name pv.StreamName, records [][]byte) (pv.Offset, error) {
	if err := l.pause(ctx); err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Outage {
		return 0, pv.ErrUnavailable
	}
	if l.faults.LoseRequests > 0 {
		l.faults.LoseRequests--
		return 0, pv.ErrUnavailable
	}
	first := l.add(name, records)
	if l.faults.LoseAcks > 0 {
		l.faults.LoseAcks--
		return 0, pv.ErrUnavailable
	}
	return first, nil
}

func (l *Log) add(name pv.StreamName, records [][]byte) pv.Offset {
	s := l.stream(name)
	first := s.horizon + pv.Offset(len(s.records))
	for _, r := range records {
		s.records = append(s.records, append([]byte(nil), r...))
		l.Bytes += int64(len(r))
	}
	l.Appends++
	l.cut(s)
	return first
}

func (l *Log) stream(name pv.StreamName) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = &stream{}
		l.streams[name] = s
	}
	return s
}

func (l *Log) cut(s *stream) {
	if n := len(s.records) - l.faults.Keep; l.faults.Keep > 0 && n > 0 {
		s.records = s.records[n:]
		s.horizon += pv.Offset(n)
	}
}

// Read implements pv.Log.
func (l *Log) Read(ctx context.Context, name pv.StreamName, from pv.Offset, limit int) (pv.Batch, error) {
	if err := l.pause(ctx); err != nil {
		return pv.Batch{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Reads++
	if l.faults.Outage {
		return pv.Batch{}, pv.ErrUnavailable
	}
	s := l.stream(name)
	end := s.horizon + pv.Offset(len(s.records))
	first := min(max(from, s.horizon), end)
	last := min(end, first+pv.Offset(limit))
	return pv.Batch{
		First:   first,
		Records: append([][]byte(nil), s.records[first-s.horizon:last-s.horizon]...),
		Next:    last,
		Horizon: s.horizon,
	}, nil
}

// Streams returns the names of the streams that were ever read or written.
func (l *Log) Streams() []pv.StreamName {
	l.mu.Lock()
	defer l.mu.Unlock()
	names := make([]pv.StreamName, 0, len(l.streams))
	for n := range l.streams {
		names = append(names, n)
	}
	return names
}

func (l *Log) pause(ctx context.Context) error {
	l.mu.Lock()
	delay := l.faults.Delay
	l.mu.Unlock()
	if delay <= 0 {
		return ctx.Err()
	}
	select {
	case <-time.After(delay):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
