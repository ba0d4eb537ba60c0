package agent

// This file defines how the agent drives the streams whose terms it may hold:
// log jobs and worker calls run on goroutines of their own and come back to
// the control goroutine.

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

// stream is one stream that this agent watches and may hold.
type stream struct {
	name      pv.StreamName
	cell      bool
	core      *holder.Core
	scheduler *scheduler.Core // of the last term held, for a cell
	placer    *placer.Policy
	term      pv.Term   // last term that was announced
	watch     bool      // among the stream's candidates
	hinted    time.Time // when an entry last found the stream without a holder
	sweptAt   time.Time
}

func (a *Agent) addStreams(now time.Time) {
	for _, name := range a.settings.Layout.CellStreams() {
		a.streams = append(a.streams, a.newStream(now, name, true))
	}
	for _, name := range a.settings.Layout.HomeStreams() {
		a.streams = append(a.streams, a.newStream(now, name, false))
	}
}

func (a *Agent) newStream(now time.Time, name pv.StreamName, cell bool) *stream {
	s := a.settings.Holder
	s.Me = a.settings.Member.Incarnation
	s.Member = a.settings.Member.Name
	s.Address = a.settings.Member.Address.String()
	return &stream{name: name, cell: cell, core: holder.New(s, now)}
}

// rank decides which streams this agent watches: it is among the first few
// candidates, or holds the term.
func (a *Agent) rank() {
	agents := a.members.Members(pv.RoleAgent)
	for _, s := range a.streams {
		rank := a.settings.Layout.Rank(s.name, agents, a.settings.Member.Name)
		s.watch = rank >= 0 && rank < a.settings.Candidates
		if time.Since(s.hinted) < hintLife {
			s.watch = true
			rank = min(max(rank, 0), a.settings.Candidates)
		}
		// Each term that is held already moves the next claim back, which
		// spreads terms over agents that have just started together.
		s.core.SetCandidate(s.watch && !a.leaving, rank+a.held())
	}
}

// hintLife is how long an agent goes on watching a stream after an entry asked
// it to.
const hintLife = time.Minute

// watchAlso makes this agent a candidate for streams that entries find without
// a holder. The candidates by rank may all be gone: members that vanish stay
// in the table until their announcement expires. A hint moves no term; the
// stream's own silence still decides.
func (a *Agent) watchAlso(names []string) {
	if len(names) == 0 {
		return
	}
	a.control.Post(func() {
		for _, s := range a.streams {
			if slices.Contains(names, string(s.name)) {
				s.hinted = time.Now()
			}
		}
		a.rank()
	})
}

func (a *Agent) held() int {
	n := 0
	for _, s := range a.streams {
		if s.term != 0 && s.core.Ledger().HeldBy(a.settings.Member.Incarnation) {
			n++
		}
	}
	return n
}

// drive lets one stream do what is due.
func (a *Agent) drive(now time.Time, s *stream) {
	holding := s.core.Holding(now)
	if !s.watch && !holding && s.term == 0 {
		return
	}
	if holding && s.term != s.core.Term() {
		a.tookOver(now, s)
	}
	if holding && !a.leaving {
		a.work(now, s)
	}
	if job, ok := s.core.Next(now); ok {
		go func() {
			result := a.do(s.name, job)
			a.control.Post(func() { a.jobDone(time.Now(), s, job, result) })
		}()
	}
}

// do runs one log job.
func (a *Agent) do(name pv.StreamName, job holder.Job) holder.JobResult {
	var r holder.JobResult
	ctx, cancel := context.WithTimeout(a.ctx, a.settings.CallTimeout)
	defer cancel()
	if job.Append != nil {
		r.Appended, r.AppendErr = a.platform.Log.Append(ctx, name, job.Append)
		a.metrics.appends.Inc()
	}
	r.Batch, r.ReadErr = a.platform.Log.Read(ctx, name, job.From, job.Limit)
	return r
}

func (a *Agent) jobDone(now time.Time, s *stream, job holder.Job, r holder.JobResult) {
	if r.AppendErr != nil || r.ReadErr != nil {
		a.metrics.logErrors.Inc()
	}
	for _, e := range s.core.Done(now, job, r) {
		if e.Verdict != recorder.Valid {
			a.metrics.void.WithLabelValues(string(e.Verdict)).Inc()
		}
		a.countEnd(e)
		if s.scheduler != nil {
			s.scheduler.Note(e)
		}
	}
	a.drive(now, s)
}

// tookOver starts the work of a new term.
func (a *Agent) tookOver(now time.Time, s *stream) {
	s.term = s.core.Term()
	a.metrics.takeovers.Inc()
	a.log.Info("agent: holds a stream", zap.String("stream", string(s.name)), zap.Int64("term", int64(s.term)))
	a.untold = true
	if !s.cell {
		return
	}
	from, clean := s.core.TakenOver()
	s.placer = placer.New(pv.Weights{})
	s.scheduler = scheduler.New(a.settings.Scheduler, s.name, s.core.Ledger(), s.placer, s.core.Propose, from, clean)
	a.configureStream(s)
	a.fleetAt = time.Time{} // read the list of workers now
	a.setFleet()
}

func (a *Agent) holdOf(s *stream) announcer.Hold {
	return announcer.Hold{
		Stream:  s.name,
		Term:    s.core.Term(),
		Member:  a.settings.Member.Name,
		Address: a.settings.Member.Address.String(),
		Holder:  a.settings.Member.Incarnation,
	}
}

func (a *Agent) setFleet() {
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
		s.scheduler.SetFleet(infos)
	}
}

// configured puts a new configuration in force in the cells held here.
func (a *Agent) configured() {
	for _, s := range a.streams {
		a.configureStream(s)
	}
}

func (a *Agent) configureStream(s *stream) {
	config := a.config.Configuration()
	if s.scheduler == nil || config == nil {
		return
	}
	s.placer.SetWeights(config.Allowances.Site)
	s.scheduler.Configure(config, func(name string) (pv.Allowance, bool) {
		plan, ok := config.PlanByName(name)
		if !ok {
			return pv.Allowance{}, false
		}
		allowance, ok := config.AllowanceOf(name)
		if !ok {
			return pv.Allowance{}, false
		}
		return a.settings.Layout.Part(plan, allowance, s.name)
	})
}

// work does what the holder of a stream does.
func (a *Agent) work(now time.Time, s *stream) {
	if s.scheduler == nil {
		a.sweep(now, s)
		return
	}
	for _, call := range s.scheduler.Tick(now, s.core.Writable(now)) {
		go func() {
			r := a.callWorker(call)
			a.control.Post(func() { s.scheduler.Answer(time.Now(), r) })
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

// sweepEvery is how often a home looks for requests whose caller has gone.
const sweepEvery = time.Second

// sweep ends requests as unknown whose call must have given up: begun, never
// ended. A definite answer that still comes replaces it.
func (a *Agent) sweep(now time.Time, s *stream) {
	if now.Sub(s.sweptAt) < sweepEvery {
		return
	}
	s.sweptAt = now
	for key, q := range s.core.Ledger().Requests {
		open := !q.Ended && q.Begin.Kind == recorder.BeginRequest
		if open && now.After(q.Begin.Until.Add(a.settings.UnknownAfter)) {
			s.core.Propose(now, recorder.Record{Answer: &recorder.Answer{
				Key: key, Token: q.Begin.Token, Outcome: pv.Unknown, Reason: pv.ReasonTimeout,
			}}, nil)
		}
	}
}
