package holder

// This file defines how the core processes the result of a log operation: it
// applies the records read, reports the verdicts on its own records to their
// proposers, and detects when this process gains or loses the term.

import (
	"time"

	pv "persimmonvalve"
	"persimmonvalve/recorder"
)

const (
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 2 * time.Second
)

// HandleResult processes the result of the log operation returned by Next, and returns
// the entries that were read.
func (c *Core) HandleResult(now time.Time, op LogOperation, result LogOperationResult) []recorder.LedgerEntry {
	c.opInFlight = false
	if op.Append != nil && result.AppendErr == nil {
		c.acknowledgedEnd = result.Appended + pv.Offset(len(op.Append))
	}
	if result.ReadErr != nil {
		c.Counters.ReadErrors++
		c.atEnd = false // the end is unknown until the next successful read: an append may have succeeded
		c.scheduleRetry(now)
		return nil
	}
	if op.Append != nil && result.AppendErr != nil {
		c.scheduleRetry(now)
	} else {
		c.consecutiveFailures = 0
	}
	return c.applyBatch(now, result.Batch)
}

func (c *Core) scheduleRetry(now time.Time) {
	delay := min(minRetryDelay<<min(c.consecutiveFailures, 10), maxRetryDelay)
	c.consecutiveFailures++
	c.retryAt = now.Add(delay)
}

func (c *Core) applyBatch(now time.Time, batch pv.Batch) []recorder.LedgerEntry {
	if now.Sub(c.readDoneAt) > c.settings.SuspicionTimeout {
		// The log couldn't be read for longer than the suspicion timeout. The
		// holder may have been disconnected as well, so its silence starts anew.
		c.silentSince = now
	}
	c.readDoneAt = now
	c.readIssuedAt = c.opIssuedAt
	c.atEnd = batch.First+pv.Offset(len(batch.Records)) >= batch.Next && len(batch.Records) < c.settings.MaxReadRecords
	for _, data := range batch.Records {
		c.Counters.BytesRead += int64(len(data))
	}
	c.Counters.RecordsRead += int64(len(batch.Records))
	entries := c.ledger.Feed(batch)
	for _, e := range entries {
		c.applyEntry(now, e)
	}
	c.dropSuperseded()
	return entries
}

func (c *Core) applyEntry(now time.Time, e recorder.LedgerEntry) {
	if e.Verdict != recorder.Valid {
		c.Counters.VoidRecords[e.Verdict]++
	}
	if e.Verdict == recorder.Valid {
		c.silentSince = now
		c.trackTerm(now, e.Record)
	}
	c.resolve(e)
}

func (c *Core) trackTerm(now time.Time, r recorder.Record) {
	switch {
	case r.Handover != nil:
		c.cleanTakeover = true // for the next claim
	case r.Claim != nil && r.Holder == c.settings.Incarnation:
		c.takenOverAt = now
		c.takeoverTerm = r.Term
		c.cleanTakeover = c.cleanTakeover || r.Term == 1
		c.seq = 0
		c.lastWriteAt = now
		c.Counters.ClaimsWon++
		// A snapshot is due at once, so that readers can start even if the
		// predecessor didn't write its own in time.
		c.lastSnapshotAt = now.Add(-c.settings.SnapshotInterval)
	case r.Claim != nil:
		c.cleanTakeover = false
	}
}

// resolve passes the verdict on a record of this process to its proposer. The
// first copy in the log decides; later copies are void as duplicates.
func (c *Core) resolve(e recorder.LedgerEntry) {
	if e.Record.Holder != c.settings.Incarnation || e.Record.Claim != nil {
		return
	}
	for i, p := range c.inFlight {
		if p.record.Term == e.Record.Term && p.record.Seq == e.Record.Seq {
			c.inFlight = append(c.inFlight[:i], c.inFlight[i+1:]...)
			p.complete(Result{Verdict: e.Verdict, Sent: true})
			return
		}
	}
}

// dropSuperseded fails all records in flight and in the queue once a higher
// term or a handover has been read: no copy that arrives later can be valid.
func (c *Core) dropSuperseded() {
	if !c.ledger.Ready() || c.ledger.HeldBy(c.settings.Incarnation) {
		return
	}
	flight, queue := c.inFlight, c.queue
	c.inFlight, c.queue = nil, nil
	for _, p := range flight {
		p.complete(Result{Verdict: recorder.VoidSuperseded, Sent: true})
	}
	for _, p := range queue {
		p.complete(Result{Verdict: VoidNotSent})
	}
}

func (p proposal) complete(r Result) {
	if p.done != nil {
		p.done(r)
	}
}
