package gateway_test

// This file defines tests of prompt cancellations beside several faults at once and in a
// row: each path from a decision to start a run to its effect, while what would stop it is
// lost, held or late.

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	pv "persimmonvalve"
	"persimmonvalve/gateway"
	"persimmonvalve/internal/pipenet"
	"persimmonvalve/leader"
	"persimmonvalve/standin"
)

// injectFunc injects a fault; undo, if not nil, ends it.
type injectFunc = func(s *siteHarness, r *rand.Rand) (undo func())

// together injects faults at once.
func together(faults ...injectFunc) injectFunc {
	return func(s *siteHarness, r *rand.Rand) func() {
		var undo []func()
		for _, f := range faults {
			if u := f(s, r); u != nil {
				undo = append(undo, u)
			}
		}
		return func() {
			for _, u := range undo {
				u()
			}
		}
	}
}

// inARow injects faults one after the other, the first after 1 s.
func inARow(interval, duration time.Duration, faults ...injectFunc) []timedFault {
	var out []timedFault
	for i, f := range faults {
		out = append(out, timedFault{time.Second + time.Duration(i)*interval, duration, f})
	}
	return out
}

// workerFault changes the faults of all workers, or of one that is drawn, and ends them by
// another change.
func workerFault(all bool, begin, end func(f *standin.JobWorkerFaults)) injectFunc {
	return func(s *siteHarness, r *rand.Rand) func() {
		workers := s.workers
		if !all {
			i := r.IntN(workerCount)
			workers = workers[i : i+1]
		}
		change := func(change func(f *standin.JobWorkerFaults)) {
			for _, w := range workers {
				f := w.Faults()
				change(&f)
				w.SetFaults(f)
			}
		}
		change(begin)
		return func() { change(end) }
	}
}

// pollAnswersLate delays the answers to polls by a time between the two.
func pollAnswersLate(least, most time.Duration) injectFunc {
	return workerFault(true,
		func(f *standin.JobWorkerFaults) { f.MinPollAnswerDelay, f.MaxPollAnswerDelay = least, most },
		func(f *standin.JobWorkerFaults) { f.MinPollAnswerDelay, f.MaxPollAnswerDelay = 0, 0 })
}

// workersPartitioned holds the calls to all workers, or to one that is drawn.
func workersPartitioned(all bool) injectFunc {
	return workerFault(all,
		func(f *standin.JobWorkerFaults) { f.Partitioned = true },
		func(f *standin.JobWorkerFaults) { f.Partitioned = false })
}

// isSupervisor reports whether a process is a supervisor.
func isSupervisor(process string) bool { return process[0] == 'a' }

// newestLeader returns the name of the process that claimed the last term, whether or not
// a former one knows it.
func (s *siteHarness) newestLeader() string {
	var claim struct {
		Node string `json:"node"`
	}
	if err := json.Unmarshal(s.store.NewestValue("keyed.leader", "leader"), &claim); err != nil {
		s.t.Errorf("newest claim: %v", err)
	}
	return claim.Node
}

// ofNewestLeader injects a fault of the process that is the newest leader when it begins.
func ofNewestLeader(faultOf func(leader string) injection) injectFunc {
	return func(s *siteHarness, _ *rand.Rand) func() { return s.inject(faultOf(s.newestLeader())) }
}

// linksSlow delays the links of the newest leader to the processes that match.
func linksSlow(delay time.Duration, match func(process string) bool) injectFunc {
	return ofNewestLeader(func(leader string) injection {
		return injection{link: func(from, to string) linkState {
			if from == leader && match(to) {
				return linkState{delay: delay}
			}
			return linkState{}
		}}
	})
}

// leaderFrozen holds what the newest leader's process sends and receives on its links and
// from the store, until it is undone. Its timers go on.
var leaderFrozen = ofNewestLeader(func(leader string) injection {
	return injection{
		link:      func(from, to string) linkState { return linkState{held: from == leader || to == leader} },
		storeHeld: func(process string) bool { return process == leader },
	}
})

// leaderWithoutStore leaves the store calls of the newest leader without an answer.
var leaderWithoutStore = ofNewestLeader(func(leader string) injection {
	return injection{storeHangs: func(process string, _ pv.Topic, _ bool) bool { return process == leader }}
})

// gatewaysWithoutStore leaves those of all other gateways without an answer.
var gatewaysWithoutStore = ofNewestLeader(func(leader string) injection {
	return injection{storeHangs: func(process string, _ pv.Topic, _ bool) bool { return process != leader && !isSupervisor(process) }}
})

// leaderWithoutInbox leaves the newest leader's reads of the inbox without an answer.
var leaderWithoutInbox = ofNewestLeader(func(name string) injection {
	return injection{storeHangs: func(process string, topic pv.Topic, appends bool) bool {
		return process == name && topic == leader.InboxTopic && !appends
	}}
})

// leaderCutOff cuts the newest leader off from the other processes. It reaches the store.
func leaderCutOff(s *siteHarness, _ *rand.Rand) func() {
	name := s.newestLeader()
	s.network.Isolate(name, true)
	return func() { s.network.Isolate(name, false) }
}

// leaderKilled kills the newest leader.
func leaderKilled(s *siteHarness, _ *rand.Rand) func() {
	name := s.newestLeader()
	for i, p := range s.gateways {
		if p.name == name {
			s.replaceGateway(i)
		}
	}
	return nil
}

// allGatewaysKilledAfterAck kills all gateways right after the next acknowledgement of a
// cancellation.
func allGatewaysKilledAfterAck(s *siteHarness, _ *rand.Rand) func() {
	before := s.runAudit.CancellationCount()
	for endAt := time.Now().Add(time.Second); s.runAudit.CancellationCount() == before && time.Now().Before(endAt); {
		time.Sleep(time.Millisecond)
	}
	for i := range s.gateways {
		s.replaceGateway(i)
	}
	return nil
}

// cancellationScenarios returns faults beside which cancellations right after the
// acknowledgement must take effect in time.
func cancellationScenarios(t *testing.T) []struct {
	name   string
	faults []timedFault
} {
	t.Helper()
	named := func(name string) injectFunc { return faultNamed(t, name).inject }
	late, slow, lost := named("appends late"), named("store slow"), named("answers lost")
	restarted, restartedAtOnce := named("worker restarted"), named("worker restarted at once")
	anyProcess := func(string) bool { return true }
	const ms = time.Millisecond
	return []struct {
		name   string
		faults []timedFault
	}{
		{"leaders killed in a row", inARow(1600*ms, 0, leaderKilled, leaderKilled, leaderKilled, leaderKilled)},
		{"leaders cut off and without the store in a row", inARow(1800*ms, 3000*ms, together(leaderCutOff, leaderWithoutStore), together(leaderCutOff, leaderWithoutStore), leaderKilled)},
		{"leaders frozen, cut off and killed in a row", inARow(1700*ms, 2400*ms, leaderFrozen, leaderFrozen, leaderCutOff, leaderKilled)},
		{"leaders of a slow store in a row", inARow(1500*ms, 1400*ms, together(leaderKilled, late), together(named("leader stopped"), slow), together(leaderKilled, lost))},
		{"leaders without the store or the inbox in a row", inARow(1800*ms, 2800*ms, leaderWithoutStore, leaderWithoutStore, leaderWithoutInbox)},
		{"leader without the store or the inbox, slow links, polls answered late", inARow(2500*ms, 2200*ms,
			together(pollAnswersLate(0, 1400*ms), linksSlow(700*ms, anyProcess), leaderWithoutStore),
			together(pollAnswersLate(300*ms, 1400*ms), linksSlow(300*ms, isSupervisor), leaderWithoutInbox),
			together(pollAnswersLate(300*ms, 1400*ms), leaderWithoutStore, leaderCutOff))},
		{"gateways without the store, leader killed", inARow(3000*ms, 2000*ms, gatewaysWithoutStore, together(gatewaysWithoutStore, leaderKilled))},
		{"gateways killed after an acknowledgement, store slow or late", inARow(2500*ms, 1500*ms, allGatewaysKilledAfterAck, together(slow, allGatewaysKilledAfterAck), together(late, allGatewaysKilledAfterAck))},
		{"workers partitioned, leader killed or cut off", inARow(3000*ms, 1800*ms, together(workersPartitioned(true), leaderKilled), together(workersPartitioned(false), leaderCutOff))},
		{"workers partitioned, restarted or replaced, leader killed, answers lost", inARow(1600*ms, 1000*ms,
			together(workersPartitioned(false), restartedAtOnce), together(workersPartitioned(true), restarted, leaderKilled),
			together(restarted, lost), together(named("worker replaced"), leaderKilled))},
		{"supervisor killed or cut off, leader frozen or without the store", inARow(3000*ms, 2000*ms, together(named("agent killed"), leaderFrozen), together(named("agent cut off"), leaderWithoutStore))},
	}
}

// Starts were sent more than 3 s after the acknowledged cancellation of their job beside
// two or three faults at once, or one after the other. PVALVE_SITE_SEED sets the first seed
// and PVALVE_SITE_RUNS the number of seeds.
func TestCancellationsBesideSeveralFaults(t *testing.T) {
	first, count := siteSeedsOr(t, 1)
	for _, sc := range cancellationScenarios(t) {
		t.Run(sc.name, func(t *testing.T) {
			for seed := first; seed < first+count; seed++ {
				t.Run(fmt.Sprint(seed), func(t *testing.T) { runCancellations(t, seed, cancelledAtOnce(sc.faults...)) })
			}
		})
	}
}

// The same for three faults that are drawn, at times that are drawn, and for jobs of up to
// three steps, some of which are cancelled while they run.
func TestCancellationsBesideDrawnFaults(t *testing.T) {
	kinds := []fault{
		{"leader frozen", leaderFrozen}, {"leader without the store", leaderWithoutStore}, {"leader without the inbox", leaderWithoutInbox},
		{"gateways without the store", gatewaysWithoutStore},
		{"links of the leader slow", linksSlow(700*time.Millisecond, func(string) bool { return true })},
		{"links to supervisors slow", linksSlow(400*time.Millisecond, isSupervisor)},
		{"polls answered late", pollAnswersLate(0, 1400*time.Millisecond)}, {"workers partitioned", workersPartitioned(true)},
		{"worker partitioned", workersPartitioned(false)}, {"gateways killed after an acknowledgement", allGatewaysKilledAfterAck},
	}
	for _, f := range faults {
		if f.name != "orders late" { // its end would end the unanswered orders of all runs
			kinds = append(kinds, f)
		}
	}
	first, count := siteSeedsOr(t, 1)
	for seed := first; seed < first+count; seed++ {
		random := rand.New(rand.NewPCG(seed, 7))
		run := cancellationRun{steps: 1 + random.IntN(3), cancelWithin: time.Duration(300+random.IntN(2)*2000) * time.Millisecond}
		label := fmt.Sprintf("%d %d steps, cancelled within %v,", seed, run.steps, run.cancelWithin)
		for range 3 {
			k := kinds[random.IntN(len(kinds))]
			f := timedFault{time.Duration(1000+random.IntN(5000)) * time.Millisecond, time.Duration(300+random.IntN(2500)) * time.Millisecond, k.inject}
			run.faults = append(run.faults, f)
			label += fmt.Sprintf(" %s at %v for %v,", k.name, f.at, f.duration)
		}
		t.Run(label, func(t *testing.T) { runCancellations(t, seed, run) })
	}
}

// gatewayOtherThan returns a gateway that isn't the named one.
func (s *siteHarness) gatewayOtherThan(name string) *process {
	for _, p := range s.gateways {
		if p.name != name {
			return p
		}
	}
	return nil
}

// othersCutOff cuts all gateways but the newest leader off from the other processes.
func othersCutOff(s *siteHarness, _ *rand.Rand) func() {
	name := s.newestLeader()
	var undo []func()
	for _, p := range s.gateways {
		if p.name != name {
			s.network.Isolate(p.name, true)
			undo = append(undo, func() { s.network.Isolate(p.name, false) })
		}
	}
	return func() {
		for _, u := range undo {
			u()
		}
	}
}

// supervisorsHeld holds the links between the newest leader and the supervisors.
var supervisorsHeld = ofNewestLeader(func(leader string) injection {
	return injection{link: func(from, to string) linkState { return linkState{held: from == leader && isSupervisor(to)} }}
})

// A cancellation that only the store has, in the inbox or in the jobs topic, when all
// gateways or several leaders in a row are lost must reach the supervisors, whose starts
// are repeated, or end their permission to start. PVALVE_SITE_SEED sets the first seed and
// PVALVE_SITE_RUNS the number of seeds.
func TestCancellationKnownToStoreAlone(t *testing.T) {
	first, count := siteSeedsOr(t, 1)
	killAll := func(s *siteHarness) {
		for i := range s.gateways {
			s.replaceGateway(i)
		}
	}
	killInARow := func(s *siteHarness) {
		for range 4 {
			leaderKilled(s, nil)
			time.Sleep(1500 * time.Millisecond)
		}
	}
	for _, c := range []struct {
		name         string
		disturb      injectFunc
		cancelLinked bool // at the leader's own gateway
		afterwards   func(s *siteHarness)
	}{
		{"in the inbox, all gateways killed", together(leaderWithoutInbox, othersCutOff), false, killAll},
		{"in the inbox, leaders killed in a row", together(leaderWithoutInbox, othersCutOff), false, killInARow},
		{"in the jobs topic, all gateways killed", supervisorsHeld, true, killAll},
		{"in the jobs topic, leaders killed in a row", supervisorsHeld, true, killInARow},
		{"in the jobs topic, links held", supervisorsHeld, true, func(*siteHarness) {}},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := first; seed < first+count; seed++ {
				t.Run(fmt.Sprint(seed), func(t *testing.T) {
					checkCancellation(t, seed, pv.StartLeaseExpired, func(s *siteHarness) (*process, func(), func()) {
						s.delayLinks()
						time.Sleep(seededDelay(seed))
						name := s.newestLeader()
						undo := c.disturb(s, nil)
						time.Sleep(20 * time.Millisecond)
						at := s.gatewayOtherThan(name)
						if c.cancelLinked {
							at = s.gateways[s.leaderIndex()]
						}
						return at, func() {
							c.afterwards(s)
							undo()
						}, nil
					})
				})
			}
		})
	}
}

// seededDelay returns a time below 1 s, so that the seeds meet the phases of polls, retries
// and reads of the inbox.
func seededDelay(seed uint64) time.Duration { return time.Duration(seed*37%1000) * time.Millisecond }

// delayLinks has all links opened anew as ones that can be delayed, and waits until they are
// in use.
func (s *siteHarness) delayLinks() {
	s.inject(injection{link: func(string, string) linkState { return linkState{} }})()
	time.Sleep(2500 * time.Millisecond)
}

// A leader that has lost the store, or can't read the inbox, renews the permission to start
// for 1.8 s. Its orders arrive late, and the supervisors can't tell how late, since the
// answers to polls are late too: the sum must stay within 3 s of a cancellation that another
// gateway accepted. PVALVE_SITE_SEED sets the first seed and PVALVE_SITE_RUNS the number of
// seeds.
func TestLateOrdersBesideLatePollAnswers(t *testing.T) {
	first, count := siteSeedsOr(t, 1)
	const ms = time.Millisecond
	for _, c := range []struct {
		name              string
		inject            injectFunc
		link, least, most time.Duration // delays of the links to supervisors, and of the answers to polls
	}{
		{"without the store, slow links", leaderWithoutStore, 700 * ms, 0, 0},
		{"without the store, polls answered late", leaderWithoutStore, 0, 300 * ms, 1400 * ms},
		{"without the store, both", leaderWithoutStore, 300 * ms, 0, 1400 * ms},
		{"without the inbox, both", leaderWithoutInbox, 700 * ms, 0, 1400 * ms},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := first; seed < first+count; seed++ {
				t.Run(fmt.Sprint(seed), func(t *testing.T) {
					checkCancellation(t, seed, pv.StartLeaseExpired, func(s *siteHarness) (*process, func(), func()) {
						s.delayLinks()
						name := s.newestLeader()
						undoDelays := together(linksSlow(c.link, isSupervisor), pollAnswersLate(c.least, c.most))(s, nil)
						time.Sleep(seededDelay(seed))
						undo := together(c.inject, othersCutOff)(s, nil)
						time.Sleep(20 * ms)
						return s.gatewayOtherThan(name), nil, func() { undo(); undoDelays() }
					})
				})
			}
		})
	}
}

// A new leader that can't read the inbox knows of no cancellation there, and starts nothing.
func TestNoStartBeforeFirstReadOfInbox(t *testing.T) {
	checkCancellation(t, 1, pv.StartLeaseExpired, func(s *siteHarness) (*process, func(), func()) {
		s.delayLinks()
		former := s.newestLeader()
		undo := s.inject(injection{storeHangs: func(_ string, topic pv.Topic, appends bool) bool {
			return topic == leader.InboxTopic && !appends
		}})
		leaderKilled(s, nil)
		time.Sleep(20 * time.Millisecond)
		return s.gatewayOtherThan(former), nil, undo
	})
}

// leaderChanges are the changes between the cancellation of an unknown job and its late
// submission.
var leaderChanges = map[string]func(s *siteHarness){
	"leader killed": func(s *siteHarness) { leaderKilled(s, nil) },
	"leader killed later": func(s *siteHarness) {
		time.Sleep(5 * time.Second)
		leaderKilled(s, nil)
	},
	"leaders killed in a row": func(s *siteHarness) {
		for range 3 {
			leaderKilled(s, nil)
			time.Sleep(1500 * time.Millisecond)
		}
	},
}

// A job whose cancellation was stored in the inbox before its submission took effect started,
// under the same leader if that didn't remember the cancellation, under the next one if it
// wasn't kept in the inbox.
func TestLateSubmissionAfterCancellationInInbox(t *testing.T) {
	overInbox := func(s *siteHarness, id pv.JobID) {
		name := s.newestLeader()
		undo := othersCutOff(s, nil)
		defer undo()
		time.Sleep(50 * time.Millisecond)
		if !s.cancelJob(s.gatewayOtherThan(name), id) {
			s.t.Fatal("got the cancellation not confirmed, want it confirmed")
		}
	}
	t.Run("same leader", func(t *testing.T) { checkLateSubmission(t, overInbox, func(*siteHarness) {}) })
	for name, change := range leaderChanges {
		t.Run(name, func(t *testing.T) { checkLateSubmission(t, overInbox, change) })
	}
}

// A leader called an accepted job unknown, since it hadn't read it from the inbox, or since a
// later leader had accepted it, and the caller took the job for cancelled.
func TestCancellationOfJobUnknownToLeader(t *testing.T) {
	for name, accept := range map[string]func(s *siteHarness, job pv.Job) (cancelAt *process){
		"in the inbox": func(s *siteHarness, job pv.Job) *process {
			name := s.newestLeader()
			linked := s.gatewayOtherThan(name)
			var cutOff *process
			for _, p := range s.gateways {
				if p.name != name && p != linked {
					cutOff = p
				}
			}
			leaderWithoutInbox(s, nil)
			s.network.Isolate(cutOff.name, true)
			time.Sleep(20 * time.Millisecond)
			if got := s.submit(cutOff, job).Result; got != gateway.Done {
				s.t.Fatalf("submission: got %s, want %s", got, gateway.Done)
			}
			return linked
		},
		"at a later leader": func(s *siteHarness, job pv.Job) *process {
			name := s.newestLeader()
			linked := s.gatewayOtherThan(name)
			linked.leader.StopCampaigning()
			var next *process
			for _, p := range s.gateways {
				if p.name != name && p != linked {
					next = p
				}
			}
			s.network.Isolate(next.name, true)
			s.inject(injection{storeHangs: func(process string, topic pv.Topic, appends bool) bool {
				return process == name && appends
			}})
			for range 50 {
				time.Sleep(100 * time.Millisecond)
				if s.newestLeader() == next.name {
					break
				}
			}
			time.Sleep(200 * time.Millisecond)
			if got := s.submit(next, job).Result; got != gateway.Done {
				s.t.Fatalf("submission: got %s, want %s", got, gateway.Done)
			}
			if !linked.gateway.Linked() {
				s.t.Error("got no link from the former leader, want one")
			}
			return linked
		},
	} {
		t.Run(name, func(t *testing.T) {
			pipenet.Bubble(t, func(t *testing.T) {
				s := newSiteHarness(t, 1)
				defer s.close()
				s.waitForLeader()
				time.Sleep(3 * time.Second)
				job := testJob(1, rand.New(rand.NewPCG(1, 1)))
				at := accept(s, job)
				ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
				defer cancel()
				if got := at.gateway.Cancel(ctx, job.ID).Result; got != gateway.Done {
					t.Errorf("cancellation of an accepted job: got %s, want %s", got, gateway.Done)
				}
			})
		})
	}
}
