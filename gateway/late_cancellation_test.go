package gateway_test

// This file defines tests of cancellations that reach a leader late, or that only a
// former leader knew.

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	pv "persimmonvalve"
	"persimmonvalve/gateway"
	"persimmonvalve/internal/pipenet"
	"persimmonvalve/leader"
	"persimmonvalve/planner"
	"persimmonvalve/standin"
)

// cancellationLimit is the time after the acknowledgement of a cancellation after which no
// run of the job may be started.
const cancellationLimit = 3 * time.Second

// hangInboxReads makes the calls hang from now on that hangs reports, and ends the read of the
// inbox in progress: a long poll that began before doesn't hang, and would return the next
// record. The leader's last read begins and ends right before.
func (s *siteHarness) hangInboxReads(hangs func(process string, topic pv.Topic, appends bool) bool) {
	other := func() {
		if err := s.store.ClientFor("other").Put(context.Background(), leader.InboxTopic, []pv.KeyedRecord{{Key: "other", Value: []byte("x")}}); err != nil {
			s.t.Fatal(err)
		}
		time.Sleep(time.Millisecond)
	}
	other()
	s.mu.Lock()
	s.storeCallHangs = hangs
	s.mu.Unlock()
	other()
}

// checkStarted reports a job of which no start call has begun.
func (s *siteHarness) checkStarted(id pv.JobID) {
	s.t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lastStart[id].IsZero() {
		s.t.Errorf("got no start of job %s before its cancellation, want some", id)
	}
}

// Starts were sent 3.5 s after an acknowledged cancellation: the read of the inbox that brought
// it, after others had failed, permitted starts again before the job's stops were sent.
func TestLateReadCancellationPermitsNoStart(t *testing.T) {
	appendTimes := map[string]time.Duration{
		"commits take 5 ms":   5 * time.Millisecond,
		"commits take 50 ms":  50 * time.Millisecond,  // another region's leader, or one on a weak machine
		"commits take 250 ms": 250 * time.Millisecond, // as long as a slow store's
	}
	for name, appendTime := range appendTimes {
		t.Run(name, func(t *testing.T) {
			late, rounds := 0, 0
			var latest time.Duration
			for offset := time.Duration(0); offset < 400*time.Millisecond; offset += 20 * time.Millisecond { // 400 ms lie between two renewals of a lease
				pipenet.Bubble(t, func(t *testing.T) {
					s := newSiteHarness(t, 1)
					defer s.close()
					s.waitForLeader()
					time.Sleep(3 * time.Second)
					job := pv.Job{ID: "job", Payload: "p", Steps: []pv.Step{{
						Count: 8, Size: pv.Resources{MilliCores: taskMilliCores, MemoryMB: 100}, Estimate: taskRunTime,
					}}}
					s.mu.Lock()
					s.startHangs = func(id pv.JobID) bool { return id == job.ID }
					s.mu.Unlock()
					s.submitUntilAccepted(job)
					time.Sleep(300*time.Millisecond + offset)
					s.checkStarted(job.ID)
					linked := s.leaderIndex()
					leading := s.gateways[linked]
					cutOff := s.gateways[(linked+1)%gatewayCount]
					for i, p := range s.gateways {
						if i != linked {
							s.network.Isolate(p.name, true)
						}
					}
					readsHangUntil := time.Now().Add(2 * time.Second) // two reads, of 1.5 s each
					s.hangInboxReads(func(process string, topic pv.Topic, appends bool) bool {
						if process == leading.name && appends {
							time.Sleep(appendTime)
						}
						return process == leading.name && topic == leader.InboxTopic && !appends && time.Now().Before(readsHangUntil)
					})
					if !s.cancelJob(cutOff, job.ID) {
						t.Fatal("got the cancellation not confirmed, want it confirmed")
					}
					confirmedAt := time.Now()
					time.Sleep(8 * time.Second)
					if !leading.leader.Leading() {
						t.Fatal("got another leader, want the same")
					}
					s.mu.Lock()
					after := s.lastStart[job.ID].Sub(confirmedAt)
					s.mu.Unlock()
					rounds++
					if after > cancellationLimit {
						late++
						latest = max(latest, after)
					}
				})
			}
			if late > 0 {
				t.Errorf("got a start call up to %v after the confirmed cancellation in %d of %d rounds, want none after %v", latest, late, rounds, cancellationLimit)
			}
		})
	}
}

// A job ran although its cancellation had been answered with "unknown job": the submission took
// effect after it, late or repeated, under the next leader, which didn't know of it.
func TestCancellationOfUnknownJobOutlivesItsLeader(t *testing.T) {
	submissions := map[string]func(t *testing.T, s *siteHarness, job pv.Job){
		"a late record of the inbox": func(t *testing.T, s *siteHarness, job pv.Job) {
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
		},
		"a repeated call": func(_ *testing.T, s *siteHarness, job pv.Job) { s.submitUntilAccepted(job) },
	}
	for name, submit := range submissions {
		t.Run(name, func(t *testing.T) {
			for seed := uint64(1); seed <= 3; seed++ {
				t.Run(fmt.Sprint(seed), func(t *testing.T) {
					pipenet.Bubble(t, func(t *testing.T) {
						s := newSiteHarness(t, seed)
						defer s.close()
						s.waitForLeader()
						time.Sleep(3 * time.Second)
						job := testJob(1, rand.New(rand.NewPCG(seed, 1)))
						s.mu.Lock()
						s.jobs[job.ID] = job
						s.mu.Unlock()
						ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
						defer cancel()
						if got := s.gateways[s.leaderIndex()].gateway.Cancel(ctx, job.ID).Result; got != gateway.UnknownJob {
							t.Fatalf("got %s, want %s", got, gateway.UnknownJob)
						}
						s.replaceGateway(s.leaderIndex())
						time.Sleep(4 * time.Second)
						submit(t, s, job)
						time.Sleep(5 * time.Second)
						if s.runAudit.JobStarted(job.ID) {
							t.Errorf("got a start of the job 4 s after its cancellation, want none after %v", cancellationLimit)
						}
					})
				})
			}
		})
	}
}

// delayableLinks returns a function that delays what is written to leaders' links, in each
// direction, from then on.
func (s *siteHarness) delayableLinks() (setDelay func(time.Duration)) {
	var delay atomic.Int64
	s.inject(injection{link: func(_, _ string) linkState { return linkState{delay: time.Duration(delay.Load())} }})
	return func(d time.Duration) { delay.Store(int64(d)) }
}

// Starts were sent 3.4 s after an acknowledged cancellation that the leader couldn't read: its
// first orders, held up by the network, permitted starts from their arrival on.
func TestDelayedFirstOrdersPermitNoStart(t *testing.T) {
	for _, linkDelay := range []time.Duration{0, 300 * time.Millisecond, 450 * time.Millisecond} {
		t.Run(linkDelay.String(), func(t *testing.T) {
			late, rounds, opened := 0, 0, 0
			var latest time.Duration
			for offset := time.Duration(0); offset < 3*time.Second; offset += 150 * time.Millisecond { // a leader dials each 3 s
				pipenet.Bubble(t, func(t *testing.T) {
					s := newSiteHarness(t, 1)
					defer s.close()
					setDelay := s.delayableLinks()
					s.waitForLeader()
					time.Sleep(3 * time.Second)
					job := pv.Job{ID: "job", Payload: "p", Steps: []pv.Step{{
						Count: 8, Size: pv.Resources{MilliCores: taskMilliCores, MemoryMB: 100}, Estimate: taskRunTime,
					}}}
					s.mu.Lock()
					s.startHangs = func(id pv.JobID) bool { return id == job.ID }
					s.mu.Unlock()
					s.submitUntilAccepted(job)
					time.Sleep(300 * time.Millisecond)
					s.checkStarted(job.ID)
					for _, p := range s.supervisors {
						s.network.Isolate(p.name, true)
					}
					killed := s.gateways[s.leaderIndex()]
					s.kill(killed)
					time.Sleep(3 * time.Second)
					leading := s.gateways[s.leaderIndex()]
					if !leading.leader.Leading() {
						t.Fatal("got no next leader, want one")
					}
					var cutOff *process
					for _, p := range s.gateways {
						if p != leading && p != killed {
							s.network.Isolate(p.name, true)
							cutOff = p
						}
					}
					time.Sleep(10 * time.Millisecond)
					if cutOff.gateway.Linked() {
						t.Fatal("got a link to the cut-off gateway, want none")
					}
					setDelay(linkDelay)
					time.Sleep(offset)
					for _, p := range s.supervisors {
						s.network.Isolate(p.name, false)
					}
					s.hangInboxReads(func(process string, topic pv.Topic, appends bool) bool {
						return process == leading.name && topic == leader.InboxTopic && !appends
					})
					if !s.cancelJob(cutOff, job.ID) {
						t.Fatal("got the cancellation not confirmed, want it confirmed")
					}
					confirmedAt := time.Now()
					time.Sleep(6 * time.Second)
					if !leading.leader.Leading() {
						t.Fatal("got another leader, want the same")
					}
					s.mu.Lock()
					after := s.lastStart[job.ID].Sub(confirmedAt)
					s.mu.Unlock()
					rounds++
					latest = max(latest, after)
					if after > 0 {
						opened++
					}
					if after > cancellationLimit {
						late++
					}
				})
			}
			t.Logf("%d rounds, %d with a start after the cancellation, up to %v", rounds, opened, latest)
			if linkDelay == 0 && opened == 0 {
				t.Error("got no start after the cancellation on links without a delay, want some within the limit")
			}
			if late > 0 {
				t.Errorf("got a start call up to %v after the confirmed cancellation in %d of %d rounds, want none after %v", latest, late, rounds, cancellationLimit)
			}
		})
	}
}

// Jobs wait for their start although the leader reads the inbox and commits: after one
// cancellation from the inbox, each later read counts from a commit that began after it.
func TestCancellationFromInboxHoldsUpNoStarts(t *testing.T) {
	const (
		appendTime = 1100 * time.Millisecond // of a store under load, to the jobs topic
		startLimit = 2*appendTime + time.Second
	)
	for _, cancellation := range []bool{false, true} {
		t.Run(fmt.Sprintf("cancellation %t", cancellation), func(t *testing.T) {
			pipenet.Bubble(t, func(t *testing.T) {
				s := newSiteHarness(t, 1)
				defer s.close()
				s.waitForLeader()
				time.Sleep(3 * time.Second)
				leading := s.gateways[s.leaderIndex()]
				submit := func(id pv.JobID) time.Time {
					submittedAt := time.Now()
					job := pv.Job{ID: id, Payload: "p", Steps: []pv.Step{{Count: 1, Size: pv.Resources{MilliCores: taskMilliCores, MemoryMB: 100}, Estimate: taskRunTime}}}
					go s.submit(leading, job)
					time.Sleep(startLimit)
					return submittedAt
				}
				submit("ended")
				s.mu.Lock()
				s.storeCallHangs = func(_ string, topic pv.Topic, appends bool) bool {
					if appends && topic != leader.InboxTopic {
						time.Sleep(appendTime)
					}
					return false
				}
				s.mu.Unlock()
				time.Sleep(2 * time.Second)
				if cancellation {
					if err := s.store.ClientFor("other").Put(context.Background(), leader.InboxTopic, []pv.KeyedRecord{leader.InboxCancelRecord("ended")}); err != nil {
						t.Fatal(err)
					}
					time.Sleep(2 * time.Second)
				}
				for i := range 10 {
					id := pv.JobID(fmt.Sprintf("job-%d", i))
					submittedAt := submit(id)
					s.mu.Lock()
					startedAt := s.lastStart[id]
					s.mu.Unlock()
					if startedAt.IsZero() {
						t.Errorf("job %s: got no start within %v, want one", id, startLimit)
					} else {
						t.Logf("job %s: started after %v", id, startedAt.Sub(submittedAt))
					}
				}
			})
		})
	}
}

// A run starts more than 3 s after an acknowledged cancellation that the leader couldn't read:
// its supervisor was restarted and counts orders held up by the network from their arrival.
func TestRestartedSupervisorStartsNoCancelledRun(t *testing.T) {
	for _, linkDelay := range []time.Duration{0, 300 * time.Millisecond, 450 * time.Millisecond} {
		t.Run(linkDelay.String(), func(t *testing.T) {
			late, rounds := 0, 0
			var latest time.Duration
			for offset := time.Duration(0); offset < 1500*time.Millisecond; offset += 50 * time.Millisecond {
				pipenet.Bubble(t, func(t *testing.T) {
					s := newSiteHarness(t, 1)
					defer s.close()
					setDelay := s.delayableLinks()
					s.waitForLeader()
					time.Sleep(3 * time.Second)
					job := pv.Job{ID: "job", Payload: "p", Steps: []pv.Step{{
						Count: 8, Size: pv.Resources{MilliCores: taskMilliCores, MemoryMB: 100}, Estimate: taskRunTime,
					}}}
					s.mu.Lock()
					s.startHangs = func(id pv.JobID) bool { return id == job.ID }
					s.mu.Unlock()
					s.submitUntilAccepted(job)
					time.Sleep(300 * time.Millisecond)
					s.checkStarted(job.ID)
					leading := s.gateways[s.leaderIndex()]
					var cutOff *process
					for _, p := range s.gateways {
						if p != leading {
							s.network.Isolate(p.name, true)
							cutOff = p
						}
					}
					setDelay(linkDelay)
					s.hangInboxReads(func(process string, topic pv.Topic, appends bool) bool {
						return process == leading.name && topic == leader.InboxTopic && !appends
					})
					if !s.cancelJob(cutOff, job.ID) {
						t.Fatal("got the cancellation not confirmed, want it confirmed")
					}
					confirmedAt := time.Now()
					time.Sleep(offset)
					for i := range s.supervisors {
						s.replaceSupervisor(i)
					}
					time.Sleep(7 * time.Second)
					if !leading.leader.Leading() {
						t.Fatal("got another leader, want the same")
					}
					s.mu.Lock()
					after := s.lastStart[job.ID].Sub(confirmedAt)
					s.mu.Unlock()
					rounds++
					latest = max(latest, after)
					if after > cancellationLimit {
						late++
					}
				})
			}
			t.Logf("%d rounds, starts up to %v after the cancellation", rounds, latest)
			if late > 0 {
				t.Errorf("got a start call up to %v after the confirmed cancellation in %d of %d rounds, want none after %v", latest, late, rounds, cancellationLimit)
			}
		})
	}
}

// A job runs 4 s after its cancellation was answered with "unknown job": the cancellation was a
// repeat, and counted as kept since the first one, whose time was nearly over.
func TestRepeatedCancellationOfUnknownJobIsKept(t *testing.T) {
	pipenet.Bubble(t, func(t *testing.T) {
		s := newSiteHarness(t, 1)
		defer s.close()
		s.waitForLeader()
		time.Sleep(3 * time.Second)
		job := testJob(1, rand.New(rand.NewPCG(1, 1)))
		cancelUnknown := func() {
			ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
			defer cancel()
			if got := s.gateways[0].gateway.Cancel(ctx, job.ID).Result; got != gateway.UnknownJob {
				t.Fatalf("got %s, want %s", got, gateway.UnknownJob)
			}
		}
		cancelUnknown()
		time.Sleep(planner.DefaultSettings().EndedRetention - time.Second)
		cancelUnknown()
		time.Sleep(4 * time.Second)
		s.submitUntilAccepted(job)
		time.Sleep(5 * time.Second)
		if s.runAudit.JobStarted(job.ID) {
			t.Errorf("got a start of the job 4 s after its cancellation, want none after %v", cancellationLimit)
		}
	})
}

// Cancellations of unknown jobs made each later question about an unknown job more expensive: the
// leader read all of them again.
func TestUnknownJobsCostFewReads(t *testing.T) {
	const (
		cancellations = 1200
		maxReads      = 4 // for one question, with those that follow the inbox
	)
	pipenet.Bubble(t, func(t *testing.T) {
		s := newSiteHarness(t, 1)
		defer s.close()
		s.waitForLeader()
		time.Sleep(3 * time.Second)
		leading := s.gateways[s.leaderIndex()]
		var reads atomic.Int64
		s.mu.Lock()
		s.storeCallHangs = func(process string, topic pv.Topic, appends bool) bool {
			if process == leading.name && topic == leader.InboxTopic && !appends {
				reads.Add(1)
			}
			return false
		}
		s.mu.Unlock()
		cancelUnknown := func(id pv.JobID) {
			ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
			defer cancel()
			if got := leading.gateway.Cancel(ctx, id).Result; got != gateway.UnknownJob {
				t.Fatalf("got %s, want %s", got, gateway.UnknownJob)
			}
		}
		for i := range cancellations {
			cancelUnknown(pv.JobID(fmt.Sprintf("%016x", i)))
		}
		time.Sleep(time.Second)
		before := reads.Load()
		cancelUnknown("last")
		if got := reads.Load() - before; got > maxReads {
			t.Errorf("got %d reads of the inbox for one question after %d cancellations, want %d or fewer", got, cancellations, maxReads)
		}
	})
}

// cancelUnknown cancels an unknown job at a gateway and checks the result.
func (s *siteHarness) cancelUnknown(at *process, id pv.JobID) {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	if got := at.gateway.Cancel(ctx, id).Result; got != gateway.UnknownJob {
		s.t.Fatalf("got %s, want %s", got, gateway.UnknownJob)
	}
}

// A question about an unknown job gets no answer while records are appended to the inbox faster
// than the store answers reads: the leader reads on until a read returns none.
func TestUnknownJobIsAnsweredWhileInboxGrows(t *testing.T) {
	for _, c := range []struct{ storeDelay, appendInterval time.Duration }{
		{0, 10 * time.Millisecond},
		{40 * time.Millisecond, 20 * time.Millisecond},   // another region's leader
		{250 * time.Millisecond, 100 * time.Millisecond}, // a slow store
	} {
		t.Run(fmt.Sprintf("store delay %v, an append each %v", c.storeDelay, c.appendInterval), func(t *testing.T) {
			pipenet.Bubble(t, func(t *testing.T) {
				s := newSiteHarness(t, 1)
				defer s.close()
				s.waitForLeader()
				time.Sleep(3 * time.Second)
				leading := s.gateways[s.leaderIndex()]
				s.store.SetFaults(standin.KeyedStoreFaults{Delay: c.storeDelay})
				ctx, cancel := context.WithTimeout(context.Background(), 12*time.Second)
				defer cancel()
				go func() {
					for i := 0; ctx.Err() == nil; i++ {
						go func() {
							record := leader.InboxCancelRecord(pv.JobID(fmt.Sprintf("%016x", i)))
							_ = s.store.ClientFor("other").Put(ctx, leader.InboxTopic, []pv.KeyedRecord{record})
						}()
						time.Sleep(c.appendInterval)
					}
				}()
				time.Sleep(2 * time.Second)
				for range 3 {
					callCtx, cancelCall := context.WithTimeout(context.Background(), callerTimeout)
					a := leading.gateway.State(callCtx, "unknown")
					cancelCall()
					if a.Result != gateway.UnknownJob {
						t.Errorf("got %s after %v, want %s", a.Result, a.Took, gateway.UnknownJob)
					} else {
						t.Logf("got %s after %v", a.Result, a.Took)
					}
				}
				cancel()
				time.Sleep(time.Second)
			})
		})
	}
}

// Each cancellation of an unknown job made the leader read the inbox over and over, as long as
// others came: their records, which it writes itself, kept its reads from ending.
func TestConcurrentUnknownJobsCostFewReads(t *testing.T) {
	const (
		interval = 20 * time.Millisecond // between two cancellations
		duration = 10 * time.Second
		maxReads = 4 // for one question
	)
	for _, storeDelay := range []time.Duration{4 * time.Millisecond, 40 * time.Millisecond, 250 * time.Millisecond} { // near, in another region, slow
		t.Run(storeDelay.String(), func(t *testing.T) {
			pipenet.Bubble(t, func(t *testing.T) {
				s := newSiteHarness(t, 1)
				defer s.close()
				s.waitForLeader()
				time.Sleep(3 * time.Second)
				leading := s.gateways[s.leaderIndex()]
				s.store.SetFaults(standin.KeyedStoreFaults{Delay: storeDelay})
				var reads, answered atomic.Int64
				s.mu.Lock()
				s.storeCallHangs = func(process string, topic pv.Topic, appends bool) bool {
					if process == leading.name && topic == leader.InboxTopic && !appends {
						reads.Add(1)
					}
					return false
				}
				s.mu.Unlock()
				const count = int(duration / interval)
				var calls sync.WaitGroup
				for i := range count {
					calls.Go(func() {
						ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
						defer cancel()
						if leading.gateway.Cancel(ctx, pv.JobID(fmt.Sprintf("%016x", i))).Result == gateway.UnknownJob {
							answered.Add(1)
						}
					})
					time.Sleep(interval)
				}
				calls.Wait()
				t.Logf("%d reads for %d cancellations, %d of them answered with %s", reads.Load(), count, answered.Load(), gateway.UnknownJob)
				if got := reads.Load(); got > int64(maxReads*count) {
					t.Errorf("got %d reads of the inbox for %d cancellations, want %d or fewer for each", got, count, maxReads)
				}
				time.Sleep(3 * time.Second)
			})
		})
	}
}

// A job ran 4 s after the acknowledged repeat of its cancellation: a repeat that a gateway writes
// to the inbox doesn't extend the time for which the first one is kept.
func TestRepeatedCancellationInInboxIsKept(t *testing.T) {
	pipenet.Bubble(t, func(t *testing.T) {
		s := newSiteHarness(t, 1)
		defer s.close()
		s.waitForLeader()
		time.Sleep(3 * time.Second)
		job := testJob(1, rand.New(rand.NewPCG(1, 1)))
		put := func() { // as a gateway without a link to the leader does
			if err := s.store.ClientFor("other").Put(context.Background(), leader.InboxTopic, []pv.KeyedRecord{leader.InboxCancelRecord(job.ID)}); err != nil {
				t.Fatal(err)
			}
		}
		put()
		time.Sleep(planner.DefaultSettings().EndedRetention - time.Second)
		put()
		time.Sleep(4 * time.Second)
		s.submitUntilAccepted(job)
		time.Sleep(5 * time.Second)
		if s.runAudit.JobStarted(job.ID) {
			t.Errorf("got a start of the job 4 s after its cancellation, want none after %v", cancellationLimit)
		}
	})
}

// A job ran under the next leader, 8 s after the answered repeat of its cancellation: the
// tombstone of the first record was written late and removed the record of the repeat.
func TestLateTombstoneKeepsNewCancellation(t *testing.T) {
	pipenet.Bubble(t, func(t *testing.T) {
		s := newSiteHarness(t, 1)
		defer s.close()
		s.waitForLeader()
		time.Sleep(3 * time.Second)
		leading := s.gateways[s.leaderIndex()]
		job := testJob(1, rand.New(rand.NewPCG(1, 1)))
		s.mu.Lock()
		s.jobs[job.ID] = job
		s.mu.Unlock()
		s.cancelUnknown(leading, job.ID)
		time.Sleep(planner.DefaultSettings().EndedRetention - 500*time.Millisecond)
		appendsHangUntil := time.Now().Add(1200 * time.Millisecond)
		s.mu.Lock()
		s.storeCallHangs = func(process string, topic pv.Topic, appends bool) bool {
			return process == leading.name && topic == leader.InboxTopic && appends && time.Now().Before(appendsHangUntil)
		}
		s.mu.Unlock()
		time.Sleep(1300 * time.Millisecond) // the tombstone is being written, without an answer
		s.cancelUnknown(leading, job.ID)
		time.Sleep(4 * time.Second)
		if s.store.NewestValue(leader.InboxTopic, leader.InboxCancelRecord(job.ID).Key) == nil {
			t.Error("got no record of the cancellation in the inbox, want it kept")
		}
		s.replaceGateway(s.leaderIndex())
		time.Sleep(4 * time.Second)
		s.submitUntilAccepted(job)
		time.Sleep(5 * time.Second)
		if s.runAudit.JobStarted(job.ID) {
			t.Errorf("got a start of the job 8 s after its cancellation, want none after %v", cancellationLimit)
		}
	})
}
