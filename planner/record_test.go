package planner

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	pv "persimmonvalve"
)

// sealedBytes ticks, commits everything, and returns the bytes of the records.
func (h *harness) sealedBytes() int {
	h.now = h.now.Add(h.p.settings.MinPlaceInterval)
	h.p.Tick(h.now)
	n := 0
	for batch := h.p.NextBatch(); batch != nil; batch = h.p.NextBatch() {
		for _, r := range batch.Records {
			n += len(r.Key) + len(r.Value)
		}
		h.store(batch)
		h.p.Committed(batch)
	}
	return n
}

// bytesOfOneEnd returns the bytes stored for the end of one task of a job of the width,
// all of whose tasks run.
func bytesOfOneEnd(t *testing.T, width int) int {
	h := newHarness(t)
	for i := range width / 8 {
		id := fmt.Sprintf("w%02d", i)
		h.reportPoll(id, 1, PollResult{})
		h.sendOrders(id)
	}
	h.submit("j", stepWithTasks(width))
	h.sealedBytes()
	for i := range width / 8 {
		h.sendOrders(fmt.Sprintf("w%02d", i))
	}
	var ended pv.RunRef
	for ref := range h.p.workers["w00"].runs {
		ended = ref
		break
	}
	h.reportPoll("w00", 1, PollResult{Running: []pv.RunStatus{{Run: ended}}}) // the job counts as running
	h.sealedBytes()
	h.reportPoll("w00", 1, PollResult{Ended: []pv.RunEnd{{Sequence: 1, Run: ended, Kind: pv.EndSucceeded}}})
	return h.sealedBytes()
}

// Wide jobs on a small link: the bytes stored for one end don't grow with the number of
// tasks of the job. With the whole job in one record, a job of 160 tasks took 20 times
// as many as one of 8, and the commits of a leader with 2 Mbit/s took half a second.
func TestOneEndOfAWideJob(t *testing.T) {
	const indexDigits = 2 * tasksPerRecord // the indexes of a wide job have more digits
	narrow, wide := bytesOfOneEnd(t, 8), bytesOfOneEnd(t, 160)
	if narrow == 0 || wide > narrow+indexDigits {
		t.Errorf("got %d bytes for a job of 8 tasks and %d for one of 160, want about the same", narrow, wide)
	}
}

// The checkpoint of a running task is stored within checkpointStoreInterval, although the
// task neither starts nor ends: a loss of all processes and workers must not lose the work.
func TestCheckpointIsStored(t *testing.T) {
	h := newHarness(t)
	h.reportPoll("w", 1, PollResult{})
	step := stepWithTasks(8)
	step.Checkpointable = true
	h.submit("j", step)
	h.tickAndCommit()
	h.sendOrders("w")
	h.reportPoll("w", 1, PollResult{Running: []pv.RunStatus{{Run: runOf("j", 0, 5, 1), Checkpoint: "half"}}})
	h.advance(checkpointStoreInterval + time.Second)
	next := h.successor()
	if got := next.p.jobs["j"].steps[0].tasks[5].checkpoint; got != "half" {
		t.Errorf("got checkpoint %q at the next leader, want %q", got, "half")
	}
}

// An ended job leaves no task records behind, and a new leader knows it as ended.
func TestEndedJobLeavesNoTaskRecords(t *testing.T) {
	h := newHarness(t)
	h.reportPoll("w", 1, PollResult{})
	h.submit("j", stepWithTasks(8))
	h.tickAndCommit()
	h.sendOrders("w")
	var ends []pv.RunEnd
	for i := range 8 {
		ends = append(ends, pv.RunEnd{Sequence: int64(i + 1), Run: runOf("j", 0, i, 1), Kind: pv.EndSucceeded})
	}
	h.reportPoll("w", 1, PollResult{Ended: ends})
	h.tickAndCommit()
	for key, value := range h.records {
		if strings.HasPrefix(key, tasksPrefix) && len(value) > 0 {
			t.Errorf("got record %s of an ended job, want a tombstone", key)
		}
	}
	if state, ok := h.successor().p.State("j"); !ok || state != pv.JobFinished {
		t.Errorf("got state %q at the next leader, want %s", state, pv.JobFinished)
	}
}

// A cancelled job whose runs aren't proved to have ended keeps their records: a new
// leader has to stop them.
func TestCancelledJobKeepsRecordsOfOpenRuns(t *testing.T) {
	h := newHarness(t)
	h.reportPoll("w", 1, PollResult{})
	h.submit("j", stepWithTasks(2))
	h.tickAndCommit()
	h.sendOrders("w")
	h.p.Cancel(h.now, "j")
	h.tickAndCommit()
	next := h.successor()
	if got := len(next.p.worker(next.now, "w").runs); got != 2 {
		t.Errorf("got %d open runs at the next leader, want 2", got)
	}
}

// Records of earlier versions, with the tasks inside the state record, are read. The
// first change of the job writes all its tasks anew, and an earlier version can't take
// them as never started.
func TestRecordsOfEarlierVersions(t *testing.T) {
	h := newHarness(t)
	h.reportPoll("w", 1, PollResult{})
	h.submit("j", stepWithTasks(8))
	h.tickAndCommit()
	for key := range h.records {
		if strings.HasPrefix(key, tasksPrefix) {
			delete(h.records, key)
		}
	}
	h.records[statePrefix+"j"] = []byte(`{"state":"running","tasks":[{"step":0,"index":1,"attempt":2,"worker":"w","life":1},{"step":0,"index":7,"attempt":1,"done":true}]}`)
	second := h.successor()
	if got := second.p.worker(second.now, "w").runs[runOf("j", 0, 1, 2)]; got == nil {
		t.Fatal("got no run of task 1, want its second attempt")
	}
	second.reportPoll("w", 1, PollResult{Running: []pv.RunStatus{{Run: runOf("j", 0, 1, 2)}}})
	second.tickAndCommit() // starts the other tasks
	third := second.successor()
	tasks := third.p.jobs["j"].steps[0].tasks
	if !tasks[7].finished || tasks[1].attempt != 2 || tasks[0].attempt != 1 {
		t.Errorf("got task 7 finished %t, attempts %d and %d of tasks 1 and 0, want true, 2 and 1", tasks[7].finished, tasks[1].attempt, tasks[0].attempt)
	}
	var earlier struct {
		Tasks []taskRecord `json:"tasks"`
	}
	if err := json.Unmarshal(second.records[statePrefix+"j"], &earlier); err == nil {
		t.Error("got a state record that an earlier version decodes without the tasks, want an error there")
	}
}

// Keys of task records are read back, also for job ids with slashes; others are not.
func TestTasksKey(t *testing.T) {
	for _, id := range []pv.JobID{"5c0e7a21d94b36f8", "a/b", "a/1/2"} {
		if got, position, group, ok := parseTasksKey(tasksKey(id, 3, 40)); !ok || got != id || position != 3 || group != 40 {
			t.Errorf("%s: got %s, %d, %d, %t, want the same id, 3, 40, true", id, got, position, group, ok)
		}
	}
	for _, key := range []string{"state/j", "tasks/j", "tasks/j/1", "tasks/j/x/1", "tasks/j/1/x"} {
		if _, _, _, ok := parseTasksKey(key); ok {
			t.Errorf("%s: got a task record, want none", key)
		}
	}
}

// A worker had started again under its id at another address. A new leader took the address in
// the record of a task of the former incarnation for the worker's, and another worker that
// answers there ended the runs of the present one, which went on.
func TestReplacedWorkerAtFormerAddress(t *testing.T) {
	former, present := netip.MustParseAddrPort("10.0.0.1:80"), netip.MustParseAddrPort("10.0.0.2:80")
	h := newHarness(t)
	h.address = former
	h.reportPoll("w", 1, PollResult{})
	h.sendOrders("w")
	h.submit("z", stepWithTasks(1))
	h.tickAndCommit()
	h.sendOrders("w")
	h.address = present
	h.reportPoll("w", 2, PollResult{EndsTruncated: true}) // the former run may have ended on it
	h.sendOrders("w")
	w := h.p.workers["w"]
	h.submit("a", stepWithTasks(1))
	h.tickAndCommit()
	if len(w.runs) != 2 {
		t.Fatalf("got %d runs on the worker, want 2", len(w.runs))
	}
	next := h.successor()
	next.address = former
	next.reportPoll("v", 3, PollResult{})
	next.sendOrders("v")
	next.tickAndCommit()
	if w, ok := next.p.workers["w"]; !ok || w.runs[runOf("a", 0, 0, 1)] == nil {
		t.Error("got the run of the present incarnation ended, want it to go on")
	}
}
