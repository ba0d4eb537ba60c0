package holder

import (
	"testing"
	"time"

	pv "persimmonvalve"
	"persimmonvalve/recorder"
)

// fakeStream is an in-memory stream on which every operation succeeds.
type fakeStream struct{ records [][]byte }

func (s *fakeStream) execute(op LogOperation) LogOperationResult {
	result := LogOperationResult{Appended: pv.Offset(len(s.records))}
	s.records = append(s.records, op.Append...)
	result.Batch = pv.Batch{First: op.From, Records: s.records[op.From:], Next: pv.Offset(len(s.records))}
	return result
}

func newHolder(name string, now time.Time) *Core {
	s := DefaultSettings()
	s.Incarnation = pv.Incarnation(name)
	s.AppendsPerSecond, s.AppendBurst = 1000, 1000
	c := New(s, now)
	c.SetCandidate(true, 0)
	return c
}

func runFor(c *Core, stream *fakeStream, now time.Time, d time.Duration) time.Time {
	for end := now.Add(d); now.Before(end); now = now.Add(50 * time.Millisecond) {
		if op, ok := c.Next(now); ok {
			c.HandleResult(now, op, stream.execute(op))
		}
	}
	return now
}

// A delayed claim may be appended after its process started its handover. If
// the term that it wins isn't handed over as well, the process holds it, does
// no work and never terminates (found by fuzzing of the cell, seed 1112287).
func TestClaimAppendedDuringHandover(t *testing.T) {
	now := time.Unix(1000, 0)
	stream := &fakeStream{}
	c := newHolder("a", now)
	now = runFor(c, stream, now, time.Second) // shorter than SuspicionTimeout: c hasn't claimed
	lateClaim, err := recorder.Encode(recorder.Record{Header: recorder.Header{Term: 1, Holder: "a"}, Claim: &recorder.Claim{}})
	if err != nil {
		t.Fatal(err)
	}
	c.StartHandover()
	stream.records = append(stream.records, lateClaim)
	now = runFor(c, stream, now, 5*time.Second)
	if !c.HandoverDone() {
		t.Errorf("term %d is still held, want it handed over", c.Term())
	}
	successor := newHolder("b", now)
	now = runFor(successor, stream, now, 2*time.Second)
	if got, want := successor.Term(), pv.Term(2); !successor.Holding(now) || got != want {
		t.Errorf("successor: got term %d, want to hold %d", got, want)
	}
}

// If the acknowledgement of an append is lost although its record was stored,
// the record takes effect once and its proposer gets one result.
func TestLostAcknowledgement(t *testing.T) {
	now := time.Unix(1000, 0)
	stream := &fakeStream{}
	c := newHolder("a", now)
	now = runFor(c, stream, now, 8*time.Second) // longer than SuspicionTimeout: c holds the term
	var results []Result
	accept := recorder.Record{Accept: &recorder.Accept{Spec: pv.TaskSpec{ID: "t", Plan: "p"}}}
	if !c.Propose(now, accept, func(r Result) { results = append(results, r) }) {
		t.Fatal("proposal was refused, want it queued")
	}
	now = now.Add(time.Second)
	op, ok := c.Next(now)
	for ok && op.Append == nil {
		c.HandleResult(now, op, stream.execute(op))
		now = now.Add(time.Second)
		op, ok = c.Next(now)
	}
	result := stream.execute(op)
	c.HandleResult(now, op, LogOperationResult{AppendErr: pv.ErrUnavailable, ReadErr: pv.ErrUnavailable})
	_ = result
	runFor(c, stream, now, 5*time.Second)
	if len(results) != 1 || results[0].Verdict != recorder.Valid {
		t.Errorf("results: got %v, want one valid", results)
	}
	if got, want := c.Ledger().Accounts["p"].Submitted, int64(1); got != want {
		t.Errorf("submitted: got %d, want %d", got, want)
	}
}
