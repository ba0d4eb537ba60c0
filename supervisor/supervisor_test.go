package supervisor

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	pv "persimmonvalve"
	"persimmonvalve/internal/pipenet"
	"persimmonvalve/internal/wire"
	"persimmonvalve/messenger"
)

// fakeWorker is a pv.WorkerClient that answers polls with the test's runs and
// records the calls.
type fakeWorker struct {
	mu           sync.Mutex
	runs         pv.WorkerRuns
	down         bool
	starts       []pv.RunRef
	polls        []pv.WorkerLease
	acknowledged []int64
}

func (f *fakeWorker) Poll(ctx context.Context, _ pv.WorkerID, a pv.WorkerLease, acknowledged int64, wait time.Duration) (pv.WorkerRuns, error) {
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.polls, f.acknowledged = append(f.polls, a), append(f.acknowledged, acknowledged)
	if f.down {
		return pv.WorkerRuns{}, context.DeadlineExceeded
	}
	return f.runs, nil
}

func (f *fakeWorker) Start(_ context.Context, _ pv.WorkerID, _ pv.WorkerLease, o pv.RunOrder) (pv.StartAnswer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.starts = append(f.starts, o.Run)
	return pv.StartAccepted, nil
}

func (f *fakeWorker) Stop(context.Context, pv.WorkerID, pv.WorkerLease, pv.RunRef) error { return nil }

func (f *fakeWorker) SetCPULimit(context.Context, pv.WorkerID, pv.WorkerLease, pv.RunRef, int) error {
	return nil
}

// harness is a supervisor whose leader and worker are test doubles. It records the
// supervisor's reports.
type harness struct {
	worker     *fakeWorker
	supervisor *Supervisor
	link       *messenger.Link
	mu         sync.Mutex
	reports    []messenger.Report
}

func newHarness(t *testing.T) *harness {
	t.Helper()
	h := &harness{worker: &fakeWorker{runs: pv.WorkerRuns{Incarnation: 1}}}
	network := pipenet.New()
	l := network.Listen("agent")
	h.supervisor = New(Settings{Node: "agent"}, Dependencies{Worker: h.worker, Listener: l, Logger: zap.NewNop(), Registry: prometheus.NewRegistry()})
	link, err := messenger.OpenLink(context.Background(), network.Dialer("leader"), l.Address())
	if err != nil {
		t.Fatal(err)
	}
	h.link = link
	link.Send(&wire.LinkFrame{Body: &wire.LinkFrame_Greeting{Greeting: &wire.Greeting{Leader: "leader", Epoch: 1}}})
	go func() {
		_ = link.Run(func(f *wire.LinkFrame) { // ends with the test
			if r := f.GetReport(); r != nil {
				h.mu.Lock()
				defer h.mu.Unlock()
				h.reports = append(h.reports, messenger.DecodeReport(r))
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
			}
		}
	}()
	h.supervisor.Heartbeat(pv.WorkerState{ID: "w", Service: "s", Incarnation: 1, Sequence: 1, Capacity: pv.Resources{MilliCores: 1000}})
	time.Sleep(50 * time.Millisecond)
	return h
}

func (h *harness) sendOrders(token, incarnation, untilMs, acknowledged int64, full bool, starts ...pv.RunRef) {
	var orders []pv.RunOrder
	for _, r := range starts {
		orders = append(orders, pv.RunOrder{Run: r, FirstSend: !full})
	}
	a := pv.WorkerLease{FencingToken: token, End: time.Duration(untilMs) * time.Millisecond}
	h.link.Send(&wire.LinkFrame{Body: &wire.LinkFrame_Orders{Orders: messenger.EncodeOrders("w", incarnation, a, acknowledged, full, orders, nil)}})
	time.Sleep(50 * time.Millisecond)
}

func (h *harness) absentRuns() []pv.RunRef {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []pv.RunRef
	for _, r := range h.reports {
		out = append(out, r.Absent...)
	}
	return out
}

func (h *harness) stop() {
	h.link.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	_ = h.supervisor.Stop(ctx) // the test is over
}

var testRun = pv.RunRef{Task: pv.TaskRef{Job: "j"}, Attempt: 1}

// A worker that doesn't answer polls is sent no starts: it may have restarted, and
// its new incarnation would accept them. The run of an order sent for the first time is
// reported as absent; a repeated order is kept.
func TestNoStartOnSilentWorker(t *testing.T) {
	for _, first := range []bool{true, false} {
		pipenet.Bubble(t, func(t *testing.T) {
			h := newHarness(t)
			defer h.stop()
			h.sendOrders(10, 1, 5000, 0, true)
			time.Sleep(time.Second)
			h.worker.mu.Lock()
			h.worker.down = true
			h.worker.mu.Unlock()
			time.Sleep(3 * time.Second)
			h.sendOrders(10, 1, 5000, 0, !first, testRun)
			time.Sleep(3 * time.Second)
			h.worker.mu.Lock()
			defer h.worker.mu.Unlock()
			if len(h.worker.starts) != 0 {
				t.Errorf("got starts %v on a silent worker, want none", h.worker.starts)
			}
			want := 0
			if first {
				want = 1
			}
			if got := len(h.absentRuns()); got != want {
				t.Errorf("first order %v: got %d runs reported absent, want %d", first, got, want)
			}
		})
	}
}

// After a restart of the worker, neither the lease end nor the acknowledged end
// number of the former incarnation is sent to the new one: its lease would outlast
// what the leader allows, and its ends would be dropped before they are reported.
func TestNewIncarnationStartsWithoutState(t *testing.T) {
	pipenet.Bubble(t, func(t *testing.T) {
		h := newHarness(t)
		defer h.stop()
		h.sendOrders(10, 1, 90_000, 30, true)
		time.Sleep(time.Second)
		h.supervisor.Heartbeat(pv.WorkerState{ID: "w", Service: "s", Incarnation: 2, Sequence: 1, Capacity: pv.Resources{MilliCores: 1000}})
		h.worker.mu.Lock()
		h.worker.runs = pv.WorkerRuns{Incarnation: 2}
		h.worker.mu.Unlock()
		time.Sleep(time.Second)
		h.worker.mu.Lock()
		h.worker.polls, h.worker.acknowledged = nil, nil
		h.worker.mu.Unlock()
		h.sendOrders(11, 2, 0, 0, true)
		time.Sleep(time.Second)
		h.worker.mu.Lock()
		defer h.worker.mu.Unlock()
		if len(h.worker.polls) == 0 {
			t.Fatal("got no poll of the new incarnation, want some")
		}
		want := int64(10<<successionBits | 1) // until the orders arrive
		for i, a := range h.worker.polls {
			if a.FencingToken == 11<<successionBits {
				want = a.FencingToken
			}
			if a.FencingToken != want || a.End != 0 || h.worker.acknowledged[i] != 0 {
				t.Errorf("got a poll with lease %+v and acknowledged end %d, want token %d, no lease end and 0", a, h.worker.acknowledged[i], want)
			}
		}
		if want != 11<<successionBits {
			t.Error("got no poll under the token of the orders, want some")
		}
	})
}

// A poll that began under a former token doesn't mark ends as reported: the leader
// ignores its report, and the ends would never be reported again.
func TestEndsAreReportedToNewLeader(t *testing.T) {
	pipenet.Bubble(t, func(t *testing.T) {
		h := newHarness(t)
		defer h.stop()
		h.sendOrders(10, 1, 90_000, 0, true)
		h.worker.mu.Lock()
		h.worker.runs.Ended = []pv.RunEnd{{Sequence: 1, Run: testRun, Kind: pv.EndSucceeded}}
		h.worker.mu.Unlock()
		h.sendOrders(20, 1, 90_000, 0, true)
		time.Sleep(2 * time.Second)
		h.mu.Lock()
		defer h.mu.Unlock()
		for _, r := range h.reports {
			if r.FencingToken == 20 && len(r.Runs.Ended) == 1 && r.EndsAbove == 0 {
				return
			}
		}
		t.Error("got no report of the end under the new token, want one")
	})
}

// A leader of a lower epoch is refused and doesn't replace the connected one.
func TestLowerEpochIsRefused(t *testing.T) {
	pipenet.Bubble(t, func(t *testing.T) {
		network := pipenet.New()
		l := network.Listen("agent")
		v := New(Settings{Node: "agent"}, Dependencies{Worker: &fakeWorker{}, Listener: l, Logger: zap.NewNop(), Registry: prometheus.NewRegistry()})
		connect := func(epoch int64) *messenger.Link {
			link, err := messenger.OpenLink(context.Background(), network.Dialer("leader"), l.Address())
			if err != nil {
				t.Fatal(err)
			}
			link.Send(&wire.LinkFrame{Body: &wire.LinkFrame_Greeting{Greeting: &wire.Greeting{Epoch: epoch}}})
			go func() { _ = link.Run(func(*wire.LinkFrame) {}) }() // ends with the test
			time.Sleep(50 * time.Millisecond)
			return link
		}
		high := connect(5)
		low := connect(4)
		select {
		case <-high.Done():
			t.Error("got the link of the leader of epoch 5 closed, want it kept open")
		default:
		}
		if !v.Linked() {
			t.Error("got no leader connected, want the one of epoch 5")
		}
		low.Close()
		high.Close()
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		_ = v.Stop(ctx) // the test is over
	})
}

// A deregistered worker is reported to each new leader, even after another worker has
// replaced it, so that the leader needn't wait for the end of its lease.
func TestDeregisteredWorkerIsReportedToNewLeader(t *testing.T) {
	pipenet.Bubble(t, func(t *testing.T) {
		h := newHarness(t)
		defer h.stop()
		h.supervisor.Deregister(pv.Deregistration{Worker: "w", Incarnation: 1})
		time.Sleep(50 * time.Millisecond)
		h.supervisor.Heartbeat(pv.WorkerState{ID: "next", Service: "s", Incarnation: 2, Sequence: 1, Capacity: pv.Resources{MilliCores: 1000}})
		time.Sleep(50 * time.Millisecond)
		h.mu.Lock()
		h.reports = nil
		h.mu.Unlock()
		h.link.Send(&wire.LinkFrame{Body: &wire.LinkFrame_Greeting{Greeting: &wire.Greeting{Leader: "another", Epoch: 2}}})
		time.Sleep(50 * time.Millisecond)
		h.mu.Lock()
		defer h.mu.Unlock()
		var deregistered, present bool
		for _, r := range h.reports {
			deregistered = deregistered || r.Worker.ID == "w" && r.Deregistered
			present = present || r.Worker.ID == "next" && !r.Deregistered
		}
		if !deregistered || !present {
			t.Errorf("got deregistered %v and present %v reported, want both", deregistered, present)
		}
	})
}
