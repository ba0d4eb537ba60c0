package supervisor

// This file defines tests of the age of orders: what the network or the worker delays must
// not permit starts for longer.

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	pv "persimmonvalve"
	"persimmonvalve/internal/pipenet"
	"persimmonvalve/internal/wire"
	"persimmonvalve/messenger"
)

// delayLink delays what the leader writes to its link from now on.
func (h *callHarness) delayLink(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stalledTill = time.Now().Add(d)
}

// checkOrdersAge reports each start call later than maxOrdersAge after the orders were sent.
func (h *callHarness) checkOrdersAge(orderedAt time.Time) {
	h.t.Helper()
	calls := h.worker.callsOf(startCall)
	for _, c := range calls {
		if age := c.beganAt.Sub(orderedAt); age > maxOrdersAge {
			h.t.Errorf("got a start of %v %v after the last orders were sent, want none after %v", c.run, age, maxOrdersAge)
		}
	}
}

// Starts were sent under orders of any age: the first orders of a leader, which has no reading of
// the worker's clock yet, counted from their arrival, however long the network held them up.
func TestNoStartOnDelayedFirstOrders(t *testing.T) {
	pipenet.Bubble(t, func(t *testing.T) {
		h := newCallHarness(t)
		defer h.stop()
		h.worker.setUnanswered(unansweredStarts("j"))
		h.renew(time.Second)
		h.connect()
		send := func(full bool, starts []pv.RunOrder, leaseEnd, clock time.Duration, startsWithheld bool) {
			orders := messenger.EncodeOrders("w", 1, pv.WorkerLease{FencingToken: h.epoch, End: leaseEnd}, 0, full, starts, nil)
			orders.ClockMs, orders.StartsWithheld = clock.Milliseconds(), startsWithheld
			h.link.Send(&wire.LinkFrame{Body: &wire.LinkFrame_Orders{Orders: orders}})
		}
		const delay = 1500 * time.Millisecond
		h.delayLink(delay)
		starts := startsOf(testRuns("j", 2))
		for i := range starts {
			starts[i].FirstSend = false
		}
		orderedAt := time.Now()
		send(true, starts, 0, 0, false)
		time.Sleep(delay)
		for before := h.lastClock(); h.lastClock() == before; { // until a poll under the new token
			time.Sleep(time.Millisecond)
		}
		send(false, nil, h.newestLeaseEnd(), h.lastClock(), true) // the leader may not start runs any more
		time.Sleep(50 * time.Millisecond)
		h.link.Close()
		time.Sleep(8 * time.Second)
		h.checkOrdersAge(orderedAt)
	})
}

// lastClock returns the last reported reading of the worker's clock.
func (h *callHarness) lastClock() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.clock
}

// Starts were sent under orders older than permitted: an answer to a poll that arrived late made
// orders that were delayed meanwhile look younger, by its delay.
func TestNoStartOnDelayedOrdersBesideLatePoll(t *testing.T) {
	for _, pollDelay := range []time.Duration{0, 600 * time.Millisecond, 950 * time.Millisecond} {
		t.Run(pollDelay.String(), func(t *testing.T) {
			pipenet.Bubble(t, func(t *testing.T) {
				h := newCallHarness(t)
				defer h.stop()
				h.worker.setUnanswered(unansweredStarts("j"))
				h.renew(2 * time.Second)
				for before := h.lastClock(); h.lastClock() == before; { // the leader has just received a reading of the clock
					time.Sleep(time.Millisecond)
				}
				h.worker.mu.Lock()
				h.worker.pollAnswerDelay = pollDelay
				h.worker.mu.Unlock()
				const delay = 1600 * time.Millisecond
				h.delayLink(delay)
				orderedAt := time.Now()
				h.send(false, startsOf(testRuns("j", 2)))
				time.Sleep(delay + 50*time.Millisecond)
				h.link.Close()
				time.Sleep(8 * time.Second)
				h.checkOrdersAge(orderedAt)
			})
		})
	}
}

// One quick answer to a poll makes the orders that name later, slowly answered polls look older
// than they can be: runs are started late although each poll is answered.
func TestUnevenPollDelaysHoldUpNoStarts(t *testing.T) {
	for _, slow := range []time.Duration{0, 400 * time.Millisecond, 600 * time.Millisecond, 800 * time.Millisecond, 950 * time.Millisecond} {
		t.Run(slow.String(), func(t *testing.T) {
			pipenet.Bubble(t, func(t *testing.T) {
				h := newCallHarness(t)
				defer time.Sleep(time.Second) // for the goroutine to end
				defer h.stop()
				go func() { // one poll of three is answered at once
					for h.supervisor.ctx.Err() == nil {
						h.worker.mu.Lock()
						h.worker.pollAnswerDelay = slow
						if len(h.worker.polls)%3 == 0 {
							h.worker.pollAnswerDelay = 0
						}
						h.worker.mu.Unlock()
						time.Sleep(time.Millisecond)
					}
				}()
				h.renew(5 * time.Second)
				orderedAt := map[pv.RunRef]time.Time{}
				runs := testRuns("k", 60)
				next := 0
				for i := range 60 * 20 { // each 50 ms
					switch {
					case i%20 == 7:
						starts := startsOf(runs[next : next+1])
						starts[0].FirstSend = false
						orderedAt[runs[next]] = time.Now()
						next++
						h.send(false, starts)
					case i%8 == 0:
						h.send(false, nil)
					}
					time.Sleep(50 * time.Millisecond)
				}
				h.renew(10 * time.Second)
				var latest, sum time.Duration
				for _, c := range h.worker.callsOf(startCall) {
					if at, ok := orderedAt[c.run]; ok {
						latest, sum = max(latest, c.beganAt.Sub(at)), sum+c.beganAt.Sub(at)
						delete(orderedAt, c.run)
					}
				}
				t.Logf("mean %v, latest %v, never %d", sum/60, latest, len(orderedAt))
				if limit := time.Second; latest > limit || len(orderedAt) > 0 {
					t.Errorf("got a start up to %v after its order and %d runs not started, want each started within %v", latest, len(orderedAt), limit)
				}
			})
		})
	}
}

// A restarted supervisor has no reading of the worker's clock and counts its leader's orders,
// which bring a lease, from their arrival, however long the network has held them up.
func TestNoStartOnDelayedOrdersAfterRestart(t *testing.T) {
	for _, delay := range []time.Duration{0, 500 * time.Millisecond, 1500 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			pipenet.Bubble(t, func(t *testing.T) {
				h := newCallHarness(t)
				defer func() { h.stop() }()
				h.worker.setUnanswered(unansweredStarts("j"))
				h.renew(2 * time.Second)
				former := h.supervisor
				h.link.Close()
				go func() { _ = former.Stop(t.Context()) }()
				h.listener = h.network.Listen("restarted agent")
				h.supervisor = New(Settings{Node: "agent"}, Dependencies{Worker: h.worker, Listener: h.listener, Logger: zap.NewNop(), Registry: prometheus.NewRegistry()})
				h.epoch-- // the same leader
				h.connect()
				starts := startsOf(testRuns("j", 2))
				for i := range starts {
					starts[i].FirstSend = false
				}
				orders := messenger.EncodeOrders("w", 1, pv.WorkerLease{FencingToken: h.epoch, End: h.newestLeaseEnd()}, 0, true, starts, nil)
				orders.ClockMs = h.lastClock().Milliseconds()
				h.delayLink(delay)
				orderedAt := time.Now()
				h.link.Send(&wire.LinkFrame{Body: &wire.LinkFrame_Orders{Orders: orders}})
				time.Sleep(delay + 50*time.Millisecond)
				h.heartbeat(1, false)
				h.link.Close()
				time.Sleep(8 * time.Second)
				h.checkOrdersAge(orderedAt)
			})
		})
	}
}

// When the polls of a worker become slow, runs start up to 3.6 s late: readings of the clock from
// quick polls before make orders look older than they can be, for 4 s.
func TestPollsThatBecomeSlowHoldUpNoStarts(t *testing.T) {
	const renewalInterval = 400 * time.Millisecond
	for _, slow := range []time.Duration{0, 600 * time.Millisecond, 700 * time.Millisecond, 800 * time.Millisecond, 950 * time.Millisecond} {
		t.Run(slow.String(), func(t *testing.T) {
			var latest, sum time.Duration
			rounds := 0
			for phase := time.Duration(0); phase < 2*time.Second; phase += 100 * time.Millisecond {
				pipenet.Bubble(t, func(t *testing.T) {
					h := newCallHarness(t)
					defer h.stop()
					h.renew(5 * time.Second)
					time.Sleep(phase % renewalInterval)
					h.worker.mu.Lock()
					h.worker.pollAnswerDelay = slow
					h.worker.mu.Unlock()
					h.renew(1200*time.Millisecond + phase)
					starts := startsOf(testRuns("k", 1))
					starts[0].FirstSend = false
					orderedAt := time.Now()
					h.send(false, starts)
					time.Sleep(renewalInterval)
					h.renew(8 * time.Second)
					calls := h.worker.callsOf(startCall)
					if len(calls) == 0 {
						t.Fatal("got no start within 8 s, want one")
					}
					rounds++
					latest, sum = max(latest, calls[0].beganAt.Sub(orderedAt)), sum+calls[0].beganAt.Sub(orderedAt)
				})
			}
			t.Logf("%d rounds, mean %v, latest %v", rounds, sum/time.Duration(rounds), latest)
			if limit := time.Second; latest > limit {
				t.Errorf("got a start up to %v after its order, want each within %v", latest, limit)
			}
		})
	}
}
