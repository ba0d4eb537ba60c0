package leader

import (
	"context"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"persimmonvalve/internal/pipenet"
	"persimmonvalve/kernel"
	"persimmonvalve/planner"
	"persimmonvalve/standin"
)

// A slow answer of the store counted as fresh on its arrival, so that the leader sent starts
// of jobs that had been cancelled after the store had read the inbox or stored the batch.
func TestStoreAnswersCountFromTheirCalls(t *testing.T) {
	pipenet.Bubble(t, func(t *testing.T) {
		const delay = 400 * time.Millisecond
		store := standin.NewKeyedStore(1)
		store.SetFaults(standin.KeyedStoreFaults{Delay: delay})
		startedAt := time.Now()
		clock := func() time.Duration { return time.Since(startedAt) }
		metrics := newMetrics(prometheus.NewRegistry())
		l := &Leader{settings: Settings{Planner: planner.DefaultSettings()}, metrics: metrics, deps: Dependencies{Store: store.ClientFor("leader"), Clock: clock, Logger: zap.NewNop()}}
		ctx, cancel := context.WithCancel(context.Background())
		term := &term{ctx: ctx, leader: l, cancel: cancel, logger: zap.NewNop(), metrics: metrics, planner: planner.New(l.settings.Planner, 1), keptCancellations: map[string]time.Time{}, committing: true}
		loop := kernel.NewEventLoop(time.Hour, func(time.Time) {})
		term.eventLoop.Store(loop)
		time.Sleep(time.Second)
		sentAt := clock()
		go term.followInbox(ctx)
		time.Sleep(delay + 10*time.Millisecond)
		loop.Do(func() {
			if got := term.inboxReadStartedAt; got != sentAt {
				t.Errorf("read of the inbox: got it counted from %v, want from %v", got, sentAt)
			}
			term.committed(time.Now(), &batch{startedAt: sentAt}, delay)
			if got := term.confirmedAt; got != sentAt {
				t.Errorf("stored batch: got it counted from %v, want from %v", got, sentAt)
			}
		})
		cancel()
		_ = loop.Stop(context.Background()) // it waits for nothing else
		time.Sleep(5 * time.Second)         // for pending calls to end
	})
}
