package holder

import (
	"testing"
	"time"

	pv "persimmonvalve"
	"persimmonvalve/recorder"
)

// memory is a stream that takes appends without faults.
type memory struct{ records [][]byte }

func (m *memory) do(j Job) JobResult {
	r := JobResult{Appended: pv.Offset(len(m.records))}
	m.records = append(m.records, j.Append...)
	r.Batch = pv.Batch{First: j.From, Records: m.records[j.From:], Next: pv.Offset(len(m.records))}
	return r
}

func newHolder(name string, now time.Time) *Core {
	s := DefaultSettings()
	s.Me = pv.Incarnation(name)
	s.AppendRate, s.AppendBurst = 1000, 1000
	c := New(s, now)
	c.SetCandidate(true, 0)
	return c
}

func run(c *Core, m *memory, now time.Time, d time.Duration) time.Time {
	for end := now.Add(d); now.Before(end); now = now.Add(50 * time.Millisecond) {
		if j, ok := c.Next(now); ok {
			c.Done(now, j, m.do(j))
		}
	}
	return now
}

// A claim may land after its process began to leave. The cell's fuzzing, seed
// 1112287, found that it then held the term and neither worked nor left.
func TestLateClaimOfLeavingHolder(t *testing.T) {
	now := time.Unix(1000, 0)
	m := &memory{}
	c := newHolder("a", now)
	now = run(c, m, now, time.Second)
	late, err := recorder.Encode(recorder.Record{Header: recorder.Header{Term: 1, Holder: "a"}, Claim: &recorder.Claim{}})
	if err != nil {
		t.Fatal(err)
	}
	c.Leave()
	m.records = append(m.records, late)
	now = run(c, m, now, 5*time.Second)
	if !c.Left() {
		t.Errorf("got a leaving holder of term %d, want it handed over", c.Term())
	}
	successor := newHolder("b", now)
	now = run(successor, m, now, 2*time.Second)
	if got, want := successor.Term(), pv.Term(2); !successor.Holding(now) || got != want {
		t.Errorf("successor: got term %d, want to hold %d", got, want)
	}
}

// Of two copies of an append whose acknowledgement was lost, the first counts,
// and its proposer is told once.
func TestLostAcknowledgement(t *testing.T) {
	now := time.Unix(1000, 0)
	m := &memory{}
	c := newHolder("a", now)
	now = run(c, m, now, 8*time.Second)
	var told []Result
	accept := recorder.Record{Accept: &recorder.Accept{Spec: pv.TaskSpec{ID: "t", Plan: "p"}}}
	if !c.Propose(now, accept, func(r Result) { told = append(told, r) }) {
		t.Fatal("got not holding, want holding")
	}
	now = now.Add(time.Second)
	j, ok := c.Next(now)
	for ok && j.Append == nil {
		c.Done(now, j, m.do(j))
		now = now.Add(time.Second)
		j, ok = c.Next(now)
	}
	r := m.do(j)
	c.Done(now, j, JobResult{AppendErr: pv.ErrUnavailable, ReadErr: pv.ErrUnavailable})
	_ = r
	run(c, m, now, 5*time.Second)
	if len(told) != 1 || told[0].Verdict != recorder.Valid {
		t.Errorf("got %v, want one valid", told)
	}
	if got, want := c.Ledger().Accounts["p"].Submitted, int64(1); got != want {
		t.Errorf("submitted: got %d, want %d", got, want)
	}
}
