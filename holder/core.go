package holder

// This file defines the core of a stream's holder, which does no I/O itself:
// the caller passes in the time, executes one log operation at a time and
// passes its result back.
//
// A process has at most one append in flight. If a holder's append isn't
// acknowledged, the holder reads the stream to the end. If its records aren't
// there, it appends them again with the same sequence numbers. If both copies
// arrive, the ledger voids the second as a duplicate.

import (
	"time"

	"golang.org/x/time/rate"

	pv "persimmonvalve"
	"persimmonvalve/recorder"
)

// Settings are the intervals and limits of a holder.
type Settings struct {
	Incarnation       pv.Incarnation
	Member            string
	Address           string        // at which entries reach this process
	MaxRecordInterval time.Duration // longest interval between records of a holder; an idle holder appends a renewal
	SuspicionTimeout  time.Duration // without a valid record for this long, the holder may be replaced
	StaggerPerRank    time.Duration // a candidate of rank r waits for SuspicionTimeout + r*StaggerPerRank
	PollInterval      time.Duration // interval of reads while there is nothing to write
	AuthorityTimeout  time.Duration // a holder that couldn't read the log for this long stops acting
	MaxQueueRecords   int           // records waiting to be appended
	MaxBatchRecords   int           // records in one append
	MaxReadRecords    int           // records in one read
	AppendsPerSecond  float64       // average number of appends per second
	AppendBurst       int           // appends that may follow one another at once
	SnapshotInterval  time.Duration // interval of snapshots; must be far below the log's retention
	Retention         time.Duration // how long ended tasks and requests are retained
}

// DefaultSettings returns the settings for a site of the target size.
func DefaultSettings() Settings {
	return Settings{
		MaxRecordInterval: 2 * time.Second,
		SuspicionTimeout:  6 * time.Second,
		StaggerPerRank:    time.Second,
		PollInterval:      time.Second,
		AuthorityTimeout:  75 * time.Minute,
		MaxQueueRecords:   4096,
		MaxBatchRecords:   256,
		MaxReadRecords:    1024,
		AppendsPerSecond:  4,
		AppendBurst:       20,
		SnapshotInterval:  10 * time.Minute,
		Retention:         24 * time.Hour,
	}
}

// Result is the outcome of a proposed record. If Sent is false, the record wasn't
// and won't be sent to the log.
type Result struct {
	Verdict recorder.Verdict
	Sent    bool
}

// VoidNotSent is the verdict of a record that was never sent to the log.
const VoidNotSent recorder.Verdict = "never sent"

type proposal struct {
	record recorder.Record
	done   func(Result)
}

// LogOperation is an append to the stream, if there are records, followed by a read.
type LogOperation struct {
	Append [][]byte
	From   pv.Offset // offset at which the read starts
	Limit  int       // maximum number of records read
}

// LogOperationResult is the result of a log operation.
type LogOperationResult struct {
	Appended  pv.Offset // offset of the first record, if AppendErr is nil
	AppendErr error
	Batch     pv.Batch
	ReadErr   error
}

// Core is the state of a holder or of a candidate for the term. It isn't safe for
// concurrent use.
type Core struct {
	settings Settings
	ledger   *recorder.Ledger
	limiter  *rate.Limiter

	queue    []proposal
	inFlight []proposal
	seq      int64

	rank         int  // see SetCandidate
	candidate    bool // may claim the next term
	handingOver  bool
	handoverTerm pv.Term // last term whose handover was queued

	opInFlight          bool      // a log operation is in flight
	atEnd               bool      // the last read reached the end of the stream
	acknowledgedEnd     pv.Offset // the log must be read up to here before inFlight may be appended again
	retryAt             time.Time
	silentSince         time.Time // start of the current silence: last valid record, own claim sent, or first read after an outage of the log
	opIssuedAt          time.Time // when the log operation in flight was issued
	readIssuedAt        time.Time // when the last successful read was issued
	readDoneAt          time.Time // when the result of the last successful read arrived
	lastWriteAt         time.Time
	lastSnapshotAt      time.Time
	takenOverAt         time.Time // when this process first read its own claim
	takeoverTerm        pv.Term   // term of that claim
	cleanTakeover       bool      // the predecessor handed its term over, or there was none
	consecutiveFailures int       // of log operations
	Counters            Counters
}

// Counters counts the operations of a core, for metrics and measurements.
type Counters struct {
	Appends           int64 // including Reappends and claims
	Reappends         int64 // repeated because the records weren't found in the stream
	RecordsAppended   int64
	BytesAppended     int64
	ReadErrors        int64
	ClaimsSent        int64
	ClaimsWon         int64
	VoidRecords       map[recorder.Verdict]int64
	QueueFullRefusals int64
	BytesRead         int64
	RecordsRead       int64
}

// New returns the core of a stream of which no record has been read yet.
func New(settings Settings, now time.Time) *Core {
	return &Core{
		settings:       settings,
		ledger:         recorder.New(),
		limiter:        rate.NewLimiter(rate.Limit(settings.AppendsPerSecond), settings.AppendBurst),
		silentSince:    now,
		lastWriteAt:    now,
		lastSnapshotAt: now,
		Counters:       Counters{VoidRecords: map[recorder.Verdict]int64{}},
	}
}

// Ledger returns the state of the stream at the last record read.
func (c *Core) Ledger() *recorder.Ledger { return c.ledger }

// SetCandidate sets whether this process may claim the next term, and its rank:
// its position among the candidates, 0 first, plus the terms that it already
// holds. Each rank delays a claim by StaggerPerRank.
func (c *Core) SetCandidate(candidate bool, rank int) {
	c.candidate = candidate
	c.rank = rank
}

// Holding reports whether this process holds the term and may act on it. The
// authority timeout counts from the time at which the last successful read was
// issued: its answer may have been delayed and doesn't include claims made since.
func (c *Core) Holding(now time.Time) bool {
	return c.ledger.HeldBy(c.settings.Incarnation) && now.Sub(c.readIssuedAt) < c.settings.AuthorityTimeout
}

// maxFailedPolls is the number of poll intervals without a successful read after
// which the log counts as unreachable.
const maxFailedPolls = 3

// LogReachable reports whether the log was read within the last maxFailedPolls poll
// intervals, so that an append will probably succeed.
func (c *Core) LogReachable(now time.Time) bool {
	return now.Sub(c.readDoneAt) <= maxFailedPolls*c.settings.PollInterval
}

// Term returns the stream's current term.
func (c *Core) Term() pv.Term { return c.ledger.Term }

// Takeover returns when this process first read its own claim, and whether its
// predecessor handed the term over or there was no predecessor.
func (c *Core) Takeover() (at time.Time, clean bool) {
	return c.takenOverAt, c.cleanTakeover
}

// StartHandover makes the core hand its term over and claim no further term.
func (c *Core) StartHandover() {
	if c.handingOver {
		return
	}
	c.handingOver = true
}

// queueHandover queues one handover record per term: a delayed claim may still
// win a term after the process started its handover.
func (c *Core) queueHandover() {
	if c.handingOver && c.handoverTerm != c.ledger.Term {
		c.handoverTerm = c.ledger.Term
		c.queue = append(c.queue, proposal{record: recorder.Record{Handover: &recorder.Handover{}}})
	}
}

// HandoverDone reports whether a handover was requested and this process doesn't
// hold the term.
func (c *Core) HandoverDone() bool {
	return c.handingOver && !c.ledger.HeldBy(c.settings.Incarnation)
}

// Propose queues a record and returns true; done, if not nil, is called with the
// result during a later call of Done. If this process doesn't hold the term, is
// handing it over, or the queue is full, Propose returns false; then the record is
// never sent and done isn't called.
func (c *Core) Propose(now time.Time, record recorder.Record, done func(Result)) bool {
	if !c.Holding(now) || c.handingOver {
		return false
	}
	if len(c.queue) >= c.settings.MaxQueueRecords {
		c.Counters.QueueFullRefusals++
		return false
	}
	record.Time = now
	c.queue = append(c.queue, proposal{record: record, done: done})
	return true
}

// Next returns the next log operation, or false if none is due. The caller passes
// the result of the operation to Done; until then, Next returns false.
func (c *Core) Next(now time.Time) (LogOperation, bool) {
	if c.opInFlight || now.Before(c.retryAt) {
		return LogOperation{}, false
	}
	op := LogOperation{From: c.ledger.Next(), Limit: c.settings.MaxReadRecords}
	if c.canAppend(now) {
		op.Append = c.nextAppend(now)
	}
	if op.Append == nil && len(c.inFlight) == 0 && c.atEnd && now.Sub(c.readDoneAt) < c.settings.PollInterval {
		return LogOperation{}, false
	}
	c.opInFlight = true
	c.opIssuedAt = now
	return op, true
}

// canAppend reports whether the state is known and the stream has been read to
// its end, the last acknowledged append included.
func (c *Core) canAppend(now time.Time) bool {
	return c.atEnd && c.ledger.Ready() && c.ledger.Next() >= c.acknowledgedEnd
}

func (c *Core) nextAppend(now time.Time) [][]byte {
	if len(c.inFlight) > 0 {
		c.Counters.Reappends++
		return c.encodeInFlight()
	}
	if !c.ledger.HeldBy(c.settings.Incarnation) {
		return c.nextClaim(now)
	}
	c.queueHandover()
	c.queueMaintenance(now)
	if len(c.queue) == 0 || !c.limiter.AllowN(now, 1) {
		return nil
	}
	n := min(len(c.queue), c.settings.MaxBatchRecords)
	c.inFlight = append([]proposal(nil), c.queue[:n]...)
	c.queue = c.queue[n:]
	for i := range c.inFlight {
		c.seq++
		c.inFlight[i].record.Header = recorder.Header{
			Term: c.ledger.Term, Holder: c.settings.Incarnation, Seq: c.seq, Time: now,
		}
	}
	c.lastWriteAt = now
	return c.encodeInFlight()
}

// queueMaintenance queues the periodic records: a renewal if nothing else is
// queued, and a snapshot preceded by a forget record.
func (c *Core) queueMaintenance(now time.Time) {
	if len(c.queue) == 0 && now.Sub(c.lastWriteAt) >= c.settings.MaxRecordInterval {
		c.queue = append(c.queue, proposal{record: recorder.Record{Renew: &recorder.Renew{}}})
	}
	if now.Sub(c.lastSnapshotAt) < c.settings.SnapshotInterval {
		return
	}
	c.lastSnapshotAt = now
	forget := &recorder.Forget{Before: now.Add(-c.settings.Retention)}
	c.queue = append(c.queue,
		proposal{record: recorder.Record{Forget: forget}},
		proposal{record: recorder.Record{Snapshot: c.ledger.TakeSnapshot()}})
}

// nextClaim returns a claim of the next term if the holder has been silent for
// SuspicionTimeout + rank*StaggerPerRank; after a handover, for rank*StaggerPerRank.
// So that a slow log causes no takeovers, a claim also requires a read within the
// last poll interval, and applyBatch restarts the silence after an outage of the log.
func (c *Core) nextClaim(now time.Time) [][]byte {
	if !c.candidate || c.handingOver {
		return nil
	}
	minSilence := c.settings.SuspicionTimeout
	if c.ledger.HandedOver {
		minSilence = 0
	}
	minSilence += time.Duration(c.rank) * c.settings.StaggerPerRank
	if now.Sub(c.silentSince) < minSilence || now.Sub(c.readDoneAt) > c.settings.PollInterval || !c.limiter.AllowN(now, 1) {
		return nil
	}
	c.Counters.ClaimsSent++
	record := recorder.Record{
		Header: recorder.Header{Term: c.ledger.Term + 1, Holder: c.settings.Incarnation, Time: now},
		Claim:  &recorder.Claim{Member: c.settings.Member, Address: c.settings.Address},
	}
	c.silentSince = now // the next attempt waits for the full time again
	return c.encode([]recorder.Record{record})
}

func (c *Core) encodeInFlight() [][]byte {
	records := make([]recorder.Record, len(c.inFlight))
	for i, p := range c.inFlight {
		records[i] = p.record
	}
	return c.encode(records)
}

func (c *Core) encode(records []recorder.Record) [][]byte {
	encoded := make([][]byte, 0, len(records))
	for _, r := range records {
		data, err := recorder.Encode(r)
		if err != nil {
			panic(err) // can't fail: records are plain data
		}
		encoded = append(encoded, data)
		c.Counters.BytesAppended += int64(len(data))
	}
	c.Counters.Appends++
	c.Counters.RecordsAppended += int64(len(encoded))
	return encoded
}
