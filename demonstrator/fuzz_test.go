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

// step is one drawn step of a script.
type step struct {
	kind string
	n    int
	wait time.Duration
}

var stepKinds = []string{
	"order", "order", "order", "lookup", "lookup", "submit", "cancel", "wait", "wait",
	"crash agent", "leave agent", "crash entry", "outage", "lost acks", "lost appends", "slow log",
	"slow endpoint", "cut answers", "cut sessions", "worker down",
}

// scriptSteps is how many steps a script has.
const scriptSteps = 30

func drawScript(t *rapid.T) []step {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{
			kind: rapid.SampledFrom(stepKinds).Draw(t, "kind"),
			n:    rapid.IntRange(0, 5).Draw(t, "n"),
			wait: time.Duration(rapid.SampledFrom([]int{0, 10, 100, 1000, 4000}).Draw(t, "ms")) * time.Millisecond,
		}
	}), scriptSteps, scriptSteps).Draw(t, "script")
}

// trial runs one script on one site and collects what breaks a promise.
type trial struct {
	s        *memorySite
	mu       sync.Mutex
	broken   []string
	calls    sync.WaitGroup
	outcomes map[pv.Outcome]int
	sent     int
	stopped  int
}

func (r *trial) breaks(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, fmt.Sprintf(format, args...))
}

// request sends one request and checks what its caller is told.
func (r *trial) request(e *entry.Entry, plan, key, body string) {
	r.calls.Go(func() {
		params := apigen.DoRequestParams{Service: "cordPath", Plan: apigen.NewOptString(plan)}
		if key != "" {
			params.IdempotencyKey = apigen.NewOptString(key)
		}
		answer, err := e.DoRequest(context.Background(), apigen.DoRequestReq{Data: strings.NewReader(body)}, params)
		outcome := pv.Finished
		var f *entry.Failure
		switch {
		case errors.As(err, &f):
			outcome = f.Outcome
			if ran := r.ran(f.RequestID); outcome == pv.Refused && ran > 0 {
				r.breaks("request %s was told it was not run (%s), and ran %d times", body, f.Reason, ran)
			}
		case err != nil:
			r.breaks("request %s: %v", body, err)
		default:
			data, _ := io.ReadAll(answer.Response)
			if got, want := string(data), "answer to "+body; got != want {
				r.breaks("request got %q, want %q", got, want)
			}
		}
		r.mu.Lock()
		r.outcomes[outcome]++
		r.mu.Unlock()
	})
}

func (r *trial) ran(id string) int {
	r.s.backend.mu.Lock()
	defer r.s.backend.mu.Unlock()
	return r.s.backend.byID[id]
}

func (r *trial) do(st step) {
	s := r.s
	e := s.entries[st.n%len(s.entries)]
	switch st.kind {
	case "order":
		r.sent++
		key := fmt.Sprintf("key-%d", st.n)
		r.request(e, "cordOrder", key, "order "+key)
	case "lookup":
		r.sent++
		r.request(e, "cordPath", "", fmt.Sprintf("lookup %d", r.sent))
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
		// A crashed entry's callers see their connection break; here they are
		// let finish, and a new entry takes over.
		s.entries = append(s.entries, s.newEntry())
	case "outage":
		s.log.SetFaults(standin.LogFaults{Outage: st.n%2 == 0})
	case "lost acks":
		s.log.SetFaults(standin.LogFaults{LoseAcks: st.n})
	case "lost appends":
		s.log.SetFaults(standin.LogFaults{LoseRequests: st.n})
	case "slow log":
		s.log.SetFaults(standin.LogFaults{Delay: time.Duration(st.n) * 300 * time.Millisecond})
	case "slow endpoint", "cut answers":
		s.backend.mu.Lock()
		s.backend.delay = time.Duration(1+st.n*200) * time.Millisecond
		s.backend.cut = st.kind == "cut answers" && st.n%2 == 0
		s.backend.mu.Unlock()
	case "cut sessions":
		s.network.Cut()
	case "worker down":
		_ = s.workers.SetFaults(pv.WorkerID(fmt.Sprintf("w%d", st.n%3)), standin.WorkerFaults{Unreachable: st.n%2 == 0, Crash: st.n == 5})
	}
	time.Sleep(st.wait)
}

func (r *trial) replaceAgent(st step) {
	s := r.s
	i := st.n % len(s.agents)
	old := s.agents[i]
	s.agents[i] = s.newAgent()
	if st.kind == "crash agent" {
		old.Abort()
		return
	}
	r.stopped++
	r.calls.Go(func() { _ = old.Stop(context.Background()) })
}

// watch checks, all the time, that no task runs in two places.
func (r *trial) watch(done <-chan struct{}) {
	for {
		for task, places := range r.s.workers.Running() {
			if len(places) > 1 {
				r.breaks("task %s runs on %v", task, places)
			}
		}
		select {
		case <-time.After(100 * time.Millisecond):
		case <-done:
			return
		}
	}
}

// settle takes the faults away, waits for all calls, and checks the account.
func (r *trial) settle(ctx context.Context) {
	s := r.s
	s.log.SetFaults(standin.LogFaults{})
	s.backend.mu.Lock()
	s.backend.delay, s.backend.cut = time.Millisecond, false
	s.backend.mu.Unlock()
	for i := range 3 {
		_ = s.workers.SetFaults(pv.WorkerID(fmt.Sprintf("w%d", i)), standin.WorkerFaults{})
	}
	r.calls.Wait()
	time.Sleep(time.Minute)
	s.backend.mu.Lock()
	for body, n := range s.backend.byBody {
		if strings.HasPrefix(body, "order") && n > 1 {
			r.broken = append(r.broken, fmt.Sprintf("%s ran %d times", body, n))
		}
	}
	s.backend.mu.Unlock()
	for i, c := range s.slots {
		c.mu.Lock()
		if c.most > memorySlots {
			r.breaks("endpoint %d ran %d requests at once, has %d slots", i, c.most, memorySlots)
		}
		c.mu.Unlock()
	}
	report, err := s.entries[0].GetReport(ctx, apigen.GetReportParams{})
	if err != nil {
		r.breaks("no report: %v", err)
		return
	}
	r.checkReport(report)
}

func (r *trial) checkReport(report *apigen.Report) {
	for _, p := range report.Plans {
		if p.Gap != 0 {
			r.breaks("the account of %s doesn't close: %+v", p.Plan, p)
		}
		if p.Plan == "dialTension" && p.Waiting+p.Running > 0 {
			r.breaks("%d tasks wait and %d run a minute after the last fault: %s", p.Waiting, p.Running, r.describe())
		}
		if p.Plan == "cordOrder" && p.Running > 0 {
			r.breaks("%d orders are still open", p.Running)
		}
	}
}

// describe returns the cells, the tasks that haven't ended, and what runs.
func (r *trial) describe() string {
	cells, _ := r.s.entries[0].GetCells(context.Background())
	page, _ := r.s.entries[0].ListTasks(context.Background(), apigen.ListTasksParams{})
	return fmt.Sprintf("%+v %+v, workers run %v", cells, page, r.s.workers.Running())
}

// runScript runs a script on a new site and returns the promises that broke.
func runScript(script []step, mutant mutation, totals map[string]int) []string {
	ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
	defer cancel()
	r := &trial{s: newMemorySite(3, 2, 3), outcomes: map[pv.Outcome]int{}}
	defer r.s.stop()
	r.s.backend.lie = mutant.lyingEndpoint
	if err := r.s.publish(ctx, strings.ReplaceAll(demoPlans, "idempotent: false", "idempotent: "+mutant.idempotent)); err != nil {
		return []string{err.Error()}
	}
	time.Sleep(5 * time.Second)
	done := make(chan struct{})
	go r.watch(done)
	for _, st := range script {
		totals[st.kind]++
		r.do(st)
	}
	r.settle(ctx)
	close(done)
	for outcome, n := range r.outcomes {
		totals["told "+string(outcome)] += n
	}
	return r.broken
}

// mutation breaks one thing on which the promises about requests rest.
type mutation struct {
	idempotent    string // what the list says of orders
	lyingEndpoint bool   // an endpoint says "not run" of what ran
}

var sound = mutation{idempotent: "false"}

// TestRequestMutantsAreCaught shows that the oracle bites.
func TestRequestMutantsAreCaught(t *testing.T) {
	fuzz.SetChecks(scriptChecks)
	mutants := []struct {
		name   string
		mutant mutation
		want   string
	}{
		{"orders run without a key's home", mutation{idempotent: "true"}, "ran"},
		{"an endpoint refuses what it ran", mutation{idempotent: "false", lyingEndpoint: true}, "told it was not run"},
	}
	for _, m := range mutants {
		pipenet.Bubble(t, func(t *testing.T) {
			scripts := 0
			caught, text := fuzz.Caught(func(rt *rapid.T) {
				scripts++
				if broken := runScript(drawScript(rt), m.mutant, map[string]int{}); len(broken) > 0 {
					rt.Fatalf("%s", strings.Join(broken, "\n"))
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

// scriptChecks is how many scripts a run in CI takes; each is a whole site.
const scriptChecks = "40"

// TestSiteUnderFaults runs drawn scripts of work and faults on whole sites and
// checks what callers are told against what really ran. All scripts share one
// bubble, since the session library pools its timers.
func TestSiteUnderFaults(t *testing.T) {
	fuzz.SetChecks(scriptChecks)
	totals := map[string]int{}
	pipenet.Bubble(t, func(t *testing.T) {
		failed, text := fuzz.Caught(func(rt *rapid.T) {
			if broken := runScript(drawScript(rt), sound, totals); len(broken) > 0 {
				rt.Fatalf("%s", strings.Join(broken, "\n"))
			}
		})
		if failed {
			t.Error(text)
		}
	})
	t.Logf("steps and outcomes: %v", totals)
}

// Every candidate for a stream may vanish before its announcement expires. The
// whole-site fuzzing found that nobody then took the cell over.
func TestAllCandidatesVanish(t *testing.T) {
	script := []step{{kind: "submit", n: 1, wait: time.Second}}
	for i := range 40 {
		script = append(script, step{kind: "crash agent", n: i, wait: time.Second})
	}
	script = append(script, step{kind: "submit", n: 2, wait: time.Second})
	pipenet.Bubble(t, func(t *testing.T) {
		if broken := runScript(script, sound, map[string]int{}); len(broken) > 0 {
			t.Error(strings.Join(broken, "\n"))
		}
	})
}

// deafLog loses what is appended to the membership stream for some time.
type deafLog struct {
	*standin.Log
	from, until time.Time
}

func (d *deafLog) Append(ctx context.Context, name pv.StreamName, records [][]byte) (pv.Offset, error) {
	if now := time.Now(); name == announcer.Stream && now.After(d.from) && now.Before(d.until) {
		return 0, pv.ErrUnavailable
	}
	return d.Log.Append(ctx, name, records)
}

// The announcement of a takeover may be lost. The whole-site fuzzing found that
// entries then asked the former holder until the next announcement, minutes
// later.
func TestLostAnnouncementIsRepeated(t *testing.T) {
	pipenet.Bubble(t, func(t *testing.T) {
		s := newMemorySite(0, 0, 1)
		log := &deafLog{Log: s.log, from: time.Now().Add(500 * time.Millisecond), until: time.Now().Add(5 * time.Second)}
		a := s.newAgentOn(log)
		defer a.Abort()
		time.Sleep(10 * time.Second)
		table := announcer.NewTable(time.Hour)
		b, err := s.log.Read(t.Context(), announcer.Stream, 0, 1000)
		if err != nil {
			t.Fatal(err)
		}
		table.Feed(time.Now(), b)
		for _, stream := range s.layout.CellStreams() {
			if _, ok := table.Holder(stream); !ok {
				t.Errorf("holder of %s: got none announced, want one", stream)
			}
		}
	})
}
