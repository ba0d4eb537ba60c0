package standin

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	pv "persimmonvalve"
	"persimmonvalve/internal/pipenet"
)

// jobWorkerTest is a JobWorker with its audit and a lease.
type jobWorkerTest struct {
	*JobWorker
	t     *testing.T
	audit *RunAudit
	lease pv.WorkerLease
}

func newJobWorkerTest(t *testing.T, sizeOf func(pv.TaskRef) pv.Resources) *jobWorkerTest {
	audit := NewRunAudit(nil)
	state := pv.WorkerState{ID: "w", Capacity: pv.Resources{MilliCores: 4000, MemoryMB: 1000, Accelerators: 2}}
	w := NewJobWorker(state, audit, time.Minute, 1, sizeOf)
	return &jobWorkerTest{JobWorker: w, t: t, audit: audit, lease: pv.WorkerLease{FencingToken: 1, End: time.Hour}}
}

func (w *jobWorkerTest) start(id pv.WorkerID, job string, attempt int) {
	w.t.Helper()
	order := pv.RunOrder{Run: pv.RunRef{Task: pv.TaskRef{Job: pv.JobID(job)}, Attempt: attempt}}
	if got, err := w.Start(context.Background(), id, w.lease, order); got != pv.StartAccepted || err != nil {
		w.t.Errorf("start of %s on %s: got %s, %v, want accepted", job, id, got, err)
	}
}

func (w *jobWorkerTest) stop(id pv.WorkerID, job string, attempt int) {
	w.t.Helper()
	if err := w.Stop(context.Background(), id, w.lease, pv.RunRef{Task: pv.TaskRef{Job: pv.JobID(job)}, Attempt: attempt}); err != nil {
		w.t.Errorf("stop of %s: got %v, want none", job, err)
	}
}

// wantViolations checks the number of violations so far.
func (w *jobWorkerTest) wantViolations(when string, want int) {
	w.t.Helper()
	if got := w.audit.Violations(); len(got) != want {
		w.t.Errorf("%s: got violations %q, want %d", when, got, want)
	}
}

func crashesJob(name string) func(pv.TaskRef) bool {
	return func(t pv.TaskRef) bool { return t.Job == pv.JobID(name) }
}

// A task crashes its worker soon after its start, which is answered. The poll in progress
// ends at once, all else that runs is lost, and the worker comes back under a new id.
func TestTaskCrashesWorker(t *testing.T) {
	pipenet.Bubble(t, func(t *testing.T) {
		w := newJobWorkerTest(t, nil)
		w.SetCrashes(WorkerCrashes{Crashes: crashesJob("crash"), DownTime: 4 * time.Second, NewID: func() pv.WorkerID { return "w2" }})
		before, _ := w.Heartbeat()
		startedAt := time.Now()
		w.start("w", "beside", 1)
		w.start("w", "crash", 1)
		_, err := w.Poll(context.Background(), "w", w.lease, 0, time.Second)
		if took := time.Since(startedAt); !errors.Is(err, errReset) || took != 10*time.Millisecond {
			t.Errorf("poll during the crash: got %v after %v, want %v after 10ms", err, took, errReset)
		}
		for _, job := range []pv.JobID{"beside", "crash"} {
			if got := w.audit.CrashCount(pv.TaskRef{Job: job}); got != 1 {
				t.Errorf("crashes under %s: got %d, want 1", job, got)
			}
		}
		time.Sleep(3900 * time.Millisecond)
		if _, ok := w.Heartbeat(); ok {
			t.Errorf("before the return: got a heartbeat, want none")
		}
		time.Sleep(200 * time.Millisecond)
		after, ok := w.Heartbeat()
		if !ok || after.ID != "w2" || after.Incarnation <= before.Incarnation {
			t.Errorf("after the return: got %v of %s, incarnation %d, want w2 with one above %d", ok, after.ID, after.Incarnation, before.Incarnation)
		}
		runs, err := w.Poll(context.Background(), "w2", w.lease, 0, 0)
		if err != nil || len(runs.Running)+len(runs.Ended) > 0 {
			t.Errorf("runs after the return: got %v, %v, want none", runs, err)
		}
		w.Crash()
	})
}

// Without a function for new ids, a worker comes back under its own id. A worker that was
// crashed otherwise meanwhile doesn't come back by itself.
func TestCrashedWorkerReturns(t *testing.T) {
	pipenet.Bubble(t, func(t *testing.T) {
		w := newJobWorkerTest(t, nil)
		w.SetCrashes(WorkerCrashes{Crashes: crashesJob("crash"), Delay: time.Second, DownTime: 2 * time.Second})
		w.start("w", "crash", 1)
		time.Sleep(900 * time.Millisecond)
		if _, ok := w.Heartbeat(); !ok {
			t.Errorf("before the crash: got no heartbeat, want one")
		}
		time.Sleep(2200 * time.Millisecond)
		if state, ok := w.Heartbeat(); !ok || state.ID != "w" {
			t.Errorf("after the return: got %v of %s, want one of w", ok, state.ID)
		}
		w.start("w", "crash", 2)
		time.Sleep(1500 * time.Millisecond)
		w.Crash()
		time.Sleep(time.Minute)
		if _, ok := w.Heartbeat(); ok {
			t.Errorf("after another crash: got a heartbeat, want none")
		}
	})
}

// The third start of a task after three workers have crashed under it is a violation if
// the task crashes its workers, and none if they crash for another reason.
func TestAuditOfStartsAfterCrashes(t *testing.T) {
	for _, c := range []struct {
		name    string
		crashes func(pv.TaskRef) bool
		starts  int
		want    int
	}{
		{"five starts", crashesJob("j"), 5, 0},
		{"six starts", crashesJob("j"), 6, 1},
		{"another reason", crashesJob("other"), 9, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			pipenet.Bubble(t, func(t *testing.T) {
				w := newJobWorkerTest(t, nil)
				w.SetCrashes(WorkerCrashes{Crashes: c.crashes, Delay: time.Second, DownTime: time.Second})
				for i := range c.starts {
					w.start("w", "j", i+1)
					time.Sleep(time.Millisecond)
					w.Restart()
					time.Sleep(time.Millisecond)
				}
				if got := w.audit.CrashCount(pv.TaskRef{Job: "j"}); got != c.starts {
					t.Errorf("got %d crashes, want %d", got, c.starts)
				}
				w.wantViolations("after the starts", c.want)
				w.Crash()
			})
		})
	}
}

// A start over the capacity is a violation in each component, and a run that is being
// stopped counts until its end is listed. A filler's size has no cores.
func TestCapacityCheckCoversAllResources(t *testing.T) {
	sizes := map[pv.JobID]pv.Resources{
		"cores": {MilliCores: 3000}, "memory": {MemoryMB: 600}, "accelerators": {Accelerators: 2}, "filler": {MemoryMB: 1},
	}
	for _, job := range []string{"cores", "memory", "accelerators"} {
		t.Run(job, func(t *testing.T) {
			pipenet.Bubble(t, func(t *testing.T) {
				w := newJobWorkerTest(t, func(t pv.TaskRef) pv.Resources { return sizes[t.Job[:len(t.Job)-1]] })
				w.start("w", job+"1", 1)
				w.start("w", "filler1", 1)
				w.wantViolations("first run and a filler", 0)
				w.stop("w", job+"1", 1)
				time.Sleep(300 * time.Millisecond)
				w.start("w", job+"2", 1)
				w.wantViolations("after the end of the first run", 0)
				w.stop("w", job+"2", 1)
				w.start("w", job+"3", 1)
				w.wantViolations("while the second run is being stopped", 1)
				if got := w.audit.Violations(); len(got) > 0 && !strings.Contains(got[0], "over its capacity") {
					t.Errorf("got violation %q, want one of the capacity", got[0])
				}
				w.Crash()
			})
		})
	}
}

// A capacity that has shrunk counts contactMs and a heartbeat after the shrink, running
// work that no longer fits is no violation, and a capacity that has grown counts at once.
func TestCapacityCheckAfterShrink(t *testing.T) {
	for _, c := range []struct {
		name          string
		wait          time.Duration // from the shrink to the second start
		grow          bool
		want          int
		orderedBefore bool // the order is sent before the shrink and carried out later
	}{
		{"within the delay", 4900 * time.Millisecond, false, 0, false},
		{"after the delay", 5100 * time.Millisecond, false, 1, false},
		{"grown again", 5100 * time.Millisecond, true, 0, false},
		{"order carried out late", 12 * time.Second, false, 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			pipenet.Bubble(t, func(t *testing.T) {
				w := newJobWorkerTest(t, func(pv.TaskRef) pv.Resources { return pv.Resources{MilliCores: 2000} })
				full := w.state.Capacity
				w.SetRunTimes(func(pv.TaskRef) time.Duration { return 0 })
				keepLease := func(d time.Duration) {
					for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
						if _, err := w.Poll(context.Background(), "w", w.lease, 0, 0); err != nil {
							t.Errorf("poll: got %v, want none", err)
						}
					}
				}
				w.start("w", "a", 1)
				if c.orderedBefore {
					w.SetFaults(JobWorkerFaults{DelayedStartFraction: 1})
					ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
					defer cancel()
					if got, _ := w.Start(ctx, "w", w.lease, pv.RunOrder{Run: pv.RunRef{Task: pv.TaskRef{Job: "b"}, Attempt: 1}}); got != pv.StartUnknown {
						t.Errorf("start that is carried out late: got %s, want unknown", got)
					}
				}
				w.SetCapacity(pv.Resources{MilliCores: 1000})
				if state, _ := w.Heartbeat(); state.Capacity.MilliCores != 1000 {
					t.Errorf("heartbeat after the shrink: got %v, want 1000 millicores", state.Capacity)
				}
				keepLease(c.wait)
				w.wantViolations("a run that no longer fits", 0)
				if c.grow {
					w.SetCapacity(full)
				}
				if !c.orderedBefore {
					w.start("w", "b", 1)
				}
				w.wantViolations("second start", c.want)
				if got := w.audit.TotalStarts(); got != 2 {
					t.Errorf("got %d starts, want 2", got)
				}
				w.Crash()
			})
		})
	}
}

// What a partition holds is carried out when it ends, also if the caller has given up, and
// counts as ordered when it was sent; what was sent to a former incarnation isn't.
func TestPartitionHoldsCalls(t *testing.T) {
	pipenet.Bubble(t, func(t *testing.T) {
		w := newJobWorkerTest(t, nil)
		order := func(job string) pv.RunOrder {
			return pv.RunOrder{Run: pv.RunRef{Task: pv.TaskRef{Job: pv.JobID(job)}, Attempt: 1}}
		}
		given, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		partition := func(on bool) { w.SetFaults(JobWorkerFaults{Partitioned: on}) }

		partition(true)
		if got, err := w.Start(given, "w", w.lease, order("held")); got != pv.StartUnknown || err == nil {
			t.Errorf("start during a partition: got %s, %v, want %s and an error", got, err, pv.StartUnknown)
		}
		if _, ok := w.Heartbeat(); ok {
			t.Error("got a heartbeat during a partition, want none")
		}
		w.audit.RecordCancellation("held")
		time.Sleep(cancellationGrace + time.Second)
		if w.audit.JobStarted("held") {
			t.Error("got the start carried out during the partition, want it held")
		}
		partition(false)
		if !w.audit.JobStarted("held") {
			t.Error("got no start after the partition, want the held one")
		}
		if got := w.audit.Violations(); len(got) != 0 {
			t.Errorf("got violations %v, want none: the start was sent before the cancellation", got)
		}

		partition(true)
		answers := make(chan pv.StartAnswer)
		go func() {
			answer, _ := w.Start(context.Background(), "w", w.lease, order("late"))
			answers <- answer
		}()
		time.Sleep(time.Second)
		partition(false)
		if got := <-answers; got != pv.StartAccepted {
			t.Errorf("start that waited for the end of a partition: got %s, want %s", got, pv.StartAccepted)
		}

		partition(true)
		given, cancel = context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, _ = w.Start(given, "w", w.lease, order("former")) // held, see above
		w.Restart()
		partition(false)
		time.Sleep(time.Second)
		if w.audit.JobStarted("former") {
			t.Error("got a start that was sent to a former incarnation, want none")
		}
	})
}

// A delayed answer to a poll shows the clock of when the worker answered.
func TestDelayedPollAnswer(t *testing.T) {
	pipenet.Bubble(t, func(t *testing.T) {
		w := newJobWorkerTest(t, nil)
		const delay = 700 * time.Millisecond
		w.SetFaults(JobWorkerFaults{MinPollAnswerDelay: delay, MaxPollAnswerDelay: delay})
		sentAt := time.Now()
		time.Sleep(time.Second)
		runs, err := w.Poll(context.Background(), "w", w.lease, 0, 0)
		if err != nil {
			t.Fatal(err)
		}
		if got := time.Since(sentAt) - runs.Clock; got != delay {
			t.Errorf("got an answer %v after the reading of its clock, want %v", got, delay)
		}
	})
}

// A worker that has crashed and started again at once answered a poll in progress for its former
// incarnation, up to half a second after the crash. Its supervisor then acknowledged ends by that
// incarnation's numbers, which the next one took for its own.
func TestCrashedWorkerAnswersNoPollInProgress(t *testing.T) {
	pipenet.Bubble(t, func(t *testing.T) {
		w := newJobWorkerTest(t, nil)
		time.AfterFunc(100*time.Millisecond, w.Restart)
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		if got, err := w.Poll(ctx, "w", w.lease, 0, 500*time.Millisecond); err == nil {
			t.Errorf("got %+v, want no answer", got)
		}
	})
}
