package supervisor

// This file defines tests of the calls that carry out orders on a worker that leaves some
// of them without an answer: when they are sent, and what is reported of their runs.

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	pv "persimmonvalve"
	"persimmonvalve/internal/pipenet"
	"persimmonvalve/internal/wire"
	"persimmonvalve/messenger"
)

const (
	// cancellationLimit is the time after the acknowledgement of a cancellation after
	// which no run of the job may be started. The stop orders are sent when it is
	// acknowledged.
	cancellationLimit = 3 * time.Second
	// maxFirstStopWait is the longest wait of a first stop call. Two of five stop calls go
	// unanswered, so the third must be sent before cancellationLimit, and each of the
	// two takes a timeout of 1 s and a delay of 250 ms.
	maxFirstStopWait = cancellationLimit - 2*1250*time.Millisecond
	// maxOrdersAge is the age of the last orders at which starts are no longer sent. Their
	// leader had read cancellations less than 1.8 s before it sent them.
	maxOrdersAge = cancellationLimit - 1800*time.Millisecond
	// manyRuns is the number of calls that go unanswered at a time.
	manyRuns = 24
)

// The kinds of calls to a worker.
const (
	startCall    = "start"
	stopCall     = "stop"
	cpuLimitCall = "CPU limit"
	pollCall     = "poll"
)

var errUnanswered = errors.New("no answer")

// workerCall is a call that a callWorker received.
type workerCall struct {
	kind     string
	run      pv.RunRef
	lease    pv.WorkerLease
	beganAt  time.Time
	endedAt  time.Time // zero while it is in progress
	answered bool
}

// callWorker is a pv.WorkerClient that carries out orders, leaves some of them
// unanswered without effect, and records the calls.
type callWorker struct {
	startedAt time.Time

	mu              sync.Mutex
	incarnation     int64
	broken          func(kind string) bool                           // calls that fail at once, without effect; nil is none
	pollAnswerDelay time.Duration                                    // from a poll's reading of the clock until its answer arrives
	unanswered      func(kind string, r pv.RunRef, earlier int) bool // earlier is the number of earlier calls of this kind for the run
	held            map[pv.RunRef]chan struct{}                      // runs whose start calls return once the channel is closed, also if their context has ended
	running         map[pv.RunRef]bool
	serving         map[pv.RunRef]bool // runs with a latency target
	refused         map[pv.RunRef]bool // stopped
	calls           []*workerCall
	polls           []workerCall
}

func (w *callWorker) Poll(ctx context.Context, _ pv.WorkerID, l pv.WorkerLease, _ int64, wait time.Duration) (pv.WorkerRuns, error) {
	p := workerCall{beganAt: time.Now(), lease: l, answered: true}
	w.mu.Lock()
	broken := w.broken != nil && w.broken(pollCall)
	w.mu.Unlock()
	if broken {
		return pv.WorkerRuns{}, errUnanswered
	}
	select {
	case <-time.After(wait):
	case <-ctx.Done():
		return pv.WorkerRuns{}, ctx.Err()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	out := pv.WorkerRuns{Incarnation: w.incarnation, Clock: time.Since(w.startedAt)}
	p.endedAt = time.Now()
	w.polls = append(w.polls, p)
	for r := range w.running {
		s := pv.RunStatus{Run: r}
		if w.serving[r] {
			s.Measured, s.ProgressPercent = 100, 100
		}
		out.Running = append(out.Running, s)
	}
	if delay := w.pollAnswerDelay; delay > 0 {
		w.mu.Unlock()
		select {
		case <-time.After(delay):
		case <-ctx.Done():
		}
		w.mu.Lock()
		if ctx.Err() != nil {
			return pv.WorkerRuns{}, ctx.Err()
		}
	}
	return out, nil
}

// call records a call. It waits for the end of the context and returns an error if the
// call goes unanswered; else it calls execute, which may be nil.
func (w *callWorker) call(ctx context.Context, kind string, r pv.RunRef, l pv.WorkerLease, execute func()) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	earlier := 0
	for _, c := range w.calls {
		if c.kind == kind && c.run == r {
			earlier++
		}
	}
	c := &workerCall{kind: kind, run: r, lease: l, beganAt: time.Now()}
	w.calls = append(w.calls, c)
	defer func() { c.endedAt = time.Now() }()
	if w.broken != nil && w.broken(kind) {
		return errUnanswered
	}
	held := w.held[r]
	if held != nil && kind == startCall {
		w.mu.Unlock()
		<-held
		w.mu.Lock()
		return errUnanswered
	}
	if w.unanswered != nil && w.unanswered(kind, r, earlier) {
		w.mu.Unlock()
		<-ctx.Done()
		w.mu.Lock()
		return errUnanswered
	}
	c.answered = true
	if execute != nil {
		execute()
	}
	return nil
}

func (w *callWorker) Start(ctx context.Context, _ pv.WorkerID, l pv.WorkerLease, o pv.RunOrder) (pv.StartAnswer, error) {
	answer := pv.StartUnknown
	err := w.call(ctx, startCall, o.Run, l, func() {
		if w.refused[o.Run] {
			answer = pv.StartStaleAttempt
			return
		}
		answer = pv.StartAccepted
		w.running[o.Run], w.serving[o.Run] = true, o.LatencyTarget > 0
	})
	return answer, err
}

func (w *callWorker) Stop(ctx context.Context, _ pv.WorkerID, l pv.WorkerLease, r pv.RunRef) error {
	return w.call(ctx, stopCall, r, l, func() {
		delete(w.running, r)
		w.refused[r] = true
	})
}

func (w *callWorker) SetCPULimit(ctx context.Context, _ pv.WorkerID, l pv.WorkerLease, r pv.RunRef, _ int) error {
	return w.call(ctx, cpuLimitCall, r, l, nil)
}

func (w *callWorker) setUnanswered(f func(kind string, r pv.RunRef, earlier int) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unanswered = f
}

// callsOf returns the calls of a kind, in the order in which they began.
func (w *callWorker) callsOf(kind string) []workerCall {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []workerCall
	for _, c := range w.calls {
		if c.kind == kind {
			out = append(out, *c)
		}
	}
	return out
}

// callHarness is a supervisor whose leader is a test double and whose worker is a
// callWorker. It records the supervisor's reports.
type callHarness struct {
	t          *testing.T
	worker     *callWorker
	supervisor *Supervisor
	network    *pipenet.Network
	listener   *pipenet.Listener
	link       *messenger.Link
	silence    context.CancelFunc // ends the pings on the link
	epoch      int64              // also the fencing token

	mu          sync.Mutex
	absents     map[pv.RunRef]time.Time // when a run was first reported absent
	clock       time.Duration           // last reported reading of the worker's clock
	stalledTill time.Time               // what the leader writes to its link arrives then at the earliest
}

// stallingConn is the leader's end of a connection, which delays what is written during a
// stall of the network.
type stallingConn struct {
	net.Conn
	harness *callHarness
}

func (c *stallingConn) Write(b []byte) (int, error) {
	c.harness.mu.Lock()
	till := c.harness.stalledTill
	c.harness.mu.Unlock()
	time.Sleep(time.Until(till))
	return c.Conn.Write(b)
}

// newCallHarness returns a supervisor that has received full orders without runs and
// polled its worker.
func newCallHarness(t *testing.T) *callHarness {
	t.Helper()
	w := &callWorker{
		startedAt: time.Now(), incarnation: 1, held: map[pv.RunRef]chan struct{}{},
		running: map[pv.RunRef]bool{}, serving: map[pv.RunRef]bool{}, refused: map[pv.RunRef]bool{},
	}
	h := &callHarness{t: t, worker: w, network: pipenet.New(), absents: map[pv.RunRef]time.Time{}}
	h.listener = h.network.Listen("agent")
	h.supervisor = New(Settings{Node: "agent"}, Dependencies{Worker: w, Listener: h.listener, Logger: zap.NewNop(), Registry: prometheus.NewRegistry()})
	h.connect()
	h.heartbeat(1, false)
	h.send(true, nil)
	time.Sleep(time.Second)
	return h
}

// connect connects a leader of the next epoch.
func (h *callHarness) connect() {
	h.t.Helper()
	h.epoch++
	link, err := messenger.OpenLink(context.Background(), func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
		conn, err := h.network.Dialer("leader")(ctx, address)
		return &stallingConn{Conn: conn, harness: h}, err
	}, h.listener.Address())
	if err != nil {
		h.t.Fatal(err)
	}
	pings, silence := context.WithCancel(context.Background())
	h.link, h.silence = link, silence
	link.Send(&wire.LinkFrame{Body: &wire.LinkFrame_Greeting{Greeting: &wire.Greeting{Leader: "leader", Epoch: h.epoch}}})
	go func() {
		_ = link.Run(func(f *wire.LinkFrame) { // ends with the link
			r := f.GetReport()
			if r == nil {
				return
			}
			h.mu.Lock()
			defer h.mu.Unlock()
			report := messenger.DecodeReport(r)
			if report.Polled {
				h.clock = report.Runs.Clock
			}
			for _, ref := range report.Absent {
				if h.absents[ref].IsZero() {
					h.absents[ref] = time.Now()
				}
			}
		})
	}()
	go func() {
		for {
			link.Send(&wire.LinkFrame{Body: &wire.LinkFrame_Ping{Ping: &wire.Ping{}}})
			select {
			case <-time.After(messenger.PingInterval):
			case <-link.Done():
				return
			case <-pings.Done():
				return
			}
		}
	}()
	synctest.Wait()
}

// heartbeat passes a heartbeat of an incarnation of the worker to the supervisor.
func (h *callHarness) heartbeat(incarnation int64, draining bool) {
	h.worker.mu.Lock()
	h.worker.incarnation = incarnation
	sequence := time.Since(h.worker.startedAt).Nanoseconds() + 1
	h.worker.mu.Unlock()
	h.supervisor.Heartbeat(pv.WorkerState{ID: "w", Service: "s", Incarnation: incarnation, Sequence: sequence, Draining: draining, Capacity: pv.Resources{MilliCores: 100_000}})
	synctest.Wait()
}

// newestLeaseEnd returns the end of a lease renewed now, on the worker's clock.
func (h *callHarness) newestLeaseEnd() time.Duration {
	return time.Since(h.worker.startedAt).Truncate(time.Millisecond) + 6*time.Second
}

// send sends orders and waits until they are applied.
func (h *callHarness) send(full bool, starts []pv.RunOrder, stops ...pv.RunRef) {
	l := pv.WorkerLease{FencingToken: h.epoch, End: h.newestLeaseEnd()}
	orders := messenger.EncodeOrders("w", 1, l, 0, full, starts, stops)
	h.mu.Lock()
	orders.ClockMs = h.clock.Milliseconds()
	h.mu.Unlock()
	h.link.Send(&wire.LinkFrame{Body: &wire.LinkFrame_Orders{Orders: orders}})
	synctest.Wait()
}

// renew sends orders without starts and stops at the interval at which a leader renews
// leases, for the given time.
func (h *callHarness) renew(d time.Duration) {
	for endAt := time.Now().Add(d); time.Now().Before(endAt); {
		h.send(false, nil)
		time.Sleep(400 * time.Millisecond)
	}
}

// absentAt returns when a run was first reported absent, or the zero time.
func (h *callHarness) absentAt(r pv.RunRef) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.absents[r]
}

func (h *callHarness) stop() {
	h.link.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	_ = h.supervisor.Stop(ctx) // the test is over
}

// testRuns returns n runs of a job.
func testRuns(job pv.JobID, n int) []pv.RunRef {
	var out []pv.RunRef
	for i := range n {
		out = append(out, pv.RunRef{Task: pv.TaskRef{Job: job, Index: i}, Attempt: 1})
	}
	return out
}

// startsOf returns the orders of a leader that starts the runs for the first time.
func startsOf(runs []pv.RunRef) []pv.RunOrder {
	var out []pv.RunOrder
	for _, r := range runs {
		out = append(out, pv.RunOrder{Run: r, FirstSend: true})
	}
	return out
}

// unansweredStarts leaves all starts of a job unanswered.
func unansweredStarts(job pv.JobID) func(string, pv.RunRef, int) bool {
	return func(kind string, r pv.RunRef, _ int) bool { return kind == startCall && r.Task.Job == job }
}

// Starts that waited behind starts without an answer were sent up to 6 s after the
// supervisor had been ordered to stop their runs.
func TestNoStartAfterStopOrder(t *testing.T) {
	orders := map[string]func(h *callHarness, runs []pv.RunRef){
		"stopped":                  func(h *callHarness, runs []pv.RunRef) { h.send(false, nil, runs...) },
		"not in full orders":       func(h *callHarness, _ []pv.RunRef) { h.send(true, nil) },
		"stopped by full orders":   func(h *callHarness, runs []pv.RunRef) { h.send(true, nil, runs...) },
		"stopped by a new leader":  func(h *callHarness, runs []pv.RunRef) { h.connect(); h.send(true, nil, runs...) },
		"not in new leader's ones": func(h *callHarness, _ []pv.RunRef) { h.connect(); h.send(true, nil) },
	}
	for name, order := range orders {
		t.Run(name, func(t *testing.T) {
			pipenet.Bubble(t, func(t *testing.T) {
				h := newCallHarness(t)
				defer h.stop()
				h.worker.setUnanswered(func(kind string, r pv.RunRef, _ int) bool {
					return kind == startCall && r.Task.Index%4 != 0
				})
				runs := testRuns("j", 12)
				h.send(false, startsOf(runs))
				time.Sleep(100 * time.Millisecond)
				order(h, runs)
				orderedAt, sent := time.Now(), len(h.worker.callsOf(startCall))
				if sent == 0 {
					t.Error("got no start call before the stop order, want some")
				}
				h.renew(10 * time.Second)
				for _, c := range h.worker.callsOf(startCall)[sent:] {
					t.Errorf("got a start of %v %v after its stop was ordered, want none", c.run, c.beganAt.Sub(orderedAt))
				}
				for _, r := range runs {
					if h.absentAt(r).IsZero() {
						t.Errorf("got %v not reported absent within 10 s, want it reported", r)
					}
				}
			})
		})
	}
}

// A start call that still waits for a connection when its run is to be stopped, or when the
// last orders are too old, must not go on: it would be sent later.
func TestStartCallEndsWithItsPermission(t *testing.T) {
	const stopDelay = 100 * time.Millisecond
	for name, permitted := range map[string]time.Duration{"stop order": stopDelay, "no orders": maxOrdersAge} {
		t.Run(name, func(t *testing.T) {
			pipenet.Bubble(t, func(t *testing.T) {
				h := newCallHarness(t)
				defer h.stop()
				h.worker.setUnanswered(unansweredStarts("j"))
				runs := testRuns("j", manyRuns)
				h.send(false, startsOf(runs))
				orderedAt := time.Now()
				time.Sleep(stopDelay)
				if permitted == stopDelay {
					h.send(false, nil, runs...)
				}
				time.Sleep(5 * time.Second)
				for _, c := range h.worker.callsOf(startCall) {
					if took := c.endedAt.Sub(orderedAt); took > permitted {
						t.Errorf("got a start call of %v in progress %v after its order, want none after %v", c.run, took, permitted)
					}
				}
			})
		})
	}
}

// Stops waited up to 7.4 s behind other calls without an answer, also those of their own
// run, and started runs of cancelled jobs went on for as long.
func TestStopIsNotHeldUp(t *testing.T) {
	target := testRuns("target", 1)
	holdUps := map[string]func(h *callHarness){
		"by starts": func(h *callHarness) {
			h.send(false, startsOf(target))
			h.worker.setUnanswered(unansweredStarts("j"))
			h.send(false, startsOf(testRuns("j", manyRuns)))
		},
		"by stops": func(h *callHarness) {
			h.send(false, startsOf(append(testRuns("j", manyRuns), target...)))
			h.renew(time.Second)
			h.worker.setUnanswered(func(kind string, r pv.RunRef, _ int) bool {
				return kind == stopCall && r != target[0]
			})
			h.send(false, nil, testRuns("j", manyRuns)...)
		},
		"by CPU limits": func(h *callHarness) {
			orders := startsOf(append(testRuns("j", manyRuns), target...))
			for i := range orders {
				orders[i].Filler, orders[i].Image, orders[i].MilliCores = true, "filler", 1000
			}
			serving := pv.RunOrder{Run: testRuns("serving", 1)[0], LatencyTarget: 100 * time.Millisecond, Image: "serving", MilliCores: 1000}
			h.worker.setUnanswered(func(kind string, _ pv.RunRef, _ int) bool { return kind == cpuLimitCall })
			h.send(false, append([]pv.RunOrder{serving}, orders...))
			if got := len(h.worker.callsOf(cpuLimitCall)); got == 0 {
				h.t.Error("got no call to set a CPU limit, want some")
			}
		},
		"by its own start": func(h *callHarness) {
			h.worker.setUnanswered(unansweredStarts("target"))
			h.send(false, startsOf(target))
		},
		"by its own start and others": func(h *callHarness) {
			h.worker.setUnanswered(func(kind string, _ pv.RunRef, _ int) bool { return kind == startCall })
			h.send(false, startsOf(target))
			h.send(false, startsOf(testRuns("j", manyRuns)))
		},
	}
	for name, holdUp := range holdUps {
		t.Run(name, func(t *testing.T) {
			pipenet.Bubble(t, func(t *testing.T) {
				h := newCallHarness(t)
				defer h.stop()
				holdUp(h)
				time.Sleep(100 * time.Millisecond)
				h.send(false, nil, target...)
				orderedAt := time.Now()
				h.renew(12 * time.Second)
				for _, c := range h.worker.callsOf(stopCall) {
					if c.run != target[0] {
						continue
					}
					if wait := c.beganAt.Sub(orderedAt); wait > maxFirstStopWait {
						t.Errorf("got the first stop call %v after its order, want within %v", wait, maxFirstStopWait)
					}
					return
				}
				t.Error("got no stop call within 12 s, want one")
			})
		})
	}
}

// Cancellations of many runs at once took effect later than 3 s, since stops without an
// answer and unanswered starts held each other up.
func TestStopsTakeEffectInTime(t *testing.T) {
	pipenet.Bubble(t, func(t *testing.T) {
		h := newCallHarness(t)
		defer h.stop()
		started, unanswered := testRuns("started", manyRuns/2), testRuns("unanswered", manyRuns/2)
		h.send(false, startsOf(started))
		h.renew(time.Second)
		h.worker.setUnanswered(func(kind string, r pv.RunRef, earlier int) bool {
			return kind == startCall && r.Task.Job == "unanswered" || kind == stopCall && earlier%5 < 2
		})
		h.send(false, startsOf(unanswered))
		time.Sleep(100 * time.Millisecond)
		runs := append(started, unanswered...)
		h.send(false, nil, runs...)
		orderedAt := time.Now()
		h.renew(12 * time.Second)
		startSent := map[pv.RunRef]bool{}
		for _, c := range h.worker.callsOf(startCall) {
			startSent[c.run] = true
		}
		answeredAt := map[pv.RunRef]time.Time{}
		for _, c := range h.worker.callsOf(stopCall) {
			if c.answered && answeredAt[c.run].IsZero() {
				answeredAt[c.run] = c.endedAt
			}
		}
		for _, r := range runs {
			at := answeredAt[r]
			switch {
			case !at.IsZero() && at.Sub(orderedAt) > cancellationLimit:
				t.Errorf("got the stop of %v carried out %v after its order, want within %v", r, at.Sub(orderedAt), cancellationLimit)
			case at.IsZero() && startSent[r]:
				t.Errorf("got no stop of %v carried out although its start was sent, want one within %v", r, cancellationLimit)
			}
			if h.absentAt(r).IsZero() {
				t.Errorf("got %v not reported absent within 12 s, want it reported", r)
			}
		}
	})
}

// A stop that is confirmed while the run's start call is in progress must not make the run
// absent: the start may still be on its way.
func TestAbsentOnlyAfterItsStartCall(t *testing.T) {
	pipenet.Bubble(t, func(t *testing.T) {
		h := newCallHarness(t)
		defer h.stop()
		run := testRuns("j", 1)[0]
		release := make(chan struct{})
		h.worker.mu.Lock()
		h.worker.held[run] = release
		h.worker.mu.Unlock()
		h.send(false, startsOf([]pv.RunRef{run}))
		time.Sleep(100 * time.Millisecond)
		h.send(false, nil, run)
		h.renew(4 * time.Second)
		var confirmedAt time.Time
		for _, c := range h.worker.callsOf(stopCall) {
			if c.answered && confirmedAt.IsZero() {
				confirmedAt = c.endedAt
			}
		}
		if confirmedAt.IsZero() {
			t.Error("got no stop carried out while the start call is in progress, want one")
		}
		if !h.absentAt(run).IsZero() {
			t.Error("got the run reported absent while its start call is in progress, want it reported later")
		}
		releasedAt := time.Now()
		close(release)
		h.renew(3 * time.Second)
		absentAt := h.absentAt(run)
		if absentAt.IsZero() {
			t.Fatal("got the run not reported absent within 3 s of the end of its start call, want it reported")
		}
		h.worker.mu.Lock()
		defer h.worker.mu.Unlock()
		for _, p := range h.worker.polls {
			if !p.beganAt.Before(releasedAt) && !p.endedAt.After(absentAt) {
				return
			}
		}
		t.Error("got the run reported absent before a poll that began after the end of its start call, want one before")
	})
}

// A run that a worker lists after its stop was confirmed isn't absent, nor is it by a poll
// that began before the confirmation.
func TestAbsentOnlyAfterLaterPoll(t *testing.T) {
	pipenet.Bubble(t, func(t *testing.T) {
		h := newCallHarness(t)
		defer h.stop()
		run := testRuns("j", 1)[0]
		h.send(false, startsOf([]pv.RunRef{run}))
		h.renew(time.Second)
		h.worker.setUnanswered(func(kind string, _ pv.RunRef, earlier int) bool { return kind == stopCall && earlier == 0 })
		h.send(false, nil, run)
		h.renew(4 * time.Second)
		absentAt := h.absentAt(run)
		var confirmedAt time.Time
		for _, c := range h.worker.callsOf(stopCall) {
			if c.answered {
				confirmedAt = c.endedAt
				break
			}
		}
		if confirmedAt.IsZero() || absentAt.IsZero() {
			t.Fatalf("got the stop confirmed at %v and the run absent at %v, want both", confirmedAt, absentAt)
		}
		h.worker.mu.Lock()
		defer h.worker.mu.Unlock()
		for _, p := range h.worker.polls {
			if !p.beganAt.Before(confirmedAt) && !p.endedAt.After(absentAt) {
				return
			}
		}
		t.Error("got the run reported absent before a poll that began after the confirmed stop, want one before")
	})
}

// A supervisor that heard nothing of its leader sent starts for as long as they went
// unanswered, whatever had been cancelled meanwhile.
func TestNoStartWithoutRecentOrders(t *testing.T) {
	runs := testRuns("j", manyRuns)
	reconnect := func(h *callHarness) {
		h.connect()
		orders := startsOf(runs)
		for i := range orders {
			orders[i].FirstSend = false
		}
		h.send(true, orders)
	}
	losses := []struct {
		name    string
		lose    func(h *callHarness)
		restore func(h *callHarness)
	}{
		{"pings only", func(*callHarness) {}, func(h *callHarness) { h.send(false, nil) }},
		{"silent link", func(h *callHarness) { h.silence() }, reconnect},
		{"closed link", func(h *callHarness) { h.link.Close() }, reconnect},
	}
	for _, l := range losses {
		t.Run(l.name, func(t *testing.T) {
			pipenet.Bubble(t, func(t *testing.T) {
				h := newCallHarness(t)
				defer h.stop()
				h.worker.setUnanswered(unansweredStarts("j"))
				h.send(false, startsOf(runs))
				orderedAt := time.Now()
				l.lose(h)
				time.Sleep(8 * time.Second)
				inTime := 0
				for _, c := range h.worker.callsOf(startCall) {
					if age := c.beganAt.Sub(orderedAt); age > maxOrdersAge {
						t.Errorf("got a start of %v %v after the last orders, want none after %v", c.run, age, maxOrdersAge)
					} else {
						inTime++
					}
				}
				if inTime == 0 {
					t.Errorf("got no start within %v of the orders, want some", maxOrdersAge)
				}
				h.worker.setUnanswered(nil)
				l.restore(h)
				h.renew(3 * time.Second)
				h.worker.mu.Lock()
				defer h.worker.mu.Unlock()
				if got := len(h.worker.running); got != len(runs) {
					t.Errorf("got %d runs 3 s after the next orders, want %d", got, len(runs))
				}
			})
		})
	}
}

// Orders that the network delays, for less than the time after which a link counts as lost,
// were carried out as if they had just been sent. A later leader may have confirmed
// cancellations meanwhile.
func TestNoStartOnDelayedOrders(t *testing.T) {
	pipenet.Bubble(t, func(t *testing.T) {
		h := newCallHarness(t)
		defer h.stop()
		h.worker.setUnanswered(unansweredStarts("j"))
		h.renew(time.Second)
		const delay = 1700 * time.Millisecond
		h.mu.Lock()
		h.stalledTill = time.Now().Add(delay)
		h.mu.Unlock()
		orderedAt := time.Now()
		h.send(false, startsOf(testRuns("j", 2)))
		time.Sleep(delay + 50*time.Millisecond)
		h.link.Close()
		time.Sleep(8 * time.Second)
		for _, c := range h.worker.callsOf(startCall) {
			if age := c.beganAt.Sub(orderedAt); age > maxOrdersAge {
				t.Errorf("got a start of %v %v after the last orders were sent, want none after %v", c.run, age, maxOrdersAge)
			}
		}
	})
}

// Empty orders that renew the lease keep the starts going for as long as they are
// unanswered.
func TestStartsGoOnUnderEmptyOrders(t *testing.T) {
	pipenet.Bubble(t, func(t *testing.T) {
		h := newCallHarness(t)
		defer h.stop()
		h.worker.setUnanswered(func(kind string, _ pv.RunRef, earlier int) bool { return kind == startCall && earlier < 2 })
		runs := testRuns("j", manyRuns)
		h.send(false, startsOf(runs))
		// Each run takes two calls of 1 s and their delays; a bounded number of
		// concurrent calls may take several times as long.
		h.renew(40 * time.Second)
		h.worker.mu.Lock()
		defer h.worker.mu.Unlock()
		if got := len(h.worker.running); got != len(runs) {
			t.Errorf("got %d runs after 40 s, want %d", got, len(runs))
		}
	})
}

// A start that waited behind others was sent to a worker that had said meanwhile that it
// is draining.
func TestNoStartOnDrainingWorker(t *testing.T) {
	pipenet.Bubble(t, func(t *testing.T) {
		h := newCallHarness(t)
		defer h.stop()
		h.worker.setUnanswered(unansweredStarts("j"))
		h.send(false, startsOf(testRuns("j", manyRuns)))
		time.Sleep(100 * time.Millisecond)
		h.heartbeat(1, true)
		drainingAt, sent := time.Now(), len(h.worker.callsOf(startCall))
		h.renew(10 * time.Second)
		for _, c := range h.worker.callsOf(startCall)[sent:] {
			t.Errorf("got a start of %v %v after the worker said that it is draining, want none", c.run, c.beganAt.Sub(drainingAt))
		}
	})
}

// A start that waited was sent with the lease of the moment when it was queued, whose end
// may have passed.
func TestStartHasNewestLease(t *testing.T) {
	pipenet.Bubble(t, func(t *testing.T) {
		h := newCallHarness(t)
		defer h.stop()
		h.worker.setUnanswered(unansweredStarts("j"))
		type renewal struct {
			at  time.Time
			end time.Duration
		}
		var renewals []renewal
		for i := range 40 {
			var starts []pv.RunOrder
			if i == 0 {
				starts = startsOf(testRuns("j", manyRuns))
			}
			renewals = append(renewals, renewal{time.Now(), h.newestLeaseEnd()})
			h.send(false, starts)
			time.Sleep(400 * time.Millisecond)
		}
		for _, c := range h.worker.callsOf(startCall) {
			var want time.Duration
			for _, r := range renewals {
				if r.at.Before(c.beganAt) {
					want = r.end
				}
			}
			if c.lease.End < want {
				t.Errorf("got a start of %v %v after its order with a lease until %v, want until %v", c.run, c.beganAt.Sub(renewals[0].at), c.lease.End, want)
			}
		}
	})
}

// Starts that waited were sent to the worker's next incarnation, which has no lease and
// accepts them, although the leader has given up their runs.
func TestNoStartOfFormerIncarnation(t *testing.T) {
	causes := map[string]func(h *callHarness){
		"known by a heartbeat": func(h *callHarness) { h.heartbeat(2, false) },
		"known by a poll": func(h *callHarness) {
			h.worker.mu.Lock()
			h.worker.incarnation = 2
			h.worker.mu.Unlock()
			time.Sleep(600 * time.Millisecond) // one poll
		},
	}
	for name, restart := range causes {
		t.Run(name, func(t *testing.T) {
			pipenet.Bubble(t, func(t *testing.T) {
				h := newCallHarness(t)
				defer h.stop()
				h.worker.setUnanswered(unansweredStarts("j"))
				h.send(false, startsOf(testRuns("j", manyRuns)))
				time.Sleep(100 * time.Millisecond)
				restart(h)
				restartedAt, sent := time.Now(), len(h.worker.callsOf(startCall))
				time.Sleep(10 * time.Second)
				for _, c := range h.worker.callsOf(startCall)[sent:] {
					t.Errorf("got a start of %v %v after the worker's restart was known, want none", c.run, c.beganAt.Sub(restartedAt))
				}
			})
		})
	}
}

// Starts that waited were sent by a supervisor that had been told that its worker departs.
func TestNoStartOnDeregisteredWorker(t *testing.T) {
	pipenet.Bubble(t, func(t *testing.T) {
		h := newCallHarness(t)
		defer h.stop()
		h.worker.setUnanswered(unansweredStarts("j"))
		h.send(false, startsOf(testRuns("j", manyRuns)))
		time.Sleep(100 * time.Millisecond)
		h.supervisor.Deregister(pv.Deregistration{Worker: "w", Incarnation: 1})
		synctest.Wait()
		deregisteredAt, sent := time.Now(), len(h.worker.callsOf(startCall))
		time.Sleep(10 * time.Second)
		for _, c := range h.worker.callsOf(startCall)[sent:] {
			t.Errorf("got a start of %v %v after the deregistration, want none", c.run, c.beganAt.Sub(deregisteredAt))
		}
	})
}
