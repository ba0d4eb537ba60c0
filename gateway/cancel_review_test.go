package gateway_test

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"testing"
	"time"

	pv "persimmonvalve"
	"persimmonvalve/gateway"
	"persimmonvalve/internal/pipenet"
	"persimmonvalve/leader"
)

// A job starts after its cancellation was answered with "unknown job" when its
// submission, which had no answer, is stored late.
func TestLateSubmissionAfterCancellationOfUnknownJob(t *testing.T) {
	pipenet.Bubble(t, func(t *testing.T) {
		s := newSiteHarness(t, 1)
		defer s.close()
		s.waitForLeader()
		time.Sleep(3 * time.Second)
		job := testJob(1, rand.New(rand.NewPCG(1, 1)))
		s.mu.Lock()
		s.jobs[job.ID] = job
		s.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
		defer cancel()
		if got := s.gateways[0].gateway.Cancel(ctx, job.ID).Result; got != gateway.UnknownJob {
			t.Fatalf("got %s, want %s", got, gateway.UnknownJob)
		}
		time.Sleep(2 * time.Second)
		spec, err := json.Marshal(job)
		if err != nil {
			t.Fatal(err)
		}
		queue, err := json.Marshal(siteQueue)
		if err != nil {
			t.Fatal(err)
		}
		record, err := leader.InboxJobRecord(job.ID, spec, queue)
		if err != nil {
			t.Fatal(err)
		}
		if err := s.store.ClientFor("late").Put(context.Background(), leader.InboxTopic, []pv.KeyedRecord{record}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Second)
		if s.runAudit.JobStarted(job.ID) {
			t.Error("got a start of the job, want none")
		}
	})
}
