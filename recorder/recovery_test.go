package recorder

import (
	"fmt"
	"testing"
	"time"

	pv "persimmonvalve"
)

// stream returns a cell's records in which each of some tasks is updated so
// many times: an accept, then starts and requeues.
func stream(tb testing.TB, tasks, updates int) [][]byte {
	tb.Helper()
	seq := int64(0)
	var out [][]byte
	add := func(r Record) {
		seq++
		r.Header = Header{Term: 1, Holder: "0199a3c0-7a1b-7cc0-8000-000000000001", Seq: seq, Time: time.Unix(1000+seq, 0)}
		if r.Claim != nil {
			r.Seq = 0
		}
		data, err := Encode(r)
		if err != nil {
			tb.Fatal(err)
		}
		out = append(out, data)
	}
	add(Record{Claim: &Claim{Member: "agent-0", Address: "10.0.0.1:7200"}})
	size := pv.Resources{MilliCores: 4000, MemoryMB: 8000, Slots: 1}
	for u := range updates {
		for i := range tasks {
			id := pv.TaskID(fmt.Sprintf("0199a3c0-7a1b-7cc0-8000-%012d", i))
			attempt := pv.AttemptID{Task: id, Attempt: (u + 1) / 2}
			switch {
			case u == 0:
				add(Record{Accept: &Accept{Spec: pv.TaskSpec{ID: id, Plan: "dialTension", Customer: "workshop", Kind: "dialTension", Class: pv.Heavy, Size: size, RunTime: time.Hour}}})
			case u%2 == 1:
				add(Record{Start: &Start{Attempt: attempt, Worker: pv.WorkerID(fmt.Sprintf("worker-%d", i)), Incarnation: "worker/1", Reserve: size, Capacity: size}})
			default:
				add(Record{Requeue: &Requeue{Attempt: attempt, Cause: pv.ReasonLapsed, Saved: time.Duration(u) * time.Minute}})
			}
		}
	}
	return out
}

func snapshotOf(tb testing.TB, records [][]byte) []byte {
	tb.Helper()
	l := New()
	l.Feed(pv.Batch{Records: records, Next: pv.Offset(len(records))})
	data, err := Encode(Record{Header: Header{Term: 1, Holder: l.Holder, Seq: l.Seq + 1}, Snapshot: l.TakeSnapshot()})
	if err != nil {
		tb.Fatal(err)
	}
	return data
}

// A reader that starts from a snapshot has the state of one that read it all.
func TestSnapshotEqualsReplay(t *testing.T) {
	records := stream(t, 20, 7)
	snapshot := snapshotOf(t, records)
	all := New()
	all.Feed(pv.Batch{Records: records, Next: pv.Offset(len(records))})
	late := New()
	first := pv.Offset(len(records))
	late.Feed(pv.Batch{First: first, Records: [][]byte{snapshot}, Next: first + 1})
	all.Feed(pv.Batch{First: first, Records: [][]byte{snapshot}, Next: first + 1})
	if !late.Ready() {
		t.Fatal("got not ready, want ready")
	}
	got, want := encodeState(t, late), encodeState(t, all)
	if got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

func encodeState(tb testing.TB, l *Ledger) string {
	tb.Helper()
	data, err := Encode(Record{Snapshot: l.TakeSnapshot()})
	if err != nil {
		tb.Fatal(err)
	}
	return string(data)
}

// A snapshot that doesn't reach back to the horizon is not used: a record
// between could be missed.
func TestShortSnapshotIsNotUsed(t *testing.T) {
	records := stream(t, 3, 3)
	snapshot := snapshotOf(t, records)
	late := New()
	first := pv.Offset(len(records)) + 5
	late.Feed(pv.Batch{First: first, Records: [][]byte{snapshot}, Next: first + 1})
	if late.Ready() {
		t.Error("got ready, want not ready")
	}
}

const recoveryTasks = 256 // of a cell at the target size

// BenchmarkRecovery compares catching up by replay of all records with
// catching up from a snapshot of the latest versions.
func BenchmarkRecovery(b *testing.B) {
	for _, updates := range []int{1, 2, 3, 5, 10, 20, 50} {
		records := stream(b, recoveryTasks, updates)
		snapshot := snapshotOf(b, records)
		replayBytes := 0
		for _, r := range records {
			replayBytes += len(r)
		}
		b.Run(fmt.Sprintf("updates=%d/replay", updates), func(b *testing.B) {
			for b.Loop() {
				New().Feed(pv.Batch{Records: records, Next: pv.Offset(len(records))})
			}
			b.ReportMetric(float64(replayBytes), "bytes")
		})
		b.Run(fmt.Sprintf("updates=%d/latest", updates), func(b *testing.B) {
			first := pv.Offset(len(records))
			for b.Loop() {
				l := New()
				l.Feed(pv.Batch{First: first, Records: [][]byte{snapshot}, Next: first + 1})
			}
			b.ReportMetric(float64(len(snapshot)), "bytes")
		})
	}
}
