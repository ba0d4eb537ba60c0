package standin

// This file defines the fake log service: in-memory streams with limited
// retention. Its faults are outages, delays, lost appends, and appends whose
// acknowledgement is lost.

import (
	"context"
	"sync"
	"time"

	pv "persimmonvalve"
)

// LogFaults are the faults that the fake log injects.
type LogFaults struct {
	Outage          bool          `json:"outage"`       // every call fails without effect
	LoseAcks        int           `json:"loseAcks"`     // number of following appends that take effect but return an error
	LoseAppends     int           `json:"loseRequests"` // number of following appends that fail without effect
	Delay           time.Duration `json:"delay"`        // before each call is served; nanoseconds in JSON
	RetainedRecords int           `json:"keep"`         // records retained per stream; 0 retains all
}

type stream struct {
	oldestOffset pv.Offset
	records      [][]byte
}

// Log is an in-memory log service. It is safe for concurrent use.
type Log struct {
	mu            sync.Mutex
	streams       map[pv.StreamName]*stream
	faults        LogFaults
	Appends       int64 // calls of Append that took effect
	Reads         int64 // calls of Read
	BytesAppended int64 // size of all records appended
}

var _ pv.Log = (*Log)(nil)

// NewLog returns an empty log.
func NewLog() *Log {
	return &Log{streams: map[pv.StreamName]*stream{}}
}

// SetFaults replaces the injected faults and trims all streams to the new
// retention.
func (l *Log) SetFaults(f LogFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
	for _, s := range l.streams {
		l.trim(s)
	}
}

// Append implements pv.Log.
func (l *Log) Append(ctx context.Context, name pv.StreamName, records [][]byte) (pv.Offset, error) {
	if err := l.waitDelay(ctx); err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Outage {
		return 0, pv.ErrUnavailable
	}
	if l.faults.LoseAppends > 0 {
		l.faults.LoseAppends--
		return 0, pv.ErrUnavailable
	}
	first := l.appendRecords(name, records)
	if l.faults.LoseAcks > 0 {
		l.faults.LoseAcks--
		return 0, pv.ErrUnavailable
	}
	return first, nil
}

func (l *Log) appendRecords(name pv.StreamName, records [][]byte) pv.Offset {
	s := l.stream(name)
	first := s.oldestOffset + pv.Offset(len(s.records))
	for _, r := range records {
		s.records = append(s.records, append([]byte(nil), r...))
		l.BytesAppended += int64(len(r))
	}
	l.Appends++
	l.trim(s)
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

func (l *Log) trim(s *stream) {
	if n := len(s.records) - l.faults.RetainedRecords; l.faults.RetainedRecords > 0 && n > 0 {
		s.records = s.records[n:]
		s.oldestOffset += pv.Offset(n)
	}
}

// Read implements pv.Log.
func (l *Log) Read(ctx context.Context, name pv.StreamName, from pv.Offset, limit int) (pv.Batch, error) {
	if err := l.waitDelay(ctx); err != nil {
		return pv.Batch{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Reads++
	if l.faults.Outage {
		return pv.Batch{}, pv.ErrUnavailable
	}
	s := l.stream(name)
	end := s.oldestOffset + pv.Offset(len(s.records))
	first := min(max(from, s.oldestOffset), end)
	last := min(end, first+pv.Offset(limit))
	return pv.Batch{
		First:        first,
		Records:      append([][]byte(nil), s.records[first-s.oldestOffset:last-s.oldestOffset]...),
		Next:         last,
		OldestOffset: s.oldestOffset,
	}, nil
}

// Streams returns the names of all streams read or written so far.
func (l *Log) Streams() []pv.StreamName {
	l.mu.Lock()
	defer l.mu.Unlock()
	names := make([]pv.StreamName, 0, len(l.streams))
	for n := range l.streams {
		names = append(names, n)
	}
	return names
}

func (l *Log) waitDelay(ctx context.Context) error {
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
