package leader

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	pv "persimmonvalve"
	"persimmonvalve/internal/wire"
	"persimmonvalve/planner"
)

// A leader refuses jobs beyond the memory that it may use for them. Small jobs have a reserve. A
// repeat of an accepted job is accepted again.
func TestJobsBeyondMemoryAreRefused(t *testing.T) {
	const limit = 16 << 20
	l := &Leader{settings: Settings{Planner: planner.DefaultSettings(), MaxJobBytes: limit}}
	now := time.Now()
	tm := &term{leader: l, logger: zap.NewNop(), metrics: newMetrics(prometheus.NewRegistry()), planner: planner.New(l.settings.Planner, 1), commitStartedAt: now}
	p := &peer{term: tm}
	// submit returns the refusal of a job, or "" if it is to be accepted with the next commit.
	submit := func(id string, tasks int) string {
		job := pv.Job{ID: pv.JobID(id), Steps: []pv.Step{{Count: tasks, Size: pv.Resources{MilliCores: 100}}}}
		body, err := json.Marshal(job)
		if err != nil {
			t.Fatal(err)
		}
		policy, err := json.Marshal(pv.Queue{Name: "q", Service: "s", MaxAttempts: 3})
		if err != nil {
			t.Fatal(err)
		}
		refusal, waiting := "", len(tm.afterCommit)
		p.handleSubmit(now, job.ID, &wire.Question{Body: body, Policy: policy}, func(v string) func() { return func() { refusal = v } })
		if len(tm.afterCommit) == waiting+1 {
			return ""
		}
		return refusal
	}
	accepted := map[int]int{}
	for _, tasks := range []int{pv.MaxJobTasks, 1} {
		for ; accepted[tasks] < 100_000 && submit(fmt.Sprintf("%d-%d", tasks, accepted[tasks]), tasks) == ""; accepted[tasks]++ {
		}
		if got := submit(fmt.Sprintf("%d-more", tasks), tasks); got != VerdictOverloaded {
			t.Errorf("got %q for a job of %d tasks beyond the memory, want %q", got, tasks, VerdictOverloaded)
		}
	}
	if accepted[pv.MaxJobTasks] == 0 || accepted[1] < 1000 {
		t.Errorf("got %v jobs accepted by their tasks, want some large ones and thousands of small ones", accepted)
	}
	if got := tm.planner.JobBytes(); got > limit+limit/jobReserveShare {
		t.Errorf("got %d bytes of jobs, want at most the limit and its reserve", got)
	}
	if got := submit("1-0", 1); got != "" {
		t.Errorf("got %q for the repeat of an accepted job, want it accepted", got)
	}
}
