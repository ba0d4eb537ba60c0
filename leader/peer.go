package leader

// This file defines the leader's side of a link to another process, and the
// questions that gateways ask on it.

import (
	"context"
	"encoding/json"
	"time"

	"go.uber.org/zap"

	pv "persimmonvalve"
	"persimmonvalve/internal/logfield"
	"persimmonvalve/internal/wire"
	"persimmonvalve/messenger"
	"persimmonvalve/planner"
)

// Intervals of dialling.
const (
	dialTimeout = time.Second
	redialAfter = 150 * time.Millisecond // doubled up to redialSlow
	redialSlow  = 2 * time.Second
)

// peer is a member that this leader keeps a link to. Its fields belong to the
// control goroutine.
type peer struct {
	term   *term
	member Member
	link   *messenger.Link // nil while there is none
	worker pv.WorkerID     // of an agent, once it is known
	since  time.Time       // when the link began
	pinged time.Time
	pings  int64
	cancel context.CancelFunc
	closed context.Context // ends with the peer, not with the term: links say goodbye first
}

func newPeer(ctx context.Context, t *term, m Member) *peer {
	closed, cancel := context.WithCancel(context.WithoutCancel(ctx))
	p := &peer{term: t, member: m, cancel: cancel, closed: closed}
	ctx, stopDialling := context.WithCancel(ctx)
	context.AfterFunc(closed, stopDialling)
	go func() {
		wait := redialAfter
		for ctx.Err() == nil {
			if p.serve(ctx) {
				wait = redialAfter
			}
			select {
			case <-time.After(wait):
			case <-ctx.Done():
			}
			wait = min(2*wait, redialSlow)
		}
	}()
	return p
}

// serve opens a link and handles its frames until it ends. It reports whether
// the peer answered.
func (p *peer) serve(ctx context.Context) bool {
	call, cancel := context.WithTimeout(ctx, dialTimeout)
	link, err := messenger.OpenLink(call, p.term.leader.deps.Dial, p.member.Address)
	cancel()
	if err != nil {
		return false // a peer that was never linked is tried again quietly
	}
	stop := context.AfterFunc(p.closed, link.Close)
	defer stop()
	link.Send(&wire.LinkFrame{Body: &wire.LinkFrame_Greeting{Greeting: &wire.Greeting{Leader: p.term.leader.settings.Node, Epoch: p.term.epoch}}})
	introduced := false
	err = link.Run(func(f *wire.LinkFrame) {
		if i := f.GetIntroduction(); i != nil {
			if i.HighestEpoch > p.term.epoch {
				p.term.stop("superseded")
				return
			}
			introduced = true
			p.term.post(func(now time.Time) { p.linked(now, link) })
			return
		}
		if introduced {
			p.term.post(func(now time.Time) { p.frame(now, link, f) })
		}
	})
	if introduced {
		p.term.post(func(time.Time) { p.unlinked(link, err) })
	}
	return introduced
}

func (p *peer) close() { p.cancel() }

func (p *peer) linked(now time.Time, link *messenger.Link) {
	p.link, p.since = link, now
	p.term.logger.Info("leader: peer linked", zap.String("node", p.member.Node), zap.Int64("epoch", p.term.epoch))
	if p.worker != "" {
		p.term.planner.Connect(now, p.worker)
		p.term.sendOrdersTo(now, p)
	}
}

func (p *peer) unlinked(link *messenger.Link, err error) {
	if p.link != link {
		return
	}
	p.link = nil
	p.term.logger.Warn("leader: peer lost", zap.String("node", p.member.Node), zap.Int64("epoch", p.term.epoch), logfield.Error(err))
	if p.worker != "" {
		p.term.planner.Disconnect(p.worker)
	}
}

func (p *peer) tick(now time.Time) {
	if p.link == nil || now.Sub(p.pinged) < messenger.PingInterval {
		return
	}
	p.pinged = now
	p.pings++
	p.link.Send(&wire.LinkFrame{Body: &wire.LinkFrame_Ping{Ping: &wire.Ping{Number: p.pings, Stuck: p.term.storeLost(now)}}})
}

func (p *peer) frame(now time.Time, link *messenger.Link, f *wire.LinkFrame) {
	switch body := f.Body.(type) {
	case *wire.LinkFrame_Report:
		p.report(now, body.Report)
	case *wire.LinkFrame_Question:
		p.question(now, link, body.Question)
	}
}

func (p *peer) report(now time.Time, r *wire.WorkerReport) {
	report := messenger.DecodeReport(r)
	if p.worker != report.Worker.ID && !(report.Deregistered && p.worker != "") {
		if p.worker != "" {
			p.term.planner.Disconnect(p.worker)
		}
		p.worker = report.Worker.ID
		p.term.planner.Connect(now, p.worker)
	}
	out := planner.Report{Worker: report.Worker, Deregistered: report.Deregistered, Token: report.Token, Absent: report.Absent}
	if report.Polled {
		out.Poll = &planner.PollResult{Clock: report.Runs.Clock, Running: report.Runs.Running, Ended: report.Runs.Ended, EndsAfter: report.EndsAfter}
	}
	p.term.planner.Report(now, out)
	p.term.sendOrdersTo(now, p)
}

// Verdicts of a reply. They are the reasons that gateways count.
const (
	VerdictDone       = "done"
	VerdictUnknownJob = "unknownJob"
	VerdictStoreLost  = "storeLost" // nothing was done
	VerdictBadInput   = "badInput"  // nothing was done
	VerdictUndecided  = "undecided" // the job's first record isn't stored yet
	QuestionSubmit    = "submit"
	QuestionState     = "state"
	QuestionCancel    = "cancel"
	QuestionPending   = "pending"
)

func (p *peer) question(now time.Time, link *messenger.Link, q *wire.Question) {
	t := p.term
	answer := func(r *wire.Reply) {
		r.Number = q.Number
		link.Send(&wire.LinkFrame{Body: &wire.LinkFrame_Reply{Reply: r}})
	}
	verdict := func(v string) func() { return func() { answer(&wire.Reply{Verdict: v}) } }
	id := pv.JobID(q.Job)
	switch q.Kind {
	case QuestionSubmit:
		p.submit(now, id, q, verdict)
	case QuestionCancel:
		switch known := t.planner.Cancel(now, id); {
		case known:
			t.waiting = append(t.waiting, verdict(VerdictDone))
		default:
			t.settle(func() {
				if !t.planner.Cancel(time.Now(), id) {
					verdict(VerdictUnknownJob)()
					return
				}
				t.waiting = append(t.waiting, verdict(VerdictDone))
			})
		}
	case QuestionState:
		state, known := t.planner.State(id)
		switch {
		case !known:
			t.settle(func() {
				if state, known := t.planner.State(id); known {
					answer(&wire.Reply{Verdict: VerdictDone, State: string(state)})
				} else {
					verdict(VerdictUnknownJob)()
				}
			})
		case state == "":
			verdict(VerdictUndecided)()
		default:
			answer(&wire.Reply{Verdict: VerdictDone, State: string(state)})
		}
	case QuestionPending:
		queue := q.Queue
		count := func() { answer(&wire.Reply{Verdict: VerdictDone, Pending: t.planner.Pending(queue)}) }
		if t.leader.deps.Clock()-t.confirmed < freshWithin {
			count()
		} else {
			t.waiting = append(t.waiting, count)
		}
	default:
		verdict(VerdictBadInput)()
	}
}

func (p *peer) submit(now time.Time, id pv.JobID, q *wire.Question, verdict func(string) func()) {
	t := p.term
	if state, known := t.planner.State(id); known && state != "" {
		verdict(VerdictDone)()
		return
	} else if known {
		t.waiting = append(t.waiting, verdict(VerdictDone))
		return
	}
	if t.storeLost(now) {
		t.logger.Info("leader: job refused", zap.String("job", q.Job), zap.String("reason", VerdictStoreLost), zap.Int64("unansweredMs", now.Sub(t.commitStart).Milliseconds()), zap.Int64("epoch", t.epoch))
		verdict(VerdictStoreLost)()
		return
	}
	var spec pv.Job
	var queue pv.Queue
	if err := json.Unmarshal(q.Body, &spec); err != nil || spec.ID != id || spec.Check() != "" {
		verdict(VerdictBadInput)()
		return
	}
	if err := json.Unmarshal(q.Policy, &queue); err != nil {
		verdict(VerdictBadInput)()
		return
	}
	t.planner.Submit(now, spec, q.Body, queue)
	t.waiting = append(t.waiting, verdict(VerdictDone))
}
