package entry_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"persimmonvalve/demonstrator"
)

// Plan cordPath is idempotent, plan cordOrder isn't.
const loadPlans = `plans:
  - {name: cordPath, customer: workshop, service: cordPath, class: urgent, idempotent: true, deadline: 5s, retryLimit: 3}
  - {name: cordOrder, customer: workshop, service: cordPath, class: urgent, idempotent: false, deadline: 5s, retryLimit: 3}
`

const loadAllowances = `allowances:
  - {plan: cordPath, requestsPerSecond: 100000, burst: 100000}
  - {plan: cordOrder, requestsPerSecond: 100000, burst: 100000}
`

// loadGenerator sends requests to entries and collects the failures.
type loadGenerator struct {
	sent     atomic.Int64
	mu       sync.Mutex
	failures []string
}

func (l *loadGenerator) run(ctx context.Context, node *demonstrator.EntryNode, plan string, stop <-chan struct{}) {
	for i := 0; ; i++ {
		// The load balancer sends nothing to an entry that isn't ready.
		// Without this check, connections that the entry had not accepted
		// when its listener closed were reset, although every request whose
		// handler had started was answered.
		if !node.Entry.Ready() {
			return
		}
		select {
		case <-stop:
			return
		default:
		}
		body := fmt.Sprintf("body %p %d", l, i)
		key := ""
		if plan == "cordOrder" {
			key = fmt.Sprintf("key-%d-%d", i, time.Now().UnixNano())
		}
		got, _, err := node.RequestCordPath(ctx, plan, key, body)
		l.sent.Add(1)
		if err != nil || !strings.HasSuffix(got, body) {
			l.mu.Lock()
			l.failures = append(l.failures, fmt.Sprintf("got %q, %v", got, err))
			l.mu.Unlock()
		}
	}
}

// newSite starts a site with the lists of this file.
func newSite(t *testing.T) (*demonstrator.Site, context.Context) {
	t.Helper()
	return newSiteWith(t, loadAllowances, loadPlans)
}

// newSiteWith starts a site, waits until it is ready and publishes the lists.
func newSiteWith(t *testing.T, allowances, plans string) (*demonstrator.Site, context.Context) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(cancel)
	site, err := demonstrator.New(demonstrator.DefaultOptions())
	t.Cleanup(site.Stop)
	if err == nil {
		err = site.AwaitReady(ctx)
	}
	if err == nil {
		err = site.Publish(ctx, allowances, plans)
	}
	if err != nil {
		t.Fatal(err)
	}
	return site, ctx
}

// loadGoroutines is the number of concurrent senders.
const loadGoroutines = 8

// A graceful stop of an entry must not cut off a request in progress.
func TestEntryStopCompletesRequests(t *testing.T) {
	site, ctx := newSite(t)
	l := &loadGenerator{}
	var wg sync.WaitGroup
	neverStop := make(chan struct{})
	for range loadGoroutines {
		wg.Go(func() { l.run(ctx, site.Entries[0], "cordPath", neverStop) })
	}
	awaitSent(t, l, 200)
	if err := site.Entries[0].Stop(ctx); err != nil {
		t.Errorf("stop of the entry: got error %v, want none", err)
	}
	wg.Wait()
	if len(l.failures) > 0 {
		t.Errorf("failed requests: got %d of %d, want none; the first: %s", len(l.failures), l.sent.Load(), l.failures[0])
	}
}

// A graceful stop of an agent must not cut off a request, whether idempotent
// (cordPath) or not (cordOrder), and its endpoint must get no request afterwards.
func TestAgentStopCompletesRequests(t *testing.T) {
	site, ctx := newSite(t)
	l := &loadGenerator{}
	var wg sync.WaitGroup
	stop := make(chan struct{})
	for i := range loadGoroutines {
		plan := []string{"cordPath", "cordOrder"}[i%2]
		wg.Go(func() { l.run(ctx, site.Entries[i%2], plan, stop) })
	}
	awaitSent(t, l, 100)
	for _, node := range site.Agents[:2] {
		if err := node.Agent.Stop(ctx); err != nil {
			t.Errorf("stop of the agent: got error %v, want none", err)
		}
	}
	before := site.Agents[0].Endpoint.TotalRuns()
	sent := l.sent.Load()
	awaitSent(t, l, sent+100)
	if got := site.Agents[0].Endpoint.TotalRuns(); got != before {
		t.Errorf("requests at the endpoint of the stopped agent: got %d, want %d as when it stopped", got, before)
	}
	close(stop)
	wg.Wait()
	if len(l.failures) > 0 {
		t.Errorf("failed requests: got %d of %d, want none; the first: %s", len(l.failures), l.sent.Load(), l.failures[0])
	}
}

// awaitSent waits until n requests have ended.
func awaitSent(t *testing.T, l *loadGenerator, n int64) {
	t.Helper()
	for l.sent.Load() < n {
		if t.Context().Err() != nil {
			t.Fatal(t.Context().Err())
		}
		time.Sleep(time.Millisecond)
	}
}
