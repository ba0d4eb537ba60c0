package gateway

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	pv "persimmonvalve"
	"persimmonvalve/internal/pipenet"
)

// slowStore is a store whose appends take a while, and that counts those in progress.
type slowStore struct {
	pv.Store
	delay time.Duration

	mu                        sync.Mutex
	inProgress, most, written int
}

func (s *slowStore) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inProgress++
	s.most = max(s.most, s.inProgress)
}

func (s *slowStore) end(written int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inProgress--
	s.written += written
}

func (s *slowStore) Append(ctx context.Context, _ pv.Topic, _ pv.Writer, _ pv.Offset, records []pv.KeyedRecord) (pv.AppendVerdict, pv.Offset, error) {
	s.begin()
	select {
	case <-time.After(s.delay):
		s.end(len(records))
		return pv.AppendDone, 0, nil
	case <-ctx.Done():
		s.end(0)
		return pv.AppendUnknown, 0, ctx.Err()
	}
}

// Many submissions without a leader: few are written to the inbox at a time, and each is either
// written or refused.
func TestInboxWritesAreBounded(t *testing.T) {
	pipenet.Bubble(t, func(t *testing.T) {
		const submissions = 200
		store := &slowStore{delay: 100 * time.Millisecond}
		g := New("g", Dependencies{Store: store, Listener: pipenet.New().Listen("g"), Logger: zap.NewNop(), Registry: prometheus.NewRegistry()})
		defer g.Close()
		var mu sync.Mutex
		results := map[Result]int{}
		var group sync.WaitGroup
		for i := range submissions {
			group.Go(func() {
				answer, err := g.Submit(t.Context(), jobOfTasks(i, 1), pv.Queue{Name: "q"})
				if err != nil {
					t.Error(err)
				}
				mu.Lock()
				defer mu.Unlock()
				results[answer.Result]++
			})
		}
		group.Wait()
		if store.most > maxInboxWrites {
			t.Errorf("got %d appends in progress, want at most %d", store.most, maxInboxWrites)
		}
		if results[Done] == 0 || results[Done]+results[StoreStalled] != submissions || results[Done] != store.written {
			t.Errorf("got results %v and %d records written, want as many done as written and the others refused", results, store.written)
		}
	})
}

func jobOfTasks(number, tasks int) pv.Job {
	return pv.Job{ID: pv.JobID(fmt.Sprint("j", number)), Steps: []pv.Step{{Count: tasks, Size: pv.Resources{MilliCores: 100}}}}
}

// Large jobs without a leader: those that the next leader may have no memory for are refused.
func TestLargeJobsInInboxAreBounded(t *testing.T) {
	pipenet.Bubble(t, func(t *testing.T) {
		store := &slowStore{}
		g := New("g", Dependencies{Store: store, Listener: pipenet.New().Listen("g"), Logger: zap.NewNop(), Registry: prometheus.NewRegistry()})
		defer g.Close()
		results := map[Result]int{}
		bytes := int64(0)
		for i := range 10 {
			job := jobOfTasks(i, pv.MaxJobTasks)
			answer, err := g.Submit(t.Context(), job, pv.Queue{Name: "q"})
			if err != nil {
				t.Fatal(err)
			}
			if results[answer.Result]++; answer.Result == Done {
				bytes += job.MemoryBytes(0)
			}
		}
		if results[Done] == 0 || results[Overloaded] == 0 || results[Done] != store.written || bytes > inboxBurstBytes+inboxBytesPerSecond {
			t.Errorf("got results %v, %d records written and %d bytes of memory, want some done, the others refused, and at most %d bytes", results, store.written, bytes, inboxBurstBytes+inboxBytesPerSecond)
		}
	})
}
