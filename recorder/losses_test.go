package recorder

import (
	"testing"
	"time"

	pv "persimmonvalve"
)

// lossRecords returns the records of one task that is started and requeued in turn, once for
// each requeue.
func lossRecords(tb testing.TB, requeues []Requeue) [][]byte {
	tb.Helper()
	var records [][]byte
	add := func(r Record) {
		r.Header = Header{Term: 1, Holder: "h", Seq: int64(len(records)), Time: time.Unix(1000, 0)}
		data, err := Encode(r)
		if err != nil {
			tb.Fatal(err)
		}
		records = append(records, data)
	}
	add(Record{Claim: &Claim{Member: "a"}})
	add(Record{Accept: &Accept{Spec: pv.TaskSpec{ID: "t", Plan: "p", Customer: "c"}}})
	for i, q := range requeues {
		q.Attempt = pv.AttemptID{Task: "t", Attempt: i + 1}
		add(Record{Start: &Start{Attempt: q.Attempt, Worker: "w", Incarnation: "w/1"}})
		add(Record{Requeue: &q})
	}
	return records
}

// The early losses of a task are part of the state: kept in snapshots, bounded, dropped when
// an attempt has survived, and left alone by records of former versions.
func TestEarlyLosses(t *testing.T) {
	lost := Requeue{Reason: pv.ReasonLeaseLapsed, EarlyLoss: true}
	former := Requeue{Reason: pv.ReasonLeaseLapsed}
	survived := Requeue{Reason: pv.ReasonPreempted, Survived: true}
	many := make([]Requeue, 3*maxEarlyLosses)
	for i := range many {
		many[i] = lost
	}
	for name, c := range map[string]struct {
		requeues []Requeue
		want     int
	}{
		"none":            {requeues: []Requeue{former, survived}, want: 0},
		"two in a row":    {requeues: []Requeue{lost, lost}, want: 2},
		"former version":  {requeues: []Requeue{lost, former, lost}, want: 2},
		"survived":        {requeues: []Requeue{lost, lost, survived}, want: 0},
		"after surviving": {requeues: []Requeue{lost, survived, lost}, want: 1},
		"bounded":         {requeues: many, want: maxEarlyLosses},
	} {
		t.Run(name, func(t *testing.T) {
			records := lossRecords(t, c.requeues)
			full := New()
			full.Feed(pv.Batch{Records: records, Next: pv.Offset(len(records))})
			losses := full.Tasks["t"].EarlyLosses
			if got := len(losses); got != c.want {
				t.Errorf("got %d early losses, want %d", got, c.want)
			}
			for _, got := range losses {
				if want := (WorkerLoss{Worker: "w", Incarnation: "w/1"}); got != want {
					t.Errorf("got loss %v, want %v", got, want)
				}
			}
			first := pv.Offset(len(records))
			batch := pv.Batch{First: first, Records: [][]byte{snapshotOf(t, records)}, Next: first + 1}
			restored := New()
			restored.Feed(batch)
			full.Feed(batch)
			if got, want := encodeState(t, restored), encodeState(t, full); got != want {
				t.Errorf("state restored from a snapshot: got %s, want %s", got, want)
			}
		})
	}
}
