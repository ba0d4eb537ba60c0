package agent

// This file defines how the agent advances the streams whose terms it may hold.
// Log operations and worker calls run on their own goroutines; their results are
// applied on the event loop.

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	pv "persimmonvalve"
	"persimmonvalve/announcer"
	"persimmonvalve/holder"
	"persimmonvalve/placer"
	"persimmonvalve/recorder"
	"persimmonvalve/scheduler"
)

// stream is the state of one stream whose term this agent may hold.
type stream struct {
	name             pv.StreamName
	isCell           bool
	holder           *holder.Core
	scheduler        *scheduler.Core // of the last term held; nil for homes and before the first term
	placer           *placer.Policy
	startedTerm      pv.Term   // last term that started on this agent; 0 before the first
	candidate        bool      // this agent may claim the stream's term, and reads the stream for it
	hintedAt         time.Time // last time that an entry reported the stream without a holder
	lastExpiryScanAt time.Time // see expireRequests
}

func (a *Agent) addStreams(now time.Time) {
	for _, name := range a.settings.Layout.CellStreams() {
		a.streams = append(a.streams, a.newStream(now, name, true))
	}
	for _, name := range a.settings.Layout.HomeStreams() {
		a.streams = append(a.streams, a.newStream(now, name, false))
	}
}

func (a *Agent) newStream(now time.Time, name pv.StreamName, isCell bool) *stream {
	s := a.settings.Holder
	s.Incarnation = a.settings.Member.Incarnation
	s.Member = a.settings.Member.Name
	s.Address = a.settings.Member.Address.String()
	return &stream{name: name, isCell: isCell, holder: holder.New(s, now)}
}

// updateCandidates makes this agent a candidate for the streams for which it ranks
// among the first CandidatesPerStream agents, or for which it has a recent hint.
func (a *Agent) updateCandidates() {
	agents := a.members.Members(pv.RoleAgent)
	for _, s := range a.streams {
		rank := a.settings.Layout.Rank(s.name, agents, a.settings.Member.Name)
		s.candidate = rank >= 0 && rank < a.settings.CandidatesPerStream
		if time.Since(s.hintedAt) < maxHintAge {
			s.candidate = true
			// At most one above the last regular candidate; 0 if this agent isn't listed.
			rank = min(max(rank, 0), a.settings.CandidatesPerStream)
		}
		// Each term that this agent already holds adds one to its rank and so
		// delays its next claim, which spreads the terms over agents that start
		// at the same time.
		s.holder.SetCandidate(s.candidate && !a.stopping, rank+a.countHeldStreams())
	}
}

// maxHintAge is how long an agent remains a candidate for a stream after the last
// hint from an entry.
const maxHintAge = time.Minute

// addHintedStreams makes this agent a candidate for streams that an entry found
// without a holder. The candidates by rank may all have crashed: crashed members
// stay in the table until their announcement expires. A hint only adds a
// candidate; the holder's silence or handover still decides when it may claim.
func (a *Agent) addHintedStreams(names []string) {
	if len(names) == 0 {
		return
	}
	a.eventLoop.Post(func() {
		for _, s := range a.streams {
			if slices.Contains(names, string(s.name)) {
				s.hintedAt = time.Now()
			}
		}
		a.updateCandidates()
	})
}

func (a *Agent) countHeldStreams() int {
	n := 0
	for _, s := range a.streams {
		if s.startedTerm != 0 && s.holder.Ledger().HeldBy(a.settings.Member.Incarnation) {
			n++
		}
	}
	return n
}

// advanceStream starts a new term if there is one, runs the holder's periodic
// work, and starts the stream's next log operation. A stream is advanced, and so
// read, while this agent is a candidate, holds its term, or has held one.
func (a *Agent) advanceStream(now time.Time, s *stream) {
	holding := s.holder.Holding(now)
	if !s.candidate && !holding && s.startedTerm == 0 {
		return
	}
	if holding && s.startedTerm != s.holder.Term() {
		a.startTerm(now, s)
	}
	if holding && !a.stopping {
		a.tickHeldStream(now, s)
	}
	if op, ok := s.holder.Next(now); ok {
		go func() {
			result := a.runLogOperation(s.name, op)
			a.eventLoop.Post(func() { a.finishLogOperation(time.Now(), s, op, result) })
		}()
	}
}

// runLogOperation executes one log operation: the append, if any, then the read.
func (a *Agent) runLogOperation(name pv.StreamName, op holder.LogOperation) holder.LogOperationResult {
	var r holder.LogOperationResult
	ctx, cancel := context.WithTimeout(a.ctx, a.settings.CallTimeout)
	defer cancel()
	if op.Append != nil {
		r.Appended, r.AppendErr = a.platform.Log.Append(ctx, name, op.Append)
		a.metrics.logAppends.Inc()
	}
	r.Batch, r.ReadErr = a.platform.Log.Read(ctx, name, op.From, op.Limit)
	return r
}

func (a *Agent) finishLogOperation(now time.Time, s *stream, op holder.LogOperation, r holder.LogOperationResult) {
	if r.AppendErr != nil || r.ReadErr != nil {
		a.metrics.logErrors.Inc()
	}
	for _, e := range s.holder.HandleResult(now, op, r) {
		if e.Verdict != recorder.Valid {
			a.metrics.voidRecords.WithLabelValues(string(e.Verdict)).Inc()
		}
		a.countEntry(e)
		if s.scheduler != nil {
			s.scheduler.HandleLedgerEntry(e)
		}
	}
	a.advanceStream(now, s)
}

// startTerm starts a term that this agent has won: it requests an announcement and,
// for a cell, creates the scheduler.
func (a *Agent) startTerm(now time.Time, s *stream) {
	s.startedTerm = s.holder.Term()
	a.metrics.takeovers.Inc()
	a.logger.Info("agent: term won; now the holder of the stream", zap.String("stream", string(s.name)), zap.Int64("term", int64(s.startedTerm)))
	a.announcePending = true
	if !s.isCell {
		return
	}
	takenOverAt, cleanTakeover := s.holder.Takeover()
	s.placer = placer.New(pv.Weights{})
	s.scheduler = scheduler.New(a.settings.Scheduler, s.name, s.holder.Ledger(), s.placer, s.holder.Propose, takenOverAt, cleanTakeover)
	a.configureStream(s)
	a.fleetFetchedAt = time.Time{} // makes the next tick fetch the list of workers
	a.setWorkers()
}

func (a *Agent) holdRecord(s *stream) announcer.StreamHolder {
	return announcer.StreamHolder{
		Stream:      s.name,
		Term:        s.holder.Term(),
		Member:      a.settings.Member.Name,
		Address:     a.settings.Member.Address.String(),
		Incarnation: a.settings.Member.Incarnation,
	}
}

// setWorkers passes the workers of its cell to each scheduler.
func (a *Agent) setWorkers() {
	if a.fleet == nil {
		return
	}
	for _, s := range a.streams {
		if s.scheduler == nil {
			continue
		}
		var infos []pv.WorkerInfo
		for _, w := range a.fleet {
			if a.settings.Layout.CellOf(w) == s.name {
				infos = append(infos, w)
			}
		}
		s.scheduler.SetWorkers(infos)
	}
}

// applyConfiguration passes the current configuration to the scheduler of every
// cell scheduled here.
func (a *Agent) applyConfiguration() {
	for _, s := range a.streams {
		a.configureStream(s)
	}
}

func (a *Agent) configureStream(s *stream) {
	config := a.config.Configuration()
	if s.scheduler == nil || config == nil {
		return
	}
	s.placer.SetWeights(config.Allowances.Weights)
	s.scheduler.Configure(config, func(name string) (pv.Allowance, bool) {
		plan, ok := config.PlanByName(name)
		if !ok {
			return pv.Allowance{}, false
		}
		allowance, ok := config.AllowanceOf(name)
		if !ok {
			return pv.Allowance{}, false
		}
		return a.settings.Layout.CellAllowance(plan, allowance, s.name)
	})
}

// tickHeldStream runs the holder's periodic work: it expires requests of a home,
// or runs the scheduler of a cell and sends its calls to workers.
func (a *Agent) tickHeldStream(now time.Time, s *stream) {
	if s.scheduler == nil {
		a.expireRequests(now, s)
		return
	}
	core := s.scheduler
	for _, call := range core.Tick(now, s.holder.LogReachable(now)) {
		go func() {
			r := a.callWorker(call)
			a.eventLoop.Post(func() {
				// Call ids restart in each term, and a former term's scheduler has no say in a later one.
				if s.scheduler == core {
					core.HandleResult(time.Now(), r)
				}
			})
		}()
	}
}

func (a *Agent) callWorker(call scheduler.Call) scheduler.CallResult {
	ctx, cancel := context.WithTimeout(a.ctx, a.settings.Scheduler.CallTimeout)
	defer cancel()
	w := a.platform.Workers.Worker(call.Worker)
	r := scheduler.CallResult{ID: call.ID}
	switch {
	case call.Lease != nil:
		r.Report, r.Err = w.Lease(ctx, *call.Lease)
	case call.Start != nil:
		r.Err = w.Start(ctx, *call.Start)
	case call.Stop != nil:
		r.Run, r.Err = w.Stop(ctx, *call.Stop)
	case call.Throttle != nil:
		r.Err = w.Throttle(ctx, *call.Throttle)
	}
	return r
}

// expiryInterval is the minimum time between two scans of a home for expired
// requests.
const expiryInterval = time.Second

// expireRequests ends as unknown every open request whose call's deadline passed
// more than UnknownDelay ago. A definite answer that arrives later replaces the
// unknown one.
func (a *Agent) expireRequests(now time.Time, s *stream) {
	if now.Sub(s.lastExpiryScanAt) < expiryInterval {
		return
	}
	s.lastExpiryScanAt = now
	for key, q := range s.holder.Ledger().Requests {
		open := !q.Ended && q.Begin.Kind == recorder.BeginRequest
		if open && now.After(q.Begin.Deadline.Add(a.settings.UnknownDelay)) {
			s.holder.Propose(now, recorder.Record{Answer: &recorder.Answer{
				Key: key, CallToken: q.Begin.CallToken, Outcome: pv.OutcomeUnknown, Reason: pv.ReasonTimeout,
			}}, nil)
		}
	}
}
