package demonstrator

import (
	"context"
	"testing"
	"time"

	"persimmonvalve/agent"
	"persimmonvalve/internal/apigen"
	"persimmonvalve/internal/pipenet"
)

// After a holder's crash, running tasks go on, and its successor starts waiting
// tasks after the suspicion timeout, before a worker's lease would have ended.
func TestTakeoverKeepsRunningTasks(t *testing.T) {
	pipenet.Bubble(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
		defer cancel()
		s := newMemorySite(0, 1, 3)
		defer s.stop()
		defaults := agent.DefaultSettings()
		s.configureAgent = func(a *agent.Settings) {
			a.Holder.SuspicionTimeout, a.Holder.MaxRecordInterval = defaults.Holder.SuspicionTimeout, defaults.Holder.MaxRecordInterval
			a.Holder.StaggerPerRank, a.Holder.PollInterval = defaults.Holder.StaggerPerRank, defaults.Holder.PollInterval
			a.Holder.AuthorityTimeout = defaults.Holder.AuthorityTimeout
			a.Scheduler = defaults.Scheduler
		}
		s.agents = append(s.agents, s.newAgent())
		time.Sleep(20 * time.Second) // the first agent becomes the holder of all streams
		s.agents = append(s.agents, s.newAgent(), s.newAgent())
		if err := s.publish(ctx, demoPlans); err != nil {
			t.Fatal(err)
		}
		e := s.entries[0]
		submit := func(id string) {
			if _, err := e.SubmitTask(ctx, &apigen.Submission{ID: apigen.NewOptString(id), Plan: "pulleyWatch"}); err != nil {
				t.Fatal(err)
			}
		}
		awaitStarted := func(id string) {
			for {
				if task, err := e.GetTask(ctx, apigen.GetTaskParams{ID: id}); err == nil && task.State == "started" && len(s.workers.Placements()) > 0 {
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
		}
		submit("before")
		awaitStarted("before")
		time.Sleep(10 * time.Second)
		s.agents[0].Abort()
		crashedAt := time.Now()
		for {
			if _, err := e.SubmitTask(ctx, &apigen.Submission{ID: apigen.NewOptString("after"), Plan: "pulleyWatch"}); err == nil {
				break
			}
		}
		awaitStarted("after")
		took := time.Since(crashedAt)
		task, err := e.GetTask(ctx, apigen.GetTaskParams{ID: "before"})
		if err != nil || task.Attempts != 1 || task.Evictions != 0 {
			t.Errorf("task running before the crash: got %+v %v, want its first attempt still running", task, err)
		}
		if limit := defaults.Scheduler.LeaseDuration; took >= limit {
			t.Errorf("time to the successor's first placement: got %s, want less than the lease of %s", took, limit)
		}
		t.Logf("from the holder's crash to the successor's first placement: %s; lease %s", took, defaults.Scheduler.LeaseDuration)
	})
}
