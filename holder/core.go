package holder

// This file defines the pure core of a stream's holder. Time comes in as a
// value; I/O goes out as one job at a time and comes back as a result.
//
// A writer has at most one append in flight. When the acknowledgement is lost
// it reads the stream to the end; if its records aren't there it appends the
// same records, with the same numbers, again. The ledger voids the copies.

import (
	"time"

	"golang.org/x/time/rate"

	pv "persimmonvalve"
	"persimmonvalve/recorder"
)

// Settings are the holder's intervals and bounds.
type Settings struct {
	Me            pv.Incarnation
	Member        string
	Address       string        // where entries reach this holder
	Renew         time.Duration // longest pause between records of a holder
	Silence       time.Duration // a holder that is silent for so long is replaced
	Stagger       time.Duration // further silence that each rank of candidate waits
	Poll          time.Duration // between reads while there is nothing to write
	Authority     time.Duration // a holder that can't read the log for so long stops acting
	MaxQueue      int           // records waiting to be appended
	MaxBatch      int           // records in one append
	ReadLimit     int           // records in one read
	AppendRate    float64       // appends a second, averaged
	AppendBurst   int
	SnapshotEvery time.Duration // between snapshots, far below the log's retention
	Remember      time.Duration // ended work and keys are kept for so long
}

// DefaultSettings returns the settings for a site of the target size.
func DefaultSettings() Settings {
	return Settings{
		Renew:         2 * time.Second,
		Silence:       6 * time.Second,
		Stagger:       time.Second,
		Poll:          time.Second,
		Authority:     75 * time.Minute,
		MaxQueue:      4096,
		MaxBatch:      256,
		ReadLimit:     1024,
		AppendRate:    4,
		AppendBurst:   20,
		SnapshotEvery: 10 * time.Minute,
		Remember:      24 * time.Hour,
	}
}

// Result is the fate of a proposed record. Sent is false only when the record
// never went to the log and never will.
type Result struct {
	Verdict recorder.Verdict
	Sent    bool
}

// VoidDropped is the verdict of a record that was never sent.
const VoidDropped recorder.Verdict = "never sent"

type proposal struct {
	record recorder.Record
	done   func(Result)
}

// Job is one piece of I/O: an append, if there are records, then a read.
type Job struct {
	Append [][]byte
	From   pv.Offset
	Limit  int
}

// JobResult is what came of a job.
type JobResult struct {
	Appended  pv.Offset // offset of the first record, if AppendErr is nil
	AppendErr error
	Batch     pv.Batch
	ReadErr   error
}

// Core is the pure core of a holder. It isn't safe for concurrent use.
type Core struct {
	settings Settings
	ledger   *recorder.Ledger
	limiter  *rate.Limiter

	queue  []proposal
	flight []proposal
	seq    int64

	rank       int  // place among the candidates, 0 first
	candidate  bool // may claim
	leaving    bool
	handedOver pv.Term // last term whose hand-over was queued

	busy       bool      // a job is out
	atEnd      bool      // the last read reached the end of the stream
	ackedUntil pv.Offset // read up to here before appending the flight again
	retryAt    time.Time
	heardAt    time.Time // the holder was last heard, or could last have been
	issuedAt   time.Time // when the job that is out was handed out
	readAt     time.Time // when the last successful read was handed out
	polledAt   time.Time // when the last successful read came back
	wroteAt    time.Time
	snapshotAt time.Time
	claimAt    time.Time // when the own term was first seen
	claimed    pv.Term   // own term that claimAt belongs to
	closedBy   bool      // the predecessor handed its term over
	failures   int
	Counters   Counters
}

// Counters counts what the core did, for metrics and measurements.
type Counters struct {
	Appends     int64 // appends sent
	Reappends   int64 // of these, repeated after a lost acknowledgement
	Records     int64
	Bytes       int64
	ReadErrors  int64
	Claims      int64
	ClaimsWon   int64
	Void        map[recorder.Verdict]int64
	QueueFull   int64
	BytesRead   int64
	RecordsRead int64
}

// New returns the core of a stream nothing of which has been read.
func New(settings Settings, now time.Time) *Core {
	return &Core{
		settings:   settings,
		ledger:     recorder.New(),
		limiter:    rate.NewLimiter(rate.Limit(settings.AppendRate), settings.AppendBurst),
		heardAt:    now,
		wroteAt:    now,
		snapshotAt: now,
		Counters:   Counters{Void: map[recorder.Verdict]int64{}},
	}
}

// Ledger returns the state of the stream as far as it has been read.
func (c *Core) Ledger() *recorder.Ledger { return c.ledger }

// SetCandidate says whether this process may claim the term, and at which rank.
func (c *Core) SetCandidate(candidate bool, rank int) {
	c.candidate = candidate
	c.rank = rank
}

// Holding reports whether this process has the term and may act on it. The
// authority counts from when a read was issued: its answer may have been late,
// and tells nothing of claims made since.
func (c *Core) Holding(now time.Time) bool {
	return c.ledger.HeldBy(c.settings.Me) && now.Sub(c.readAt) < c.settings.Authority
}

// writableFor is how many polls may fail before the log counts as down.
const writableFor = 3

// Writable reports whether the log could be read a moment ago, so that a
// record would probably land now.
func (c *Core) Writable(now time.Time) bool {
	return now.Sub(c.polledAt) <= writableFor*c.settings.Poll
}

// Term returns the stream's current term.
func (c *Core) Term() pv.Term { return c.ledger.Term }

// TakenOver returns when this process first read its own claim, and whether
// the predecessor had handed over or never was.
func (c *Core) TakenOver() (at time.Time, clean bool) {
	return c.claimAt, c.closedBy
}

// Leave makes the core hand its term over; it claims no more.
func (c *Core) Leave() {
	if c.leaving {
		return
	}
	c.leaving = true
}

// handOver queues the hand-over of a leaving holder, once for each term: a
// claim that was delayed may still win a term after the process began to leave.
func (c *Core) handOver() {
	if c.leaving && c.handedOver != c.ledger.Term {
		c.handedOver = c.ledger.Term
		c.queue = append(c.queue, proposal{record: recorder.Record{HandOver: &recorder.HandOver{}}})
	}
}

// Left reports whether nothing of the core's term is outstanding.
func (c *Core) Left() bool {
	return c.leaving && !c.ledger.HeldBy(c.settings.Me)
}

// Propose queues a record. It returns false, and the record is never sent,
// when this process doesn't hold the term or the queue is full.
func (c *Core) Propose(now time.Time, record recorder.Record, done func(Result)) bool {
	if !c.Holding(now) || c.leaving {
		return false
	}
	if len(c.queue) >= c.settings.MaxQueue {
		c.Counters.QueueFull++
		return false
	}
	record.Time = now
	c.queue = append(c.queue, proposal{record: record, done: done})
	return true
}

// Next returns the next job, false when there is none now.
func (c *Core) Next(now time.Time) (Job, bool) {
	if c.busy || now.Before(c.retryAt) {
		return Job{}, false
	}
	job := Job{From: c.ledger.Next(), Limit: c.settings.ReadLimit}
	if c.mayAppend(now) {
		job.Append = c.batch(now)
	}
	if job.Append == nil && len(c.flight) == 0 && c.atEnd && now.Sub(c.polledAt) < c.settings.Poll {
		return Job{}, false
	}
	c.busy = true
	c.issuedAt = now
	return job, true
}

// mayAppend reports whether all that could already be in the stream has been
// read, and the rate allows an append.
func (c *Core) mayAppend(now time.Time) bool {
	return c.atEnd && c.ledger.Ready() && c.ledger.Next() >= c.ackedUntil
}

func (c *Core) batch(now time.Time) [][]byte {
	if len(c.flight) > 0 {
		c.Counters.Reappends++
		return c.encodeFlight()
	}
	if !c.ledger.HeldBy(c.settings.Me) {
		return c.claimBatch(now)
	}
	c.handOver()
	c.addUpkeep(now)
	if len(c.queue) == 0 || !c.limiter.AllowN(now, 1) {
		return nil
	}
	n := min(len(c.queue), c.settings.MaxBatch)
	c.flight = append([]proposal(nil), c.queue[:n]...)
	c.queue = c.queue[n:]
	for i := range c.flight {
		c.seq++
		c.flight[i].record.Header = recorder.Header{
			Term: c.ledger.Term, Holder: c.settings.Me, Seq: c.seq, Time: now,
		}
	}
	c.wroteAt = now
	return c.encodeFlight()
}

// addUpkeep queues the records that keep the term and the stream alive.
func (c *Core) addUpkeep(now time.Time) {
	if len(c.queue) == 0 && now.Sub(c.wroteAt) >= c.settings.Renew {
		c.queue = append(c.queue, proposal{record: recorder.Record{Renew: &recorder.Renew{}}})
	}
	if now.Sub(c.snapshotAt) < c.settings.SnapshotEvery {
		return
	}
	c.snapshotAt = now
	forget := &recorder.Forget{Before: now.Add(-c.settings.Remember)}
	c.queue = append(c.queue,
		proposal{record: recorder.Record{Forget: forget}},
		proposal{record: recorder.Record{Snapshot: c.ledger.TakeSnapshot()}})
}

// claimBatch returns a claim of the next term if the holder has been silent
// for long enough. Silence counts only while the log can be read, so a slow
// log moves no terms.
func (c *Core) claimBatch(now time.Time) [][]byte {
	if !c.candidate || c.leaving {
		return nil
	}
	wait := c.settings.Silence
	if c.ledger.Closed {
		wait = 0
	}
	wait += time.Duration(c.rank) * c.settings.Stagger
	if now.Sub(c.heardAt) < wait || now.Sub(c.polledAt) > c.settings.Poll || !c.limiter.AllowN(now, 1) {
		return nil
	}
	c.Counters.Claims++
	record := recorder.Record{
		Header: recorder.Header{Term: c.ledger.Term + 1, Holder: c.settings.Me, Time: now},
		Claim:  &recorder.Claim{Member: c.settings.Member, Address: c.settings.Address},
	}
	c.heardAt = now // the next try waits as long again
	return c.encode([]recorder.Record{record})
}

func (c *Core) encodeFlight() [][]byte {
	records := make([]recorder.Record, len(c.flight))
	for i, p := range c.flight {
		records[i] = p.record
	}
	return c.encode(records)
}

func (c *Core) encode(records []recorder.Record) [][]byte {
	out := make([][]byte, 0, len(records))
	for _, r := range records {
		data, err := recorder.Encode(r)
		if err != nil {
			panic(err) // records are plain data
		}
		out = append(out, data)
		c.Counters.Bytes += int64(len(data))
	}
	c.Counters.Appends++
	c.Counters.Records += int64(len(out))
	return out
}
