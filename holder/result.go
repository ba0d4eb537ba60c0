package holder

// This file defines how the core takes in the result of a job: it applies what
// was read, resolves its own records, and notices takeovers in both
// directions.

import (
	"time"

	pv "persimmonvalve"
	"persimmonvalve/recorder"
)

const (
	firstRetry = 50 * time.Millisecond
	lastRetry  = 2 * time.Second
)

// Done takes in the result of the job that Next returned.
func (c *Core) Done(now time.Time, job Job, result JobResult) []recorder.Entry {
	c.busy = false
	if job.Append != nil && result.AppendErr == nil {
		c.ackedUntil = result.Appended + pv.Offset(len(job.Append))
	}
	if result.ReadErr != nil {
		c.Counters.ReadErrors++
		c.atEnd = false // what was appended may be there
		c.backOff(now)
		return nil
	}
	if job.Append != nil && result.AppendErr != nil {
		c.backOff(now)
	} else {
		c.failures = 0
	}
	return c.take(now, result.Batch)
}

func (c *Core) backOff(now time.Time) {
	pause := min(firstRetry<<min(c.failures, 10), lastRetry)
	c.failures++
	c.retryAt = now.Add(pause)
}

func (c *Core) take(now time.Time, batch pv.Batch) []recorder.Entry {
	if now.Sub(c.polledAt) > c.settings.Silence {
		// The log couldn't be read: the holder may have been as cut off as
		// this process was, and gets its full time again.
		c.heardAt = now
	}
	c.polledAt = now
	c.readAt = c.issuedAt
	c.atEnd = batch.First+pv.Offset(len(batch.Records)) >= batch.Next && len(batch.Records) < c.settings.ReadLimit
	for _, data := range batch.Records {
		c.Counters.BytesRead += int64(len(data))
	}
	c.Counters.RecordsRead += int64(len(batch.Records))
	entries := c.ledger.Feed(batch)
	for _, e := range entries {
		c.see(now, e)
	}
	c.dropSuperseded()
	return entries
}

func (c *Core) see(now time.Time, e recorder.Entry) {
	if e.Verdict != recorder.Valid {
		c.Counters.Void[e.Verdict]++
	}
	if e.Verdict == recorder.Valid {
		c.heardAt = now
		c.seeClaim(now, e.Record)
	}
	c.resolve(e)
}

func (c *Core) seeClaim(now time.Time, r recorder.Record) {
	switch {
	case r.HandOver != nil:
		c.closedBy = true
	case r.Claim != nil && r.Holder == c.settings.Me:
		c.claimAt = now
		c.claimed = r.Term
		c.closedBy = c.closedBy || r.Term == 1
		c.seq = 0
		c.wroteAt = now
		c.Counters.ClaimsWon++
		// Its first snapshot lets readers start even if the predecessor was
		// late with its own.
		c.snapshotAt = now.Add(-c.settings.SnapshotEvery)
	case r.Claim != nil:
		c.closedBy = false
	}
}

// resolve tells the proposer of an own record what became of it: the first
// copy in the log decides, and later ones are void as duplicates.
func (c *Core) resolve(e recorder.Entry) {
	if e.Record.Holder != c.settings.Me || e.Record.Claim != nil {
		return
	}
	for i, p := range c.flight {
		if p.record.Term == e.Record.Term && p.record.Seq == e.Record.Seq {
			c.flight = append(c.flight[:i], c.flight[i+1:]...)
			p.finish(Result{Verdict: e.Verdict, Sent: true})
			return
		}
	}
}

// dropSuperseded gives up what can't become valid any more: once a higher term
// or a hand-over has been read, no copy that arrives later counts.
func (c *Core) dropSuperseded() {
	if !c.ledger.Ready() || c.ledger.HeldBy(c.settings.Me) {
		return
	}
	flight, queue := c.flight, c.queue
	c.flight, c.queue = nil, nil
	for _, p := range flight {
		p.finish(Result{Verdict: recorder.VoidTerm, Sent: true})
	}
	for _, p := range queue {
		p.finish(Result{Verdict: VoidDropped})
	}
}

func (p proposal) finish(r Result) {
	if p.done != nil {
		p.done(r)
	}
}
