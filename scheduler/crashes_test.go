package scheduler

import (
	"fmt"
	"testing"
	"time"

	pv "persimmonvalve"
	"persimmonvalve/recorder"
)

const crashTestStarts = 4 // most starts of a task that crashes its workers

// A task that crashes each worker that starts it was started again without end, and took
// the other tasks on these workers along.
func TestTaskThatCrashesWorkersEnds(t *testing.T) {
	for _, c := range []struct {
		downTime time.Duration // of a worker after a crash
		workers  int
		takeover time.Duration // between changes of the leader; 0 for none
	}{
		{downTime: 3 * time.Second, workers: 4},
		{downTime: 25 * time.Second, workers: 4},
		{downTime: 3 * time.Second, workers: 1},
		{downTime: 3 * time.Second, workers: 4, takeover: 50 * time.Second},
	} {
		t.Run(fmt.Sprintf("%+v", c), func(t *testing.T) {
			cell := newTestCell(t, c.workers)
			cell.downTime = c.downTime
			cell.crashes = func(id pv.TaskID) bool { return id == "crasher" }
			cell.run(40 * time.Second) // the first leases
			for i := range 5 {
				cell.submit(pv.TaskID(fmt.Sprintf("beside-%d", i)), 30*time.Second)
			}
			cell.submit("crasher", time.Minute)
			const limit = 10 * time.Minute
			for passed := time.Duration(0); passed < limit; {
				step := limit
				if c.takeover > 0 {
					step = c.takeover
				}
				cell.run(step)
				passed += step
				if c.takeover > 0 {
					cell.takeOver(cell.ledger.Term + 1)
				}
			}
			task := cell.ledger.Tasks["crasher"]
			if task.Outcome != pv.OutcomeFailed || task.Reason != pv.ReasonCrashesWorkers {
				t.Errorf("crasher: got outcome %q with reason %q, want %q with %q", task.Outcome, task.Reason, pv.OutcomeFailed, pv.ReasonCrashesWorkers)
			}
			if got := cell.starts["crasher"]; got > crashTestStarts {
				t.Errorf("got %d starts of the crasher, want at most %d", got, crashTestStarts)
			}
			for i := range 5 {
				id := pv.TaskID(fmt.Sprintf("beside-%d", i))
				if got := cell.ledger.Tasks[id].Outcome; got != pv.OutcomeFinished {
					t.Errorf("%s: got outcome %q, want %q", id, got, pv.OutcomeFinished)
				}
			}
		})
	}
}

// Tasks that run long on workers that crash by themselves must not end as tasks that
// crash workers.
func TestTasksOnCrashingWorkersGoOn(t *testing.T) {
	cell := newTestCell(t, 3)
	cell.downTime = 3 * time.Second
	cell.run(40 * time.Second)
	for i := range 6 {
		cell.submit(pv.TaskID(fmt.Sprintf("t%d", i)), time.Hour)
	}
	for i := range 30 {
		cell.run(47 * time.Second)
		cell.crash(i % 2)
	}
	checkNoneEnded(t, cell, 6)
}

// A worker that can't be reached, or is gone for good, isn't one that a task has crashed.
func TestLapsedLeasesAreNoCrashes(t *testing.T) {
	cell := newTestCell(t, 3)
	cell.run(40 * time.Second)
	for i := range 3 {
		cell.submit(pv.TaskID(fmt.Sprintf("t%d", i)), time.Hour)
	}
	for i := range 30 {
		cell.run(500 * time.Millisecond)
		for w := range cell.workers { // all at once, so that each start is cut off
			cell.downUntil[w] = cell.now.Add(20*time.Second + time.Duration(i)*time.Millisecond)
		}
		cell.run(24 * time.Second)
	}
	checkNoneEnded(t, cell, 3)
}

// A worker that the platform takes off its list and restarts wasn't crashed by the tasks
// that had just started there.
func TestPlannedRestartsAreNoCrashes(t *testing.T) {
	cell := newTestCell(t, 1)
	cell.downTime = 3 * time.Second
	cell.run(40 * time.Second)
	cell.submit("t0", time.Hour)
	for range 6 {
		for wait := 0; cell.ledger.Tasks["t0"].Phase != recorder.Started && wait < 600; wait++ {
			cell.run(100 * time.Millisecond)
		}
		cell.run(500 * time.Millisecond)
		cell.core.SetWorkers(nil)
		cell.crash(0)
		cell.run(20 * time.Second)
		cell.core.SetWorkers([]pv.WorkerInfo{cell.workers[0].Info})
	}
	checkNoneEnded(t, cell, 1)
	if got := cell.starts["t0"]; got < 5 {
		t.Errorf("got %d starts, want 5 or more", got)
	}
}

func checkNoneEnded(t *testing.T, cell *testCell, tasks int) {
	t.Helper()
	for i := range tasks {
		task := cell.ledger.Tasks[pv.TaskID(fmt.Sprintf("t%d", i))]
		if task.Phase == recorder.Ended {
			t.Errorf("task %s: got ended as %q with reason %q, want not ended", task.Spec.ID, task.Outcome, task.Reason)
		}
	}
}

// A flapping worker must not end the tasks that start on it.
func TestTasksOnFlappingWorkerFinish(t *testing.T) {
	cell := newTestCell(t, 2)
	cell.downTime = time.Second
	cell.run(40 * time.Second)
	for i := range 8 {
		cell.submit(pv.TaskID(fmt.Sprintf("t%d", i)), 30*time.Second)
	}
	for range 120 {
		cell.run(5 * time.Second)
		cell.crash(0)
	}
	for i := range 8 {
		task := cell.ledger.Tasks[pv.TaskID(fmt.Sprintf("t%d", i))]
		if task.Outcome != pv.OutcomeFinished {
			t.Errorf("task %s: got outcome %q with reason %q, want %q", task.Spec.ID, task.Outcome, task.Reason, pv.OutcomeFinished)
		}
	}
}

// The tasks that start beside one that crashes workers are lost with it each time, so they
// must not start beside it again.
func TestTasksBesideCrashingTasksFinish(t *testing.T) {
	for _, workers := range []int{1, 2, 5} {
		t.Run(fmt.Sprintf("workers %d", workers), func(t *testing.T) {
			cell := newTestCell(t, workers)
			cell.downTime = 2 * time.Second
			crashers := map[pv.TaskID]bool{"t3": true, "t7": true, "t8": true}
			cell.crashes = func(id pv.TaskID) bool { return crashers[id] }
			cell.run(40 * time.Second)
			const tasks = 20
			for i := range tasks {
				cell.submit(pv.TaskID(fmt.Sprintf("t%d", i)), 10*time.Second)
			}
			cell.run(15 * time.Minute)
			for i := range tasks {
				id := pv.TaskID(fmt.Sprintf("t%d", i))
				want := pv.OutcomeFinished
				if crashers[id] {
					want = pv.OutcomeFailed
				}
				if got := cell.ledger.Tasks[id].Outcome; got != want {
					t.Errorf("%s: got outcome %q, want %q", id, got, want)
				}
				if got := cell.starts[id]; crashers[id] && got > crashTestStarts {
					t.Errorf("%s: got %d starts, want at most %d", id, got, crashTestStarts)
				}
			}
		})
	}
}
