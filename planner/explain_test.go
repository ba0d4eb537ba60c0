package planner

import (
	"testing"

	pv "persimmonvalve"
)

// The explanation names the worker that the submission would get, and for each other worker the
// reason against it. It changes nothing.
func TestExplanationIsTheDecision(t *testing.T) {
	h := newZonedHarness(t)
	h.zones["c"], h.services["c"] = "z2", "other"
	h.reportPoll("c", 1, PollResult{})
	h.evacuate("z1")
	big := stepWithTasks(1)
	big.Size.MilliCores = 6000
	h.submit("first", big)
	h.submit("waits", big)
	h.tickAndCommit()
	for name, c := range map[string]struct {
		milliCores int64
		chosen     pv.WorkerID
		reason     string // against worker b
		ahead      int
	}{"fits": {1000, "b", "", 0}, "too large": {4000, "", "noRoom", 0}, "after another": {7000, "", "noRoom", 1}} {
		step := stepWithTasks(1)
		step.Size.MilliCores = c.milliCores
		spec := pv.Job{ID: "explained", Steps: []pv.Step{step}}
		got := h.p.Explain(h.now, spec, testQueue)
		if len(got.Steps) != 1 || got.Steps[0].Chosen != c.chosen || (got.Steps[0].Waits == "") != (c.chosen != "") || got.Steps[0].StepsAhead != c.ahead {
			t.Errorf("%s: got %+v, want worker %q with %d steps before it", name, got, c.chosen, c.ahead)
			continue
		}
		want := map[pv.WorkerID]string{"a": "zoneEvacuated", "b": c.reason, "c": "otherService"}
		for _, w := range got.Steps[0].Workers {
			if w.Reason != want[w.Worker] {
				t.Errorf("%s: got reason %q against %s, want %q", name, w.Reason, w.Worker, want[w.Worker])
			}
		}
	}
	if _, known := h.p.State("explained"); known || h.p.NextBatch() != nil || len(h.p.newRuns) != 0 {
		t.Error("got changes by explanations, want none")
	}
	small := stepWithTasks(1)
	chosen := h.p.Explain(h.now, pv.Job{ID: "j", Steps: []pv.Step{small}}, testQueue).Steps[0].Chosen
	h.submit("j", small)
	h.tickAndCommit()
	if r := h.p.jobs["j"].steps[0].tasks[0].run; r == nil || r.worker.state.ID != chosen {
		t.Errorf("got run %+v, want one on the explained worker %s", r, chosen)
	}
}
