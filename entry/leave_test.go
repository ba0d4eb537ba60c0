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

const plans = `plans:
  - {name: cordPath, customer: workshop, service: cordPath, class: urgent, idempotent: true, deadline: 5s, retryLimit: 3}
  - {name: cordOrder, customer: workshop, service: cordPath, class: urgent, idempotent: false, deadline: 5s, retryLimit: 3}
`

const allowances = `allowances:
  - {plan: cordPath, requestsPerSecond: 100000, burst: 100000}
  - {plan: cordOrder, requestsPerSecond: 100000, burst: 100000}
`

// load sends lookups through a gate until it is closed, and notes what fails.
type load struct {
	sent   atomic.Int64
	mu     sync.Mutex
	failed []string
}

func (l *load) run(ctx context.Context, g *demonstrator.Gate, plan string, done <-chan struct{}) {
	for i := 0; ; i++ {
		// The balancer sends nothing to an entry that isn't ready. Without
		// this, connections that the entry had not yet accepted when its
		// listener closed were reset; counting handlers showed that every
		// request that had begun there was answered all the same.
		if !g.Entry.Ready() {
			return
		}
		select {
		case <-done:
			return
		default:
		}
		body := fmt.Sprintf("body %p %d", l, i)
		key := ""
		if plan == "cordOrder" {
			key = fmt.Sprintf("key-%d-%d", i, time.Now().UnixNano())
		}
		got, _, err := g.Request(ctx, plan, key, body)
		l.sent.Add(1)
		if err != nil || !strings.HasSuffix(got, body) {
			l.mu.Lock()
			l.failed = append(l.failed, fmt.Sprintf("got %q, %v", got, err))
			l.mu.Unlock()
		}
	}
}

func newSite(t *testing.T) (*demonstrator.Site, context.Context) {
	t.Helper()
	return newSiteWith(t, allowances, plans)
}

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

const loaders = 8

// A planned stop of an entry cuts off no request.
func TestLeavingEntryCutsOffNothing(t *testing.T) {
	site, ctx := newSite(t)
	l := &load{}
	var group sync.WaitGroup
	never := make(chan struct{})
	for range loaders {
		group.Go(func() { l.run(ctx, site.Gates[0], "cordPath", never) })
	}
	awaitSent(t, l, 200)
	if err := site.Gates[0].Leave(ctx); err != nil {
		t.Errorf("leave: got %v, want none", err)
	}
	group.Wait()
	if len(l.failed) > 0 {
		t.Errorf("got %d of %d requests cut off, want none; the first: %s", len(l.failed), l.sent.Load(), l.failed[0])
	}
}

// A planned stop of an agent cuts off no request, not even an order, and its
// endpoint gets nothing new afterwards.
func TestLeavingAgentCutsOffNothing(t *testing.T) {
	site, ctx := newSite(t)
	l := &load{}
	var group sync.WaitGroup
	done := make(chan struct{})
	for i := range loaders {
		plan := []string{"cordPath", "cordOrder"}[i%2]
		group.Go(func() { l.run(ctx, site.Gates[i%2], plan, done) })
	}
	awaitSent(t, l, 100)
	for _, n := range site.Nodes[:2] {
		if err := n.Agent.Stop(ctx); err != nil {
			t.Errorf("leave: got %v, want none", err)
		}
	}
	before := site.Nodes[0].Endpoint.Total()
	sent := l.sent.Load()
	awaitSent(t, l, sent+100)
	if got := site.Nodes[0].Endpoint.Total(); got != before {
		t.Errorf("requests at the endpoint that left: got %d, want %d as when it left", got, before)
	}
	close(done)
	group.Wait()
	if len(l.failed) > 0 {
		t.Errorf("got %d of %d requests cut off, want none; the first: %s", len(l.failed), l.sent.Load(), l.failed[0])
	}
}

func awaitSent(t *testing.T, l *load, n int64) {
	t.Helper()
	for l.sent.Load() < n {
		if t.Context().Err() != nil {
			t.Fatal(t.Context().Err())
		}
		time.Sleep(time.Millisecond)
	}
}
