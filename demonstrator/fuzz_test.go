package demonstrator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	pv "persimmonvalve"
	"persimmonvalve/announcer"
	"persimmonvalve/entry"
	"persimmonvalve/internal/apigen"
	"persimmonvalve/internal/fuzz"
	"persimmonvalve/internal/pipenet"
	"persimmonvalve/standin"
)

func TestMain(m *testing.M) {
	fuzz.SetFlags()
	m.Run()
}

// step is one step of a script: an action, and the wait after it.
type step struct {
	kind string
	n    int // argument, whose meaning depends on the kind
	wait time.Duration
}

var stepKinds = []string{
	"order", "order", "order", "lookup", "lookup", "submit", "cancel", "wait", "wait",
	"crash agent", "leave agent", "crash entry", "outage", "lost acks", "lost appends", "slow log",
	"slow endpoint", "cut answers", "cut sessions", "worker down",
}

const stepsPerScript = 30

func drawScript(t *rapid.T) []step {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{
			kind: rapid.SampledFrom(stepKinds).Draw(t, "kind"),
			n:    rapid.IntRange(0, 5).Draw(t, "n"),
			wait: time.Duration(rapid.SampledFrom([]int{0, 10, 100, 1000, 4000}).Draw(t, "ms")) * time.Millisecond,
		}
	}), stepsPerScript, stepsPerScript).Draw(t, "script")
}

// scriptRun runs one script on one site and collects violations of the guarantees
// to callers.
type scriptRun struct {
	site          *memorySite
	mu            sync.Mutex
	violations    []string
	calls         sync.WaitGroup
	outcomes      map[pv.Outcome]int
	requests      int
	gracefulStops int
}

func (r *scriptRun) addViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// request sends one request and checks its answer against the runs at the endpoints.
func (r *scriptRun) request(e *entry.Entry, plan, key, body string) {
	r.calls.Go(func() {
		params := apigen.DoRequestParams{Service: "cordPath", Plan: apigen.NewOptString(plan)}
		if key != "" {
			params.IdempotencyKey = apigen.NewOptString(key)
		}
		answer, err := e.DoRequest(context.Background(), apigen.DoRequestReq{Data: strings.NewReader(body)}, params)
		outcome := pv.OutcomeFinished
		var f *entry.Failure
		switch {
		case errors.As(err, &f):
			outcome = f.Outcome
			if runs := r.runCount(f.RequestID); outcome == pv.OutcomeRefused && runs > 0 {
				r.addViolation("request %s was answered as not run (%s) but ran %d times", body, f.Reason, runs)
			}
		case err != nil:
			r.addViolation("request %s: %v", body, err)
		default:
			data, _ := io.ReadAll(answer.Response)
			if got, want := string(data), "answer to "+body; got != want {
				r.addViolation("request got %q, want %q", got, want)
			}
		}
		r.mu.Lock()
		r.outcomes[outcome]++
		r.mu.Unlock()
	})
}

func (r *scriptRun) runCount(id string) int {
	r.site.backend.mu.Lock()
	defer r.site.backend.mu.Unlock()
	return r.site.backend.runsByID[id]
}

func (r *scriptRun) execute(st step) {
	s := r.site
	e := s.entries[st.n%len(s.entries)]
	switch st.kind {
	case "order":
		r.requests++
		key := fmt.Sprintf("key-%d", st.n)
		r.request(e, "cordOrder", key, "order "+key)
	case "lookup":
		r.requests++
		r.request(e, "cordPath", "", fmt.Sprintf("lookup %d", r.requests))
	case "submit":
		id := fmt.Sprintf("task-%d", st.n)
		r.calls.Go(func() {
			_, _ = e.SubmitTask(context.Background(), &apigen.Submission{ID: apigen.NewOptString(id), Plan: "dialTension"})
		})
	case "cancel":
		id := fmt.Sprintf("task-%d", st.n)
		r.calls.Go(func() { _, _ = e.CancelTask(context.Background(), apigen.CancelTaskParams{ID: id}) })
	case "crash agent", "leave agent":
		r.replaceAgent(st)
	case "crash entry":
		// A crash would break the connections of the entry's callers. Here the
		// entry finishes their requests, and a new entry is added.
		s.entries = append(s.entries, s.newEntry())
	case "outage":
		s.log.SetFaults(standin.LogFaults{Outage: st.n%2 == 0})
	case "lost acks":
		s.log.SetFaults(standin.LogFaults{LoseAcks: st.n})
	case "lost appends":
		s.log.SetFaults(standin.LogFaults{LoseAppends: st.n})
	case "slow log":
		s.log.SetFaults(standin.LogFaults{Delay: time.Duration(st.n) * 300 * time.Millisecond})
	case "slow endpoint", "cut answers":
		s.backend.mu.Lock()
		s.backend.delay = time.Duration(1+st.n*200) * time.Millisecond
		s.backend.failAnswers = st.kind == "cut answers" && st.n%2 == 0
		s.backend.mu.Unlock()
	case "cut sessions":
		s.network.CloseConnections()
	case "worker down":
		_ = s.workers.SetFaults(pv.WorkerID(fmt.Sprintf("w%d", st.n%3)), standin.WorkerFaults{Unreachable: st.n%2 == 0, Crash: st.n == 5})
	}
	time.Sleep(st.wait)
}

func (r *scriptRun) replaceAgent(st step) {
	s := r.site
	i := st.n % len(s.agents)
	old := s.agents[i]
	s.agents[i] = s.newAgent()
	if st.kind == "crash agent" {
		old.Abort()
		return
	}
	r.gracefulStops++
	r.calls.Go(func() { _ = old.Stop(context.Background()) })
}

// checkPlacements checks every 100 ms that no task runs on two workers.
func (r *scriptRun) checkPlacements(done <-chan struct{}) {
	for {
		for task, workers := range r.site.workers.Placements() {
			if len(workers) > 1 {
				r.addViolation("task %s runs on %v", task, workers)
			}
		}
		select {
		case <-time.After(100 * time.Millisecond):
		case <-done:
			return
		}
	}
}

// finish ends all faults, waits for all calls and a further minute, and checks the
// runs and the report.
func (r *scriptRun) finish(ctx context.Context) {
	s := r.site
	s.log.SetFaults(standin.LogFaults{})
	s.backend.mu.Lock()
	s.backend.delay, s.backend.failAnswers = time.Millisecond, false
	s.backend.mu.Unlock()
	for i := range 3 {
		_ = s.workers.SetFaults(pv.WorkerID(fmt.Sprintf("w%d", i)), standin.WorkerFaults{})
	}
	r.calls.Wait()
	time.Sleep(time.Minute)
	s.backend.mu.Lock()
	for body, n := range s.backend.runsByBody {
		if strings.HasPrefix(body, "order") && n > 1 {
			r.violations = append(r.violations, fmt.Sprintf("%s ran %d times", body, n))
		}
	}
	s.backend.mu.Unlock()
	for i, c := range s.slotCounters {
		c.mu.Lock()
		if c.maxInProgress > slotsPerAgent {
			r.addViolation("endpoint %d ran %d requests at once, has %d slots", i, c.maxInProgress, slotsPerAgent)
		}
		c.mu.Unlock()
	}
	report, err := s.entries[0].GetReport(ctx, apigen.GetReportParams{})
	if err != nil {
		r.addViolation("no report: %v", err)
		return
	}
	r.checkReport(report)
}

func (r *scriptRun) checkReport(report *apigen.Report) {
	for _, p := range report.Plans {
		if p.Gap != 0 {
			r.addViolation("the counts of plan %s don't add up: %+v", p.Plan, p)
		}
		if p.Plan == "dialTension" && p.Waiting+p.Running > 0 {
			r.addViolation("%d tasks wait and %d run a minute after the last fault: %s", p.Waiting, p.Running, r.describe())
		}
		if p.Plan == "cordOrder" && p.Running > 0 {
			r.addViolation("%d orders are still running", p.Running)
		}
	}
}

// describe returns the cells, the tasks, and the workers on which tasks run.
func (r *scriptRun) describe() string {
	cells, _ := r.site.entries[0].GetCells(context.Background())
	page, _ := r.site.entries[0].ListTasks(context.Background(), apigen.ListTasksParams{})
	return fmt.Sprintf("%+v %+v, workers run %v", cells, page, r.site.workers.Placements())
}

// runScript runs a script on a new site and returns the violations. It adds the
// numbers of steps and outcomes to counts.
func runScript(script []step, m mutant, counts map[string]int) []string {
	ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
	defer cancel()
	r := &scriptRun{site: newMemorySite(3, 2, 3), outcomes: map[pv.Outcome]int{}}
	defer r.site.stop()
	r.site.backend.refuseExecuted = m.refuseExecuted
	if err := r.site.publish(ctx, strings.ReplaceAll(demoPlans, "idempotent: false", "idempotent: "+m.idempotent)); err != nil {
		return []string{err.Error()}
	}
	time.Sleep(5 * time.Second)
	done := make(chan struct{})
	go r.checkPlacements(done)
	for _, st := range script {
		counts[st.kind]++
		r.execute(st)
	}
	r.finish(ctx)
	close(done)
	for outcome, n := range r.outcomes {
		counts["answered "+string(outcome)] += n
	}
	return r.violations
}

// mutant breaks one property on which the guarantees about requests depend.
type mutant struct {
	idempotent     string // value of idempotent in the plan of orders
	refuseExecuted bool   // endpoints report executed requests as refused
}

var noMutant = mutant{idempotent: "false"}

// TestRequestMutantsAreCaught shows that the checks detect each mutant.
func TestRequestMutantsAreCaught(t *testing.T) {
	fuzz.SetChecks(scriptsPerRun)
	mutants := []struct {
		name   string
		change mutant
		want   string
	}{
		{"orders are declared idempotent", mutant{idempotent: "true"}, "ran"},
		{"an endpoint reports an executed request as refused", mutant{idempotent: "false", refuseExecuted: true}, "answered as not run"},
	}
	for _, m := range mutants {
		pipenet.Bubble(t, func(t *testing.T) {
			scripts := 0
			caught, text := fuzz.FindsFailure(func(rt *rapid.T) {
				scripts++
				if violations := runScript(drawScript(rt), m.change, map[string]int{}); len(violations) > 0 {
					rt.Fatalf("%s", strings.Join(violations, "\n"))
				}
			})
			if !caught || !strings.Contains(text, m.want) {
				t.Errorf("%s: got caught=%v %.300s, want %q", m.name, caught, text, m.want)
			}
			line, _, _ := strings.Cut(text, "\n")
			t.Logf("%s: %.160s", m.name, line)
		})
	}
}

// scriptsPerRun is the number of scripts of a run in CI. Each needs a new site.
const scriptsPerRun = "40"

// TestSiteUnderFaults runs random scripts of work and faults on whole sites and
// compares the answers to callers with the runs at the endpoints. All scripts share
// one synctest bubble, because a timer that the session library pools in one bubble
// can't be used in another.
func TestSiteUnderFaults(t *testing.T) {
	fuzz.SetChecks(scriptsPerRun)
	counts := map[string]int{}
	pipenet.Bubble(t, func(t *testing.T) {
		failed, text := fuzz.FindsFailure(func(rt *rapid.T) {
			if violations := runScript(drawScript(rt), noMutant, counts); len(violations) > 0 {
				rt.Fatalf("%s", strings.Join(violations, "\n"))
			}
		})
		if failed {
			t.Error(text)
		}
	})
	t.Logf("steps and outcomes: %v", counts)
}

// All announced candidates for a stream can crash before their announcements
// expire. Another agent must then take the stream over. TestSiteUnderFaults found
// the fault against which this test guards: no agent did.
func TestAllCandidatesVanish(t *testing.T) {
	script := []step{{kind: "submit", n: 1, wait: time.Second}}
	for i := range 40 {
		script = append(script, step{kind: "crash agent", n: i, wait: time.Second})
	}
	script = append(script, step{kind: "submit", n: 2, wait: time.Second})
	pipenet.Bubble(t, func(t *testing.T) {
		if violations := runScript(script, noMutant, map[string]int{}); len(violations) > 0 {
			t.Error(strings.Join(violations, "\n"))
		}
	})
}

// lossyLog fails appends to the membership stream between lossStart and lossEnd.
type lossyLog struct {
	*standin.Log
	lossStart, lossEnd time.Time
}

func (l *lossyLog) Append(ctx context.Context, name pv.StreamName, records [][]byte) (pv.Offset, error) {
	if now := time.Now(); name == announcer.Stream && now.After(l.lossStart) && now.Before(l.lossEnd) {
		return 0, pv.ErrUnavailable
	}
	return l.Log.Append(ctx, name, records)
}

// The announcement of a takeover can be lost and must then be repeated.
// TestSiteUnderFaults found that entries otherwise call the former holder until the
// next announcement, minutes later.
func TestLostAnnouncementIsRepeated(t *testing.T) {
	pipenet.Bubble(t, func(t *testing.T) {
		s := newMemorySite(0, 0, 1)
		log := &lossyLog{Log: s.log, lossStart: time.Now().Add(500 * time.Millisecond), lossEnd: time.Now().Add(5 * time.Second)}
		a := s.newAgentOn(log)
		defer a.Abort()
		time.Sleep(10 * time.Second)
		table := announcer.NewTable(time.Hour)
		b, err := s.log.Read(t.Context(), announcer.Stream, 0, 1000)
		if err != nil {
			t.Fatal(err)
		}
		table.Apply(time.Now(), b)
		for _, stream := range s.layout.CellStreams() {
			if _, ok := table.Holder(stream); !ok {
				t.Errorf("holder of %s: got no announcement, want one", stream)
			}
		}
	})
}
