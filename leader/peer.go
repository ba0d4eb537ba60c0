package leader

// This file defines the leader's end of a link to another process, and the handling
// of the worker reports and questions that arrive on it.

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

// Timeout and backoff of dialling.
const (
	dialTimeout    = time.Second
	minRedialDelay = 150 * time.Millisecond // doubled after each failure, up to maxRedialDelay
	maxRedialDelay = 2 * time.Second
)

// peer is a member that this leader keeps a link to. Its fields from link to
// pingNumber are used only on the event loop.
type peer struct {
	term       *term
	member     Member
	link       *messenger.Link // nil while there is none
	worker     pv.WorkerID     // worker that the peer reports for; empty before its first report
	linkedAt   time.Time       // when the handshake on the link was complete
	lastPingAt time.Time
	pingNumber int64
	cancel     context.CancelFunc
	closed     context.Context // ends with the peer; outlives the term by linkFlushDelay, so that the last frames are sent
}

// newPeer starts dialling a member. It dials again whenever the link ends, until the
// peer is closed or the context ends.
func newPeer(ctx context.Context, t *term, m Member) *peer {
	closed, cancel := context.WithCancel(context.WithoutCancel(ctx))
	p := &peer{term: t, member: m, cancel: cancel, closed: closed}
	ctx, stopDialling := context.WithCancel(ctx)
	context.AfterFunc(closed, stopDialling)
	go func() {
		redialDelay := minRedialDelay
		for ctx.Err() == nil {
			if p.serve(ctx) {
				redialDelay = minRedialDelay
			}
			select {
			case <-time.After(redialDelay):
			case <-ctx.Done():
			}
			redialDelay = min(2*redialDelay, maxRedialDelay)
		}
	}()
	return p
}

// serve opens a link and handles its frames until the link ends. It reports whether
// the handshake was completed.
func (p *peer) serve(ctx context.Context) bool {
	callCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	link, err := messenger.OpenLink(callCtx, p.term.leader.deps.Dial, p.member.Address)
	cancel()
	if err != nil {
		return false // not logged: dialling is repeated until the member is reachable
	}
	stop := context.AfterFunc(p.closed, link.Close)
	defer stop()
	link.Send(&wire.LinkFrame{Body: &wire.LinkFrame_Greeting{Greeting: &wire.Greeting{Leader: p.term.leader.settings.Node, Epoch: p.term.epoch}}})
	handshakeDone := false
	err = link.Run(func(f *wire.LinkFrame) {
		if i := f.GetIntroduction(); i != nil {
			if i.HighestEpoch > messenger.MaxEpoch {
				return // no leader has such an epoch
			}
			if i.HighestEpoch > p.term.epoch {
				p.term.stop("superseded")
				return
			}
			handshakeDone = true
			p.term.post(func(now time.Time) { p.linkOpened(now, link) })
			return
		}
		if handshakeDone {
			p.term.post(func(now time.Time) { p.handleFrame(now, link, f) })
		}
	})
	if handshakeDone {
		p.term.post(func(time.Time) { p.linkClosed(link, err) })
	}
	return handshakeDone
}

// close ends the peer's link and its dialling.
func (p *peer) close() { p.cancel() }

// linkOpened takes a link into use after its handshake.
func (p *peer) linkOpened(now time.Time, link *messenger.Link) {
	p.link, p.linkedAt = link, now
	p.term.logger.Info("leader: link to process opened", zap.String("process", p.member.Node), zap.Int64("epoch", p.term.epoch))
	if p.worker != "" {
		p.term.planner.Connect(now, p.worker)
		p.term.sendOrdersTo(now, p)
	}
}

// linkClosed drops a link that has ended, unless a newer one has replaced it.
func (p *peer) linkClosed(link *messenger.Link, err error) {
	if p.link != link {
		return
	}
	p.link = nil
	p.term.logger.Warn("leader: link to process lost; redialling", zap.String("process", p.member.Node), zap.Int64("epoch", p.term.epoch), logfield.Error(err))
	if p.worker != "" {
		p.term.planner.Disconnect(p.worker)
	}
}

// tick sends a ping if one is due.
func (p *peer) tick(now time.Time) {
	if p.link == nil || now.Sub(p.lastPingAt) < messenger.PingInterval {
		return
	}
	p.lastPingAt = now
	p.pingNumber++
	p.link.Send(&wire.LinkFrame{Body: &wire.LinkFrame_Ping{Ping: &wire.Ping{Number: p.pingNumber, Stuck: p.term.storeStalled(now)}}})
}

func (p *peer) handleFrame(now time.Time, link *messenger.Link, f *wire.LinkFrame) {
	switch body := f.Body.(type) {
	case *wire.LinkFrame_Report:
		p.handleReport(now, body.Report)
	case *wire.LinkFrame_Question:
		p.handleQuestion(now, link, body.Question)
	}
}

// handleReport passes a worker's report to the planner and sends new orders.
func (p *peer) handleReport(now time.Time, r *wire.WorkerReport) {
	report := messenger.DecodeReport(r)
	// A process also reports deregistrations of its former workers; they don't replace
	// its current one.
	if !report.Former && p.worker != report.Worker.ID && !(report.Deregistered && p.worker != "") {
		if p.worker != "" {
			p.term.planner.Disconnect(p.worker)
		}
		p.worker = report.Worker.ID
		p.term.planner.Connect(now, p.worker)
	}
	out := planner.Report{Worker: report.Worker, Deregistered: report.Deregistered, FencingToken: report.FencingToken, Absent: report.Absent, Unanswered: report.Unanswered, RecentStarts: report.RecentStarts, Unlisted: report.Unlisted, BrokeOnStart: report.BrokeOnStart, Former: report.Former}
	if report.Polled {
		out.Poll = &planner.PollResult{Clock: report.Runs.Clock, FencedSince: report.FencedSince, Running: report.Runs.Running, Ended: report.Runs.Ended, EndsAbove: report.EndsAbove, EndsTruncated: report.Runs.EndsTruncated}
	}
	p.term.planner.Report(now, out)
	p.term.sendOrdersTo(now, p)
}

// Verdicts of replies, which gateways map to results, and kinds of questions.
const (
	VerdictDone         = "done"
	VerdictUnknownJob   = "unknownJob"
	VerdictStoreStalled = "storeLost"  // the store doesn't answer; the question had no effect
	VerdictOverloaded   = "overloaded" // the leader keeps too many jobs; the question had no effect
	VerdictBadInput     = "badInput"   // the question is invalid and had no effect
	VerdictUndecided    = "undecided"  // the job's first record isn't committed yet
	QuestionSubmit      = "submit"
	QuestionState       = "state"
	QuestionCancel      = "cancel"
	QuestionPending     = "pending"
	QuestionExplain     = "explain" // where a job would go; nothing is submitted
)

// handleQuestion answers a gateway's question. Changes are answered after the next
// commit; a job's committed state is answered at once.
func (p *peer) handleQuestion(now time.Time, link *messenger.Link, q *wire.Question) {
	t := p.term
	sendReply := func(r *wire.Reply) {
		r.Number = q.Number
		link.Send(&wire.LinkFrame{Body: &wire.LinkFrame_Reply{Reply: r}})
	}
	replyVerdict := func(v string) func() { return func() { sendReply(&wire.Reply{Verdict: v}) } }
	id := pv.JobID(q.Job)
	switch q.Kind {
	case QuestionSubmit:
		p.handleSubmit(now, id, q, replyVerdict)
	case QuestionCancel:
		switch known := t.planner.Cancel(now, id); {
		case known:
			t.afterCommit = append(t.afterCommit, replyVerdict(VerdictDone))
		default:
			t.answerAfterBarrierRead(func() {
				now := time.Now()
				if !t.planner.Cancel(now, id) {
					t.storeCancellation(now, id, replyVerdict(VerdictUnknownJob))
					return
				}
				t.afterCommit = append(t.afterCommit, replyVerdict(VerdictDone))
			})
		}
	case QuestionState:
		state, known := t.planner.State(id)
		switch {
		case !known:
			t.answerAfterBarrierRead(func() {
				if state, known := t.planner.State(id); known {
					sendReply(&wire.Reply{Verdict: VerdictDone, State: string(state)})
				} else {
					replyVerdict(VerdictUnknownJob)()
				}
			})
		case state == "":
			replyVerdict(VerdictUndecided)()
		default:
			sendReply(&wire.Reply{Verdict: VerdictDone, State: string(state)})
		}
	case QuestionPending:
		queue := q.Queue
		sendPending := func() { sendReply(&wire.Reply{Verdict: VerdictDone, Pending: t.planner.PendingJobs(queue)}) }
		if t.leader.deps.Clock()-t.confirmedAt < maxPendingCountAge {
			sendPending()
		} else {
			t.afterCommit = append(t.afterCommit, sendPending)
		}
	case QuestionExplain:
		sendReply(t.explain(now, q))
	default:
		replyVerdict(VerdictBadInput)()
	}
}

// explain returns where a job would go now, as JSON in the reply's detail.
func (t *term) explain(now time.Time, q *wire.Question) *wire.Reply {
	spec, queue, ok := decodeSubmission(pv.JobID(q.Job), q)
	if !ok {
		return &wire.Reply{Verdict: VerdictBadInput}
	}
	detail, err := json.Marshal(t.planner.Explain(now, spec, queue))
	if err != nil {
		return &wire.Reply{Verdict: VerdictBadInput}
	}
	return &wire.Reply{Verdict: VerdictDone, Detail: string(detail)}
}

// decodeSubmission decodes the job and the queue of a submission, and reports whether they are
// valid.
func decodeSubmission(id pv.JobID, q *wire.Question) (spec pv.Job, queue pv.Queue, ok bool) {
	if err := json.Unmarshal(q.Body, &spec); err != nil || spec.ID != id || spec.Check() != "" {
		return spec, queue, false
	}
	if err := json.Unmarshal(q.Policy, &queue); err != nil || queue.Check() != "" || len(q.Body) > pv.MaxJobEncodedBytes {
		return spec, queue, false
	}
	return spec, queue, true
}

// handleSubmit accepts a job and answers once it is committed. A job that the planner
// already has is accepted again without effect.
func (p *peer) handleSubmit(now time.Time, id pv.JobID, q *wire.Question, replyVerdict func(string) func()) {
	t := p.term
	if state, known := t.planner.State(id); known && state != "" {
		replyVerdict(VerdictDone)()
		return
	} else if known {
		t.afterCommit = append(t.afterCommit, replyVerdict(VerdictDone))
		return
	}
	if t.storeStalled(now) {
		t.logger.Info("leader: job refused", zap.String("job", q.Job), zap.String("reason", VerdictStoreStalled), zap.Int64("unansweredMs", now.Sub(t.commitStartedAt).Milliseconds()), zap.Int64("epoch", t.epoch))
		replyVerdict(VerdictStoreStalled)()
		return
	}
	spec, queue, ok := decodeSubmission(id, q)
	if !ok {
		replyVerdict(VerdictBadInput)()
		return
	}
	if !t.hasRoomFor(spec.MemoryBytes(len(q.Body))) {
		t.logger.Info("leader: job refused", zap.String("job", q.Job), zap.String("reason", VerdictOverloaded), zap.Int64("jobBytes", t.planner.JobBytes()), zap.Int64("epoch", t.epoch))
		replyVerdict(VerdictOverloaded)()
		return
	}
	t.planner.Submit(now, spec, q.Body, queue)
	t.afterCommit = append(t.afterCommit, replyVerdict(VerdictDone))
}

// Jobs that take up to smallJobBytes may exceed Settings.MaxJobBytes by one jobReserveShare-th, so
// that large ones don't keep ordinary callers out.
const (
	smallJobBytes   = 16 << 10
	jobReserveShare = 2
)

// hasRoomFor reports whether a job that takes the given memory may be accepted.
func (t *term) hasRoomFor(bytes int64) bool {
	limit := t.leader.settings.MaxJobBytes
	if limit > 0 && bytes <= smallJobBytes {
		limit += limit / jobReserveShare
	}
	return limit <= 0 || t.planner.JobBytes()+bytes <= limit
}
