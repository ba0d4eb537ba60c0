package planner

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	pv "persimmonvalve"
)

func gangStep(count int) pv.Step {
	s := stepWithTasks(count)
	s.Gang = true
	return s
}

// failed returns the ends of the runs, which have failed, in a report of a worker that has listed
// the given number of ends before.
func failed(endsBefore int, runs ...pv.RunRef) PollResult {
	out := PollResult{EndsAbove: int64(endsBefore)}
	for i, r := range runs {
		out.Ended = append(out.Ended, pv.RunEnd{Sequence: int64(endsBefore + i + 1), Run: r, Kind: pv.EndFailed})
	}
	return out
}

// LOST: each member that failed was counted as a failed attempt of its gang, so that one attempt on a
// worker that fails all that it starts could use up all attempts of the job. A gang gets just as
// many as its queue allows, however the ends of one attempt are reported.
func TestGangFailsOncePerAttempt(t *testing.T) {
	const members = 6
	reports := map[string]func(h *harness, runs []pv.RunRef) *harness{
		"in one report": func(h *harness, runs []pv.RunRef) *harness {
			h.reportPoll("w", 1, failed(int(h.p.workers["w"].appliedEnd), runs...))
			return h
		},
		"one by one": func(h *harness, runs []pv.RunRef) *harness {
			for _, r := range runs {
				h.sendOrders("w") // renews its lease
				h.reportPoll("w", 1, failed(int(h.p.workers["w"].appliedEnd), r))
				h.tickAndCommit()
			}
			return h
		},
		"to one leader after the other": func(h *harness, runs []pv.RunRef) *harness {
			for i := range runs {
				h = h.successor()
				h.reportPoll("w", 1, PollResult{EndsTruncated: true}) // its token is confirmed
				h.reportPoll("w", 1, failed(0, runs[:i+1]...))        // nothing is acknowledged yet
				h.tickAndCommit()
			}
			return h
		},
		"to the next leader, after another end of a member": func(h *harness, runs []pv.RunRef) *harness {
			h.reportPoll("w", 1, PollResult{EndsAbove: h.p.workers["w"].appliedEnd, Ended: []pv.RunEnd{{Sequence: h.p.workers["w"].appliedEnd + 1, Run: runs[0], Kind: pv.EndStopped}}})
			h.tickAndCommit()
			h = h.successor()
			h.reportPoll("w", 1, failed(0, runs[1:]...))
			return h
		},
		"to a leader whose records aren't stored, and to the next one": func(h *harness, runs []pv.RunRef) *harness {
			h.reportPoll("w", 1, failed(0, runs[:3]...))
			h.p.Tick(h.now)
			h.p.NextBatch()
			h = h.successor()
			h.reportPoll("w", 1, failed(0, runs...))
			return h
		},
	}
	for name, report := range reports {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.reportPoll("w", 1, PollResult{})
			h.submit("j", gangStep(members))
			for attempt := 1; attempt <= testQueue.MaxAttempts; attempt++ {
				h.advance(minGangReturnTime)
				starts := h.sendOrders("w")
				if len(starts) != members || starts[0].Attempt != attempt {
					t.Fatalf("got starts %v, want attempt %d of %d members", starts, attempt, members)
				}
				h = report(h, starts)
				h.tickAndCommit()
			}
			h.checkState("j", pv.JobFailed)
			if got := h.sendOrders("w"); len(got) != 0 {
				t.Errorf("got starts %v after the job failed, want none", got)
			}
		})
	}
}

// Records of earlier versions count the failed members of a gang. They are taken for as many failed
// attempts as there can have been, and the latest attempt isn't counted again.
func TestGangFailuresOfEarlierVersions(t *testing.T) {
	for name, c := range map[string]struct {
		state, tasks string
		want         gangFailures
	}{
		"no failure":                        {`{"state":"running","tasks":"apart"}`, `[{"index":0,"attempt":2},{"index":1,"attempt":2}]`, gangFailures{}},
		"first attempt, one member runs":    {`{"state":"running","tasks":"apart","gangs":[2]}`, `[{"index":0,"attempt":1},{"index":1,"attempt":1,"worker":"w","life":1}]`, gangFailures{attempts: 1, lastAttempt: 1}},
		"second attempt, all members run":   {`{"state":"running","tasks":"apart","gangs":[2]}`, `[{"index":0,"attempt":2,"worker":"w","life":1},{"index":1,"attempt":2,"worker":"w","life":1}]`, gangFailures{attempts: 1, lastAttempt: 1}},
		"third attempt has ended":           {`{"state":"running","tasks":"apart","gangs":[2]}`, `[{"index":0,"attempt":3},{"index":1,"attempt":3}]`, gangFailures{attempts: 2, lastAttempt: 3}},
		"present version":                   {`{"state":"running","tasks":"apart","gangs":[1],"gangAttempts":[1]}`, `[{"index":0,"attempt":3},{"index":1,"attempt":3}]`, gangFailures{attempts: 1, lastAttempt: 1}},
		"attempts that can't have been":     {`{"state":"running","tasks":"apart","gangs":[9],"gangAttempts":[9]}`, `[{"index":0,"attempt":1},{"index":1,"attempt":1}]`, gangFailures{attempts: 1, lastAttempt: 1}},
		"failures without an attempt":       {`{"state":"running","tasks":"apart","gangs":[2]}`, `[]`, gangFailures{}},
		"negative numbers":                  {`{"state":"running","tasks":"apart","gangs":[-2],"gangAttempts":[-3]}`, `[{"index":0,"attempt":1},{"index":1,"attempt":1}]`, gangFailures{}},
		"more steps than the job has":       {`{"state":"running","tasks":"apart","gangs":[1,1],"gangAttempts":[1,1]}`, `[{"index":0,"attempt":1},{"index":1,"attempt":1}]`, gangFailures{attempts: 1, lastAttempt: 1}},
		"an attempt that is still complete": {`{"state":"running","tasks":"apart","gangs":[1],"gangAttempts":[2]}`, `[{"index":0,"attempt":2,"worker":"w","life":1},{"index":1,"attempt":2,"worker":"w","life":1}]`, gangFailures{attempts: 1, lastAttempt: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			spec, err := json.Marshal(specRecord{Job: []byte(`{"id":"j","steps":[{"count":2,"gang":true}]}`), Queue: testQueue, AcceptedUnixMS: 1})
			if err != nil {
				t.Fatal(err)
			}
			h := newHarness(t)
			h.records = map[string][]byte{specPrefix + "j": spec, statePrefix + "j": []byte(c.state), tasksKey("j", 0, 0): []byte(c.tasks)}
			got := h.successor().p.jobs["j"].steps[0].gangFailures
			if got.attempts != c.want.attempts || got.lastAttempt != c.want.lastAttempt {
				t.Errorf("got %+v, want %+v", got, c.want)
			}
		})
	}
}

// LOST: a gang that fails by its own fault counted as a failure in a row of its worker with each of
// its members, and one attempt took the worker out of service. An attempt counts once for each
// worker on which members failed, and a worker on which several fail is still quarantined.
func TestFailedGangIsOneFailureOfItsWorker(t *testing.T) {
	h := newHarness(t)
	h.reportPoll("w", 1, PollResult{})
	for i := 1; i <= quarantineFailures; i++ {
		if got := h.p.unavailability(h.now, h.p.workers["w"]); got != "" {
			t.Fatalf("got %s after %d failed gangs, want the worker available", got, i-1)
		}
		h.submit(fmt.Sprint("j", i), gangStep(6))
		h.tickAndCommit()
		for _, r := range h.sendOrders("w") {
			h.reportPoll("w", 1, failed(int(h.p.workers["w"].appliedEnd), r))
		}
		h.p.Cancel(h.now, pv.JobID(fmt.Sprint("j", i)))
		h.tickAndCommit()
		h.sendOrders("w") // renews its lease
	}
	if got, want := h.p.unavailability(h.now, h.p.workers["w"]), "quarantined"; got != want {
		t.Errorf("got %q after %d failed gangs, want %s", got, quarantineFailures, want)
	}
}

// LOST: only the member that had failed avoided the worker where it had; the others, whose runs were
// broken off, went back there, and a gang used up its attempts on one faulty worker beside an idle one.
func TestGangAvoidsWorkerWhereAMemberFailed(t *testing.T) {
	h := newHarness(t)
	h.reportPoll("w", 1, PollResult{})
	standing := stepWithTasks(6)
	standing.Standing = true
	h.submit("standing", standing)
	h.tickAndCommit()
	h.sendOrders("w") // w is the first choice for other work too
	h.submit("j", gangStep(2))
	h.tickAndCommit()
	starts := h.sendOrders("w")
	if len(starts) != 2 {
		t.Fatalf("got starts %v, want the whole gang on the only worker", starts)
	}
	h.reportPoll("v", 1, PollResult{})
	h.sendOrders("v") // renews its lease
	ends := failed(0, starts...)
	ends.Ended[1].Kind = pv.EndGangBroken
	h.reportPoll("w", 1, ends)
	h.tickAndCommit()
	if got := h.sendOrders("w"); len(got) != 0 {
		t.Errorf("got %v on the worker where a member failed, want none", got)
	}
	if got := h.sendOrders("v"); len(got) != 2 {
		t.Errorf("got %v on the other worker, want the whole gang", got)
	}
}

// LOST: a gang used up its attempts within 0.1 s on the one worker that a new leader knew, and that
// failed all, before the others had linked to the leader. It waits for them, but returns to the only
// worker in time.
func TestGangWaitsBeforeItReturns(t *testing.T) {
	const maxIdleTime = 3 * time.Second // of a job for which there is room
	for name, linked := range map[string]string{"other worker links": "v", "no other worker": "w"} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.reportPoll("w", 1, PollResult{})
			h.submit("j", gangStep(4))
			h.tickAndCommit()
			h.reportPoll("w", 1, failed(0, h.sendOrders("w")...))
			h.advance(100 * time.Millisecond)
			if got := h.sendOrders("w"); len(got) != 0 {
				t.Errorf("got %v where the gang has just failed, want none", got)
			}
			h.pollEach(linked)
			h.advanceUntil(func() bool { return len(h.p.workers[pv.WorkerID(linked)].runs) == 4 }, linked)
			if got := h.now.Sub(h.p.jobs["j"].acceptedAt); got > maxIdleTime {
				t.Errorf("got the gang started after %v, want at most %v", got, maxIdleTime)
			}
		})
	}
}
