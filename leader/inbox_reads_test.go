package leader

// This file defines tests of the reads of the inbox.

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	pv "persimmonvalve"
	"persimmonvalve/internal/pipenet"
)

// Starts were permitted by a read of the inbox whose cancellations weren't stored yet, or by an
// older read than before, or not at all after all commits.
func TestInboxReadsCountInOrder(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		tm := &term{}
		var inFlight []func()
		uncommitted := map[time.Duration]bool{} // starts of reads whose cancellations aren't stored
		flying := map[time.Duration]bool{}
		check := func(before time.Duration) {
			if tm.inboxReadStartedAt < before {
				t.Fatalf("seed %d: got %v after %v, want no older read", seed, tm.inboxReadStartedAt, before)
			}
			for _, reads := range []map[time.Duration]bool{uncommitted, flying} {
				for at := range reads {
					if tm.inboxReadStartedAt >= at {
						t.Fatalf("seed %d: got %v, want less than %v, whose cancellation isn't stored", seed, tm.inboxReadStartedAt, at)
					}
				}
			}
		}
		startCommit := func() {
			inFlight, tm.afterCommit = tm.afterCommit, nil
			flying, uncommitted = uncommitted, map[time.Duration]bool{}
		}
		endCommit := func() {
			clear(flying) // the batch is stored before its callbacks run
			for _, f := range inFlight {
				before := tm.inboxReadStartedAt
				f()
				check(before)
			}
			inFlight = nil
		}
		last := time.Duration(0)
		for range 300 {
			before := tm.inboxReadStartedAt
			switch random.IntN(4) {
			case 0, 1:
				last += time.Millisecond
				cancelled := random.IntN(3) == 0
				if cancelled {
					uncommitted[last] = true
				}
				tm.noteInboxRead(last, cancelled)
				check(before)
			case 2:
				if len(inFlight) == 0 {
					startCommit()
				}
			case 3:
				endCommit()
			}
		}
		endCommit()
		startCommit()
		endCommit()
		if tm.inboxReadStartedAt != last {
			t.Fatalf("seed %d: got %v after all commits, want the last read, %v", seed, tm.inboxReadStartedAt, last)
		}
	}
}

// limitedStore is a topic of which a read returns one record at most, whose oldest records may
// have been deleted. Some of its calls get no answer.
type limitedStore struct {
	pv.Store
	records []pv.KeyedRecord
	oldest  pv.Offset
	calls   int
}

func (s *limitedStore) failing() bool { s.calls++; return s.calls%3 == 0 }

func (s *limitedStore) Tail(_ context.Context, _ pv.Topic, from pv.Offset, _ time.Duration) (pv.KeyedTail, error) {
	switch {
	case s.failing():
		return pv.KeyedTail{}, Error.New("no answer")
	case from < s.oldest:
		return pv.KeyedTail{Truncated: true}, nil
	case int(from) >= len(s.records):
		return pv.KeyedTail{End: from}, nil
	}
	return pv.KeyedTail{Records: s.records[from : from+1], End: from + 1}, nil
}

func (s *limitedStore) Newest(_ context.Context, _ pv.Topic, after string) (pv.KeyedPage, error) {
	if s.failing() {
		return pv.KeyedPage{}, Error.New("no answer")
	}
	for i, r := range s.records { // its keys are in order
		if r.Key > after {
			return pv.KeyedPage{Records: s.records[i : i+1], Last: r.Key, More: i+1 < len(s.records), End: pv.Offset(len(s.records))}, nil
		}
	}
	return pv.KeyedPage{End: pv.Offset(len(s.records))}, nil
}

// A question about a job that is in the inbox was answered with "unknown job": the read ended at
// a limited page or at a call without an answer, or the store had dropped its history.
func TestReadSinceReturnsAllRecords(t *testing.T) {
	pipenet.Bubble(t, func(t *testing.T) {
		for _, oldest := range []pv.Offset{0, 5, 9} {
			for from := range pv.Offset(10) {
				s := &limitedStore{oldest: oldest}
				for i := range 9 {
					s.records = append(s.records, pv.KeyedRecord{Key: fmt.Sprint("key", i), Value: []byte("v")})
				}
				got, err := readSince(t.Context(), s, InboxTopic, from)
				if err != nil {
					t.Fatal(err)
				}
				seen := map[string]bool{}
				for _, r := range got {
					seen[r.Key] = true
				}
				for _, r := range s.records[from:] {
					if !seen[r.Key] {
						t.Errorf("oldest record %d, from %d: got no record %s", oldest, from, r.Key)
					}
				}
			}
		}
	})
}
