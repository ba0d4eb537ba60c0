package recorder

import (
	"fmt"
	"testing"
	"time"

	pv "persimmonvalve"
)

// taskRecords returns a cell's records with the given number of updates per
// task: an accept, followed by starts and requeues in turn.
func taskRecords(tb testing.TB, tasks, updates int) [][]byte {
	tb.Helper()
	seq := int64(0)
	var records [][]byte
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
		records = append(records, data)
	}
	add(Record{Claim: &Claim{Member: "agent-0", Address: "10.0.0.1:7200"}})
	size := pv.Resources{MilliCores: 4000, MemoryMB: 8000, Slots: 1}
	for u := range updates {
		for i := range tasks {
			id := pv.TaskID(fmt.Sprintf("0199a3c0-7a1b-7cc0-8000-%012d", i))
			attempt := pv.AttemptID{Task: id, Attempt: (u + 1) / 2}
			switch {
			case u == 0:
				add(Record{Accept: &Accept{Spec: pv.TaskSpec{ID: id, Plan: "dialTension", Customer: "workshop", Kind: "dialTension", Class: pv.ClassHeavy, Size: size, RunTime: time.Hour}}})
			case u%2 == 1:
				add(Record{Start: &Start{Attempt: attempt, Worker: pv.WorkerID(fmt.Sprintf("worker-%d", i)), Incarnation: "worker/1", Reserve: size, Capacity: size}})
			default:
				add(Record{Requeue: &Requeue{Attempt: attempt, Reason: pv.ReasonLeaseLapsed, Checkpointed: time.Duration(u) * time.Minute}})
			}
		}
	}
	return records
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

// A reader that starts from a snapshot reaches the same state as a reader of
// all records.
func TestSnapshotEqualsReplay(t *testing.T) {
	records := taskRecords(t, 20, 7)
	snapshot := snapshotOf(t, records)
	full := New()
	full.Feed(pv.Batch{Records: records, Next: pv.Offset(len(records))})
	restored := New()
	first := pv.Offset(len(records))
	restored.Feed(pv.Batch{First: first, Records: [][]byte{snapshot}, Next: first + 1})
	full.Feed(pv.Batch{First: first, Records: [][]byte{snapshot}, Next: first + 1})
	if !restored.Ready() {
		t.Fatal("ledger restored from a snapshot: got not ready, want ready")
	}
	got, want := encodeState(t, restored), encodeState(t, full)
	if got != want {
		t.Errorf("state restored from a snapshot: got %s, want %s", got, want)
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

// A snapshot is not used if records between its offset and the first offset
// still in the log can't be read: a change could be missed.
func TestSnapshotBeforeGapIsNotUsed(t *testing.T) {
	records := taskRecords(t, 3, 3)
	snapshot := snapshotOf(t, records)
	restored := New()
	first := pv.Offset(len(records)) + 5
	restored.Feed(pv.Batch{First: first, Records: [][]byte{snapshot}, Next: first + 1})
	if restored.Ready() {
		t.Error("ledger after a snapshot with a gap: got ready, want not ready")
	}
}

const benchmarkTasks = 256 // tasks of a cell at the target size

// BenchmarkRecovery compares recovery by replay of all records with recovery
// from a snapshot.
func BenchmarkRecovery(b *testing.B) {
	for _, updates := range []int{1, 2, 3, 5, 10, 20, 50} {
		records := taskRecords(b, benchmarkTasks, updates)
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
