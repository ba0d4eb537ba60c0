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
	checkLateSubmission(t, cancelUnknownOverLink, func(*siteHarness) {})
}

// cancelUnknownOverLink cancels a job that the leader doesn't know, at a gateway with a link
// to it.
func cancelUnknownOverLink(s *siteHarness, id pv.JobID) {
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	if got := s.gateways[0].gateway.Cancel(ctx, id).Result; got != gateway.UnknownJob {
		s.t.Fatalf("got %s, want %s", got, gateway.UnknownJob)
	}
}

// checkLateSubmission cancels a job before its submission, which had no answer, is stored in
// the inbox 2 s later, after the change. The job must not start.
func checkLateSubmission(t *testing.T, cancel func(s *siteHarness, id pv.JobID), change func(s *siteHarness)) {
	t.Helper()
	pipenet.Bubble(t, func(t *testing.T) {
		s := newSiteHarness(t, 1)
		defer s.close()
		s.waitForLeader()
		time.Sleep(3 * time.Second)
		job := testJob(1, rand.New(rand.NewPCG(1, 1)))
		s.mu.Lock()
		s.jobs[job.ID] = job
		s.mu.Unlock()
		cancel(s, job.ID)
		change(s)
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
