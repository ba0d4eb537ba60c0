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

// script is a worker whose looks answer what the test says, and which notes
// what it was told.
type script struct {
	mu     sync.Mutex
	runs   pv.WorkerRuns
	down   bool
	starts []pv.RunRef
	looks  []pv.Authority
	acks   []int64
}

func (s *script) Poll(ctx context.Context, _ pv.WorkerID, a pv.Authority, acknowledged int64, wait time.Duration) (pv.WorkerRuns, error) {
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.looks, s.acks = append(s.looks, a), append(s.acks, acknowledged)
	if s.down {
		return pv.WorkerRuns{}, context.DeadlineExceeded
	}
	return s.runs, nil
}

func (s *script) Start(_ context.Context, _ pv.WorkerID, _ pv.Authority, o pv.RunOrder) (pv.StartAnswer, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.starts = append(s.starts, o.Run)
	return pv.StartAccepted, nil
}

func (s *script) Stop(context.Context, pv.WorkerID, pv.Authority, pv.RunRef) error { return nil }

func (s *script) SetCPULimit(context.Context, pv.WorkerID, pv.Authority, pv.RunRef, int) error {
	return nil
}

// bed is a supervisor with a leader played by the test.
type bed struct {
	worker  *script
	v       *Supervisor
	link    *messenger.Link
	mu      sync.Mutex
	reports []messenger.Report
}

func newBed(t *testing.T) *bed {
	t.Helper()
	b := &bed{worker: &script{runs: pv.WorkerRuns{Incarnation: 1}}}
	network := pipenet.New()
	l := network.Listen("agent")
	b.v = New(Settings{Node: "agent"}, Dependencies{Worker: b.worker, Listener: l, Logger: zap.NewNop(), Registry: prometheus.NewRegistry()})
	link, err := messenger.OpenLink(context.Background(), network.Dialer("leader"), l.Address())
	if err != nil {
		t.Fatal(err)
	}
	b.link = link
	link.Send(&wire.LinkFrame{Body: &wire.LinkFrame_Greeting{Greeting: &wire.Greeting{Leader: "leader", Epoch: 1}}})
	go func() {
		_ = link.Run(func(f *wire.LinkFrame) { // ends with the test
			if r := f.GetReport(); r != nil {
				b.mu.Lock()
				defer b.mu.Unlock()
				b.reports = append(b.reports, messenger.DecodeReport(r))
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
	b.v.Heartbeat(pv.WorkerState{ID: "w", Service: "s", Incarnation: 1, Sequence: 1, Capacity: pv.Resources{MilliCores: 1000}})
	time.Sleep(50 * time.Millisecond)
	return b
}

func (b *bed) order(token, life, until, acknowledged int64, whole bool, starts ...pv.RunRef) {
	var orders []pv.RunOrder
	for _, r := range starts {
		orders = append(orders, pv.RunOrder{Run: r, FirstSend: !whole})
	}
	a := pv.Authority{Token: token, Until: time.Duration(until) * time.Millisecond}
	b.link.Send(&wire.LinkFrame{Body: &wire.LinkFrame_Orders{Orders: messenger.EncodeOrders("w", life, a, acknowledged, whole, orders, nil)}})
	time.Sleep(50 * time.Millisecond)
}

func (b *bed) gone() []pv.RunRef {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []pv.RunRef
	for _, r := range b.reports {
		out = append(out, r.Absent...)
	}
	return out
}

func (b *bed) close() {
	b.link.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	_ = b.v.Stop(ctx) // the test is over
}

var one = pv.RunRef{Task: pv.TaskRef{Job: "j"}, Attempt: 1}

// A worker that isn't heard gets no starts: it may be in a new life, which would
// take them. A first order goes back to the leader, a repeated one stays.
func TestNoStartOnSilentWorker(t *testing.T) {
	for _, first := range []bool{true, false} {
		pipenet.Bubble(t, func(t *testing.T) {
			b := newBed(t)
			defer b.close()
			b.order(10, 1, 5000, 0, true)
			time.Sleep(time.Second)
			b.worker.mu.Lock()
			b.worker.down = true
			b.worker.mu.Unlock()
			time.Sleep(3 * time.Second)
			b.order(10, 1, 5000, 0, !first, one)
			time.Sleep(3 * time.Second)
			b.worker.mu.Lock()
			defer b.worker.mu.Unlock()
			if len(b.worker.starts) != 0 {
				t.Errorf("got starts %v on a silent worker, want none", b.worker.starts)
			}
			want := 0
			if first {
				want = 1
			}
			if got := len(b.gone()); got != want {
				t.Errorf("first %v: got %d runs given back, want %d", first, got, want)
			}
		})
	}
}

// Neither the end of a lease nor acknowledged ends are carried into a new life.
func TestNewLifeBeginsClean(t *testing.T) {
	pipenet.Bubble(t, func(t *testing.T) {
		b := newBed(t)
		defer b.close()
		b.order(10, 1, 90_000, 30, true)
		time.Sleep(time.Second)
		b.v.Heartbeat(pv.WorkerState{ID: "w", Service: "s", Incarnation: 2, Sequence: 1, Capacity: pv.Resources{MilliCores: 1000}})
		b.worker.mu.Lock()
		b.worker.runs = pv.WorkerRuns{Incarnation: 2}
		b.worker.mu.Unlock()
		time.Sleep(time.Second)
		b.worker.mu.Lock()
		b.worker.looks, b.worker.acks = nil, nil
		b.worker.mu.Unlock()
		b.order(11, 2, 0, 0, true)
		time.Sleep(time.Second)
		b.worker.mu.Lock()
		defer b.worker.mu.Unlock()
		if len(b.worker.looks) == 0 {
			t.Fatal("got no look at the new life, want some")
		}
		for i, a := range b.worker.looks {
			if a.Token != 11 || a.Until != 0 || b.worker.acks[i] != 0 {
				t.Errorf("got a look under %+v that acknowledges %d, want token 11, no lease and none", a, b.worker.acks[i])
			}
		}
	})
}

// A look that began under a former authority takes no ends off the list of those
// to report.
func TestEndsAreToldUnderNewAuthority(t *testing.T) {
	pipenet.Bubble(t, func(t *testing.T) {
		b := newBed(t)
		defer b.close()
		b.order(10, 1, 90_000, 0, true)
		b.worker.mu.Lock()
		b.worker.runs.Ended = []pv.RunEnd{{Number: 1, Run: one, Kind: pv.EndDone}}
		b.worker.mu.Unlock()
		b.order(20, 1, 90_000, 0, true)
		time.Sleep(2 * time.Second)
		b.mu.Lock()
		defer b.mu.Unlock()
		for _, r := range b.reports {
			if r.Token == 20 && len(r.Runs.Ended) == 1 && r.EndsAfter == 0 {
				return
			}
		}
		t.Error("got no report of the end under the new token, want one")
	})
}

// A leader of a lower epoch is refused.
func TestLowerEpochIsRefused(t *testing.T) {
	pipenet.Bubble(t, func(t *testing.T) {
		network := pipenet.New()
		l := network.Listen("agent")
		v := New(Settings{Node: "agent"}, Dependencies{Worker: &script{}, Listener: l, Logger: zap.NewNop(), Registry: prometheus.NewRegistry()})
		greet := func(epoch int64) *messenger.Link {
			link, err := messenger.OpenLink(context.Background(), network.Dialer("leader"), l.Address())
			if err != nil {
				t.Fatal(err)
			}
			link.Send(&wire.LinkFrame{Body: &wire.LinkFrame_Greeting{Greeting: &wire.Greeting{Epoch: epoch}}})
			go func() { _ = link.Run(func(*wire.LinkFrame) {}) }() // ends with the test
			time.Sleep(50 * time.Millisecond)
			return link
		}
		high := greet(5)
		low := greet(4)
		select {
		case <-high.Done():
			t.Error("got the leader's link ended by a lower epoch, want it kept")
		default:
		}
		if !v.Linked() {
			t.Error("got no leader, want the one of epoch 5")
		}
		low.Close()
		high.Close()
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		_ = v.Stop(ctx) // the test is over
	})
}

// A worker that said goodbye is reported to each new leader, also when another
// worker has taken its place: the leader needn't wait for its lease.
func TestDepartedWorkerIsRemembered(t *testing.T) {
	pipenet.Bubble(t, func(t *testing.T) {
		b := newBed(t)
		defer b.close()
		b.v.Deregister("w")
		time.Sleep(50 * time.Millisecond)
		b.v.Heartbeat(pv.WorkerState{ID: "next", Service: "s", Incarnation: 2, Sequence: 1, Capacity: pv.Resources{MilliCores: 1000}})
		time.Sleep(50 * time.Millisecond)
		b.mu.Lock()
		b.reports = nil
		b.mu.Unlock()
		b.link.Send(&wire.LinkFrame{Body: &wire.LinkFrame_Greeting{Greeting: &wire.Greeting{Leader: "another", Epoch: 2}}})
		time.Sleep(50 * time.Millisecond)
		b.mu.Lock()
		defer b.mu.Unlock()
		var departed, present bool
		for _, r := range b.reports {
			departed = departed || r.Worker.ID == "w" && r.Deregistered
			present = present || r.Worker.ID == "next" && !r.Deregistered
		}
		if !departed || !present {
			t.Errorf("got departed %v and present %v, want both reported", departed, present)
		}
	})
}
