package supervisor

import (
	"testing"
	"testing/synctest"
	"time"

	pv "persimmonvalve"
	"persimmonvalve/internal/pipenet"
	"persimmonvalve/internal/wire"
	"persimmonvalve/messenger"
)

// Orders that tell a later reading of the worker's clock than any poll has shown permit no
// starts for longer than fresh ones: the reading is wrong, and the orders can't be newer than
// their arrival.
func TestNoStartOnOrdersFromTheFuture(t *testing.T) {
	pipenet.Bubble(t, func(t *testing.T) {
		h := newCallHarness(t)
		defer h.stop()
		h.worker.setUnanswered(unansweredStarts("j"))
		h.renew(time.Second)
		h.mu.Lock()
		h.clock += 10 * time.Second
		h.mu.Unlock()
		h.send(false, startsOf(testRuns("j", 2)))
		orderedAt := time.Now()
		h.link.Close()
		time.Sleep(8 * time.Second)
		calls := h.worker.callsOf(startCall)
		if len(calls) == 0 {
			t.Error("got no start, want some")
		}
		for _, c := range calls {
			if age := c.beganAt.Sub(orderedAt); age > maxOrdersAge {
				t.Errorf("got a start of %v %v after the last orders, want none after %v", c.run, age, maxOrdersAge)
			}
		}
	})
}

// A start was sent after another call had failed, to a worker that had restarted meanwhile:
// only a poll that begins later shows which incarnation answers.
func TestNoStartAfterFailedCallBeforePoll(t *testing.T) {
	failed, next := testRuns("failed", 1), testRuns("next", 1)
	for name, c := range map[string]struct {
		kind string
		call func(h *callHarness)
	}{
		"start": {startCall, func(h *callHarness) { h.send(false, startsOf(failed)) }},
		"start, while the answer to an earlier poll is on its way": {startCall, func(h *callHarness) {
			h.awaitPollAnswer(400 * time.Millisecond)
			h.send(false, startsOf(failed))
		}},
		"stop": {stopCall, func(h *callHarness) { h.send(false, nil, failed...) }},
		"poll": {pollCall, func(*callHarness) { time.Sleep(pollWait); synctest.Wait() }},
	} {
		t.Run(name, func(t *testing.T) {
			kind, call := c.kind, c.call
			pipenet.Bubble(t, func(t *testing.T) {
				h := newCallHarness(t)
				defer h.stop()
				if kind == stopCall {
					h.send(false, startsOf(failed))
				}
				h.renew(time.Second)
				time.Sleep(20 * time.Millisecond) // no poll ends at the same moment
				failures := 0
				h.worker.mu.Lock()
				h.worker.broken = func(k string) bool {
					if k == kind {
						failures++
					}
					return k == kind
				}
				h.worker.mu.Unlock()
				call(h)
				h.worker.mu.Lock()
				if failures == 0 {
					t.Error("got no failed call, want one")
				}
				h.worker.broken, h.worker.incarnation = nil, 2
				h.worker.mu.Unlock()
				h.send(false, startsOf(next))
				time.Sleep(3 * time.Second)
				for _, c := range h.worker.callsOf(startCall) {
					if c.run == next[0] {
						t.Errorf("got a start of %v, want none before a poll", c.run)
					}
				}
			})
		})
	}
}

// awaitPollAnswer delays the answers to polls and waits until one is on its way.
func (h *callHarness) awaitPollAnswer(delay time.Duration) {
	answered := func() int {
		h.worker.mu.Lock()
		defer h.worker.mu.Unlock()
		h.worker.pollAnswerDelay = delay
		return len(h.worker.polls)
	}
	for before := answered(); answered() == before; {
		time.Sleep(10 * time.Millisecond)
	}
}

// Orders for a former incarnation of the worker, or for another worker, which were on their
// way when the supervisor learned of its worker, were carried out.
func TestNoStartOnOrdersForAnotherWorker(t *testing.T) {
	for name, orders := range map[string]*wire.WorkerOrders{
		"former incarnation": {Worker: "w", Life: 1},
		"later incarnation":  {Worker: "w", Life: 3},
		"another worker":     {Worker: "v", Life: 2},
	} {
		t.Run(name, func(t *testing.T) {
			pipenet.Bubble(t, func(t *testing.T) {
				h := newCallHarness(t)
				defer h.stop()
				h.heartbeat(2, false)
				time.Sleep(time.Second)
				full := messenger.EncodeOrders(pv.WorkerID(orders.Worker), orders.Life, pv.WorkerLease{FencingToken: h.epoch, End: h.newestLeaseEnd()}, 0, true, startsOf(testRuns("j", 2)), nil)
				h.link.Send(&wire.LinkFrame{Body: &wire.LinkFrame_Orders{Orders: full}})
				time.Sleep(time.Second)
				kept := 0
				h.supervisor.eventLoop.Do(func() { kept = len(h.supervisor.runs) })
				if got := len(h.worker.callsOf(startCall)); got != 0 || kept != 0 {
					t.Errorf("got %d starts and %d runs, want none", got, kept)
				}
			})
		})
	}
}

// Under a lease of another incarnation, whose end is a reading of another clock, no start and
// no CPU limit is sent, and no call carries the end.
func TestNoCallUnderLeaseOfAnotherIncarnation(t *testing.T) {
	pipenet.Bubble(t, func(t *testing.T) {
		h := newCallHarness(t)
		defer h.stop()
		v := h.supervisor
		changedAt := time.Now()
		v.eventLoop.Do(func() {
			v.lease.incarnation--
			for _, o := range startsOf(testRuns("j", 2)) {
				v.runs[o.Run] = &run{order: o}
			}
			v.permitStarts(time.Now(), 0)
			v.stopRun(testRuns("stopped", 1)[0], "ordered")
		})
		time.Sleep(time.Second)
		if got := len(h.worker.callsOf(startCall)) + len(h.worker.callsOf(cpuLimitCall)); got != 0 {
			t.Errorf("got %d starts and CPU limits, want none", got)
		}
		polls := h.worker.pollsSince(changedAt)
		if len(polls) == 0 {
			t.Error("got no polls, want some")
		}
		for _, c := range append(polls, h.worker.callsOf(stopCall)...) {
			if c.lease.End != 0 {
				t.Errorf("got a call with the lease %+v, want no end", c.lease)
			}
		}
	})
}

// Orders for a former incarnation were carried out on the next one, once that had a lease of
// its own.
func TestOrdersEndWithTheirIncarnation(t *testing.T) {
	pipenet.Bubble(t, func(t *testing.T) {
		h := newCallHarness(t)
		defer h.stop()
		h.worker.setUnanswered(unansweredStarts("j"))
		h.send(false, startsOf(testRuns("j", 4)))
		time.Sleep(100 * time.Millisecond)
		h.heartbeat(2, false)
		time.Sleep(time.Second) // a poll shows it
		sent := len(h.worker.callsOf(startCall))
		v := h.supervisor
		v.eventLoop.Do(func() {
			if v.lease.isFor(v.state.Incarnation) || v.lease.End != 0 {
				t.Errorf("got the lease %+v in the next incarnation, want no end", v.lease)
			}
		})
		for range 10 {
			orders := messenger.EncodeOrders("w", 2, pv.WorkerLease{FencingToken: h.epoch, End: h.newestLeaseEnd()}, 0, false, nil, nil)
			h.link.Send(&wire.LinkFrame{Body: &wire.LinkFrame_Orders{Orders: orders}})
			time.Sleep(400 * time.Millisecond)
		}
		for _, c := range h.worker.callsOf(startCall)[sent:] {
			t.Errorf("got a start of %v on the next incarnation, want none", c.run)
		}
	})
}

// Orders on a link that a later leader's has replaced were carried out under the former
// leader's token.
func TestNoStartOnReplacedLink(t *testing.T) {
	pipenet.Bubble(t, func(t *testing.T) {
		h := newCallHarness(t)
		defer h.stop()
		v := h.supervisor
		var former *messenger.Link
		v.eventLoop.Do(func() { former = v.link })
		h.connect()
		h.send(true, nil)
		formerLeader := func() {
			orders := messenger.EncodeOrders("w", 1, pv.WorkerLease{FencingToken: h.epoch - 1, End: h.newestLeaseEnd()}, 0, true, startsOf(testRuns("j", 2)), nil)
			v.Frame(former, &wire.LinkFrame{Body: &wire.LinkFrame_Orders{Orders: orders}})
			h.renew(time.Second)
		}
		formerLeader()
		v.LeaderConnected(former, "former leader", h.epoch-1) // late: the link's goroutine was held up
		formerLeader()
		if got := len(h.worker.callsOf(startCall)); got != 0 {
			t.Errorf("got %d starts on the former leader's orders, want none", got)
		}
	})
}

// The result of a start call was applied to a later run of the same reference, or to a run
// on the worker's next incarnation.
func TestResultOfFormerCall(t *testing.T) {
	r := testRuns("j", 1)[0]
	for name, call := range map[string]func(v *Supervisor) call{
		"of a replaced run": func(v *Supervisor) call {
			return call{kind: kindStart, run: &run{order: pv.RunOrder{Run: r}}, order: pv.RunOrder{Run: r}, incarnation: v.state.Incarnation}
		},
		"to a former incarnation": func(v *Supervisor) call {
			return call{kind: kindStart, run: v.runs[r], order: pv.RunOrder{Run: r}, incarnation: v.state.Incarnation - 1}
		},
	} {
		t.Run(name, func(t *testing.T) {
			pipenet.Bubble(t, func(t *testing.T) {
				h := newCallHarness(t)
				defer h.stop()
				v := h.supervisor
				v.eventLoop.Do(func() {
					v.runs[r] = &run{order: pv.RunOrder{Run: r}, startsInProgress: 1}
					v.handleStart(call(v), pv.StartStaleAttempt, nil)
					if got := v.runs[r]; got.phase != starting || got.startsInProgress != 1 {
						t.Errorf("got phase %d with %d starts in progress, want %d with 1", got.phase, got.startsInProgress, starting)
					}
					v.forgetRun(r)
				})
			})
		})
	}
}

// The result of a poll of the worker's former incarnation was applied to the next one: it
// counted as failing, or as answering.
func TestResultOfPollOfFormerIncarnation(t *testing.T) {
	pipenet.Bubble(t, func(t *testing.T) {
		h := newCallHarness(t)
		defer h.stop()
		v := h.supervisor
		v.eventLoop.Do(func() {
			polledAt := v.polledAt
			former := pollRequest{worker: "w", incarnation: v.state.Incarnation - 1, number: v.pollNumber + 1}
			v.handlePoll(former, pv.WorkerRuns{}, errUnanswered)
			if v.pollFailing || v.unverified() {
				t.Error("got the worker as not answering, want it as answering")
			}
			time.Sleep(time.Millisecond)
			v.handlePoll(former, pv.WorkerRuns{Incarnation: v.state.Incarnation}, nil)
			if got := v.polledAt; got != polledAt {
				t.Errorf("got the last answer at %v, want at %v", got, polledAt)
			}
		})
	})
}

// A run that the worker lists, and that full orders didn't have, went on for as long as it
// lasted: its job may have been cancelled.
func TestListedRunWithoutOrdersIsStopped(t *testing.T) {
	pipenet.Bubble(t, func(t *testing.T) {
		h := newCallHarness(t)
		defer h.stop()
		r := testRuns("j", 1)[0]
		h.worker.mu.Lock()
		h.worker.running[r] = true
		h.worker.mu.Unlock()
		h.renew(2 * time.Second)
		if got := len(h.worker.callsOf(stopCall)); got == 0 {
			t.Errorf("got no stop of %v, want one", r)
		}
	})
}
