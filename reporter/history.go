package reporter

// This file defines the history of one task: its records in the order of time.

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/zeebo/errs"

	pv "persimmonvalve"
	"persimmonvalve/recorder"
)

// Error is the error class of this package.
var Error = errs.Class("report")

// Event is one record in a task's history.
type Event struct {
	Time   time.Time
	Stream pv.StreamName
	Offset pv.Offset
	Kind   string
	Text   string
}

// TaskHistory returns the valid records of a task in its home and cell, sorted by
// time. The string lists the records that the log no longer retains; it is empty if
// none are missing.
func TaskHistory(ctx context.Context, log pv.Log, id pv.TaskID, key string, home, cell pv.StreamName) ([]Event, string, error) {
	var events []Event
	gap := ""
	for _, stream := range [...]pv.StreamName{home, cell} {
		first, err := Scan(ctx, log, stream, func(e recorder.LedgerEntry) {
			if event, text, ok := eventOf(e, id, key); ok {
				events = append(events, Event{Time: e.Record.Time, Stream: stream, Offset: e.Offset, Kind: event, Text: text})
			}
		})
		if err != nil {
			return nil, "", err
		}
		if first > 0 {
			gap += fmt.Sprintf("records of %s before offset %d are beyond the log's retention; ", stream, first)
		}
	}
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.Time.UnixNano(), b.Time.UnixNano()) })
	return events, gap, nil
}

// maxReadRecords bounds the records read in one call.
const maxReadRecords = 2000

// Scan feeds a stream from its oldest retained record to its end to a new ledger
// and calls f for each entry. It returns the offset of that oldest record.
func Scan(ctx context.Context, log pv.Log, stream pv.StreamName, f func(recorder.LedgerEntry)) (pv.Offset, error) {
	first, _, err := scan(ctx, log, stream, f)
	return first, err
}

func scan(ctx context.Context, log pv.Log, stream pv.StreamName, f func(recorder.LedgerEntry)) (pv.Offset, *recorder.Ledger, error) {
	ledger := recorder.New()
	first := pv.Offset(-1)
	for {
		batch, err := log.Read(ctx, stream, ledger.Next(), maxReadRecords)
		if err != nil {
			return 0, nil, Error.Wrap(err)
		}
		if first < 0 {
			first = batch.First
		}
		for _, e := range ledger.Feed(batch) {
			f(e)
		}
		if len(batch.Records) < maxReadRecords {
			return first, ledger, nil
		}
	}
}

func eventOf(e recorder.LedgerEntry, id pv.TaskID, key string) (event, text string, ok bool) {
	if e.Verdict != recorder.Valid {
		return "", "", false
	}
	r := e.Record
	switch {
	case r.Begin != nil && r.Begin.Key == key:
		return "submitted", fmt.Sprintf("plan %s, assigned to %s", r.Begin.Plan, r.Begin.Cell), true
	case r.Answer != nil && r.Answer.Key == key:
		return string(r.Answer.Outcome), string(r.Answer.Reason), true
	case r.Transferred != nil && r.Transferred.Key == key:
		return "handed over", "the home recorded that the cell accepted the task", true
	case r.Accept != nil && r.Accept.Spec.ID == id:
		return "waiting", "accepted by the cell", true
	case r.Start != nil && r.Start.Attempt.Task == id:
		s := r.Start
		return "started", fmt.Sprintf("attempt %d on %s from %s, reserves %s", s.Attempt.Attempt, s.Worker, s.ResumeFrom, s.Reserve), true
	case r.Requeue != nil && r.Requeue.Attempt.Task == id:
		q := r.Requeue
		return "waits again", fmt.Sprintf("attempt %d ended: %s; kept %s of progress, lost %s", q.Attempt.Attempt, q.Reason, q.Checkpointed, q.LostProgress), true
	case r.Cancel != nil && r.Cancel.Task == id:
		return "cancelling", "the cell recorded a request to cancel the task", true
	case r.End != nil && r.End.Attempt.Task == id:
		return string(r.End.Outcome), fmt.Sprintf("after attempt %d %s", r.End.Attempt.Attempt, r.End.Reason), true
	}
	return "", "", false
}
