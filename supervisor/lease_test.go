package supervisor

import (
	"testing"
	"time"

	pv "persimmonvalve"
	"persimmonvalve/internal/pipenet"
	"persimmonvalve/internal/wire"
	"persimmonvalve/messenger"
)

// pollsSince returns the polls that began at or after a time and were answered.
func (w *callWorker) pollsSince(t time.Time) []workerCall {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []workerCall
	for _, p := range w.polls {
		if !p.beganAt.Before(t) {
			out = append(out, p)
		}
	}
	return out
}

// restart begins another incarnation of the worker, whose clock begins at the given reading.
// The runs are those that it has started for calls meant for the former incarnation.
func (w *callWorker) restart(incarnation int64, clock time.Duration, runs ...pv.RunRef) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.incarnation, w.startedAt = incarnation, time.Now().Add(-clock)
	clear(w.running)
	for _, r := range runs {
		w.running[r] = true
	}
}

// TWICE: polls that were repeated after the worker had restarted gave the next incarnation a
// lease whose end was a reading of the former one's clock.
func TestNoLeaseForAnotherIncarnation(t *testing.T) {
	for _, failing := range []bool{false, true} { // whether a poll fails before the restart
		pipenet.Bubble(t, func(t *testing.T) {
			h := newCallHarness(t)
			defer h.stop()
			h.renew(time.Second)
			former := h.newestLeaseEnd()
			if failing {
				h.worker.mu.Lock()
				h.worker.broken = func(kind string) bool { return true }
				h.worker.mu.Unlock()
				time.Sleep(600 * time.Millisecond)
			}
			restartedAt := time.Now()
			h.worker.restart(2, 0)
			h.worker.mu.Lock()
			h.worker.broken = nil
			h.worker.mu.Unlock()
			time.Sleep(2 * time.Second)
			polls := h.worker.pollsSince(restartedAt)
			if len(polls) == 0 {
				t.Fatal("got no poll of the next incarnation, want some")
			}
			for _, p := range polls {
				if p.lease.End != 0 {
					t.Errorf("poll failed before: %t: got a poll of the next incarnation with the lease end %v, want none; the former one's lease ended at %v", failing, p.lease.End, former)
				}
			}
		})
	}
}

// TWICE: a start that was meant for a former incarnation took effect on the next one. Its run
// ran at the same time as another one of its task: the supervisor waited for orders to stop it and
// the leader, which was unreachable, took it for lapsed with the former incarnation's lease.
func TestRunsStartedForFormerIncarnationAreStopped(t *testing.T) {
	pipenet.Bubble(t, func(t *testing.T) {
		h := newCallHarness(t)
		defer h.stop()
		runs := testRuns("j", 3)
		h.send(false, startsOf(runs))
		h.renew(time.Second)
		highest := int64(0)
		for _, p := range h.worker.pollsSince(time.Time{}) {
			highest = max(highest, p.lease.FencingToken)
		}
		h.worker.restart(2, 0, runs...)
		h.heartbeat(2, false)
		time.Sleep(2 * time.Second)
		h.worker.mu.Lock()
		if len(h.worker.running) > 0 {
			t.Errorf("got the runs %v on the next incarnation, want them stopped", h.worker.running)
		}
		h.worker.mu.Unlock()
		for _, c := range h.worker.callsOf(stopCall) {
			if c.lease.FencingToken <= highest {
				t.Errorf("got a stop under token %d, want one above %d, so that starts under that are refused", c.lease.FencingToken, highest)
			}
		}
	})
}

// After a heartbeat of another writer has shown a wrong incarnation, the worker doesn't refuse
// the calls that follow.
func TestFencingTokenNeverDecreases(t *testing.T) {
	l := incarnationLease{}.renew(1, pv.WorkerLease{FencingToken: 7, End: time.Second})
	l = l.succeed() // 2
	l = l.succeed() // 1 again
	l = l.renew(1, pv.WorkerLease{FencingToken: 7, End: 2 * time.Second})
	if got, want := l.successors, int64(2); got != want {
		t.Errorf("got succession %d under the same token of the leader, want %d", got, want)
	}
	l = l.renew(3, pv.WorkerLease{FencingToken: 8})
	if l.successors != 0 || l.End != 0 {
		t.Errorf("got %+v under the next token, want no successors and no end", l)
	}
}

// A poll that waited for the answer of an incarnation that had crashed held up the first poll of
// the next one for 1.5 s, although a heartbeat had shown it. Calls for the former one took effect
// meanwhile.
func TestHeartbeatOfNextIncarnationEndsPoll(t *testing.T) {
	pipenet.Bubble(t, func(t *testing.T) {
		h := newCallHarness(t)
		defer h.stop()
		h.renew(time.Second)
		setDelay := func(d time.Duration) {
			h.worker.mu.Lock()
			defer h.worker.mu.Unlock()
			h.worker.pollAnswerDelay = d
		}
		setDelay(time.Minute)
		time.Sleep(700 * time.Millisecond)
		setDelay(0)
		run := testRuns("j", 1)[0]
		h.worker.restart(2, 0, run)
		h.heartbeat(2, false)
		time.Sleep(50 * time.Millisecond)
		if got := len(h.worker.callsOf(stopCall)); got == 0 {
			t.Error("got no stop of the run within 50 ms of the next incarnation's heartbeat, want one")
		}
	})
}

// A worker that leaves every other poll without an answer keeps its lease: the polls that it
// answers late or not at all renew it too.
func TestLeaseIsRenewedDespiteUnansweredPolls(t *testing.T) {
	pipenet.Bubble(t, func(t *testing.T) {
		h := newCallHarness(t)
		defer h.stop()
		for i := range 12 {
			h.worker.mu.Lock()
			h.worker.pollAnswerDelay = time.Duration(i%2) * time.Minute
			h.worker.mu.Unlock()
			h.renew(800 * time.Millisecond)
		}
		h.worker.mu.Lock()
		defer h.worker.mu.Unlock()
		withEnd := 0
		for _, p := range h.worker.polls[1:] {
			if p.lease.End > 0 {
				withEnd++
			}
		}
		if got, want := withEnd, len(h.worker.polls)-1; got != want {
			t.Errorf("got %d polls with a lease end, want all %d after the first", got, want)
		}
	})
}

// The first poll of an incarnation waited for an end for half a second, which delayed the
// leader's first reading of its clock, and with it the first starts.
func TestFirstPollOfAnIncarnationIsAnsweredAtOnce(t *testing.T) {
	pipenet.Bubble(t, func(t *testing.T) {
		h := newCallHarness(t)
		defer h.stop()
		h.renew(time.Second)
		h.worker.restart(2, 0)
		h.heartbeat(2, false)
		time.Sleep(250 * time.Millisecond) // without orders
		orderedAt := time.Now()
		orders := messenger.EncodeOrders("w", 2, pv.WorkerLease{FencingToken: h.epoch + 1}, 0, true, nil, nil)
		h.link.Send(&wire.LinkFrame{Body: &wire.LinkFrame_Orders{Orders: orders}})
		time.Sleep(50 * time.Millisecond)
		if got := len(h.worker.pollsSince(orderedAt)); got == 0 {
			t.Error("got no poll answered within 50 ms of the first orders for an incarnation, want one")
		}
	})
}
