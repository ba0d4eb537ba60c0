package agent

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	pv "persimmonvalve"
	"persimmonvalve/holder"
	"persimmonvalve/internal/pipenet"
	"persimmonvalve/kernel"
	"persimmonvalve/recorder"
	"persimmonvalve/scheduler"
)

// heldWorkers answers each lease call with an error once the channel of its term is closed.
type heldWorkers struct {
	answer map[pv.Term]chan struct{}
	leases map[pv.Term]int
}

func (w *heldWorkers) Worker(pv.WorkerInfo) pv.Worker { return w }

func (w *heldWorkers) Lease(ctx context.Context, q pv.LeaseRequest) (pv.WorkerReport, error) {
	w.leases[q.Lease.Term]++
	select {
	case <-w.answer[q.Lease.Term]:
	case <-ctx.Done():
	}
	return pv.WorkerReport{}, pv.ErrUnavailable
}

func (*heldWorkers) Start(context.Context, pv.StartCommand) error { return pv.ErrUnavailable }

func (*heldWorkers) Stop(context.Context, pv.RunCommand) (pv.AttemptStatus, error) {
	return pv.AttemptStatus{}, pv.ErrUnavailable
}

func (*heldWorkers) Throttle(context.Context, pv.RunCommand) error { return pv.ErrUnavailable }

// After a term was lost and won again, the result of a call of the former term was taken
// for the result of the new term's call with the same id.
func TestResultOfFormerTermIsNotTakenForAnother(t *testing.T) {
	pipenet.Bubble(t, func(t *testing.T) {
		workers := &heldWorkers{answer: map[pv.Term]chan struct{}{1: make(chan struct{}), 2: make(chan struct{})}, leases: map[pv.Term]int{}}
		a := &Agent{ctx: t.Context(), platform: Platform{Workers: workers}, settings: DefaultSettings()}
		s := &stream{name: "cell/a/0", isCell: true, holder: holder.New(holder.DefaultSettings(), time.Now())}
		a.eventLoop = kernel.NewEventLoop(50*time.Millisecond, func(now time.Time) {
			if s.scheduler != nil {
				a.tickHeldStream(now, s)
			}
		})
		winTerm := func(term pv.Term) {
			a.eventLoop.Do(func() {
				ledger := recorder.New()
				ledger.Term = term
				s.scheduler = scheduler.New(a.settings.Scheduler, s.name, ledger, nil, s.holder.Propose, time.Now(), true)
				s.scheduler.SetWorkers([]pv.WorkerInfo{{ID: "w"}})
			})
			time.Sleep(100 * time.Millisecond)
			synctest.Wait()
		}
		winTerm(1)
		winTerm(2)
		close(workers.answer[1])
		time.Sleep(a.settings.Scheduler.CallTimeout - time.Second)
		synctest.Wait()
		if got := workers.leases[2]; got != 1 {
			t.Errorf("lease calls of the new term, none answered: got %d, want 1", got)
		}
		if err := a.eventLoop.Stop(t.Context()); err != nil {
			t.Error(err)
		}
		close(workers.answer[2])
	})
}
