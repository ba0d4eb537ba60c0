package reporter

// This file defines the story of one task: every record about it, in order.

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

// Error is the class of this package's errors.
var Error = errs.Class("report")

// Event is one step of a task's story.
type Event struct {
	Time   time.Time
	Stream pv.StreamName
	Offset pv.Offset
	Event  string
	Text   string
}

// Story returns the valid records about a task in its home and cell. The gap
// says why the story isn't whole; it is empty if it is.
func Story(ctx context.Context, log pv.Log, id pv.TaskID, key string, home, cell pv.StreamName) ([]Event, string, error) {
	var events []Event
	gap := ""
	for _, stream := range [...]pv.StreamName{home, cell} {
		first, err := Scan(ctx, log, stream, func(e recorder.Entry) {
			if event, text, ok := eventOf(e, id, key); ok {
				events = append(events, Event{Time: e.Record.Time, Stream: stream, Offset: e.Offset, Event: event, Text: text})
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

// scanLimit is how many records are read at once.
const scanLimit = 2000

// Scan feeds a stream to a new ledger from its oldest record to its end, and
// calls f for each entry. It returns the oldest offset that is still kept.
func Scan(ctx context.Context, log pv.Log, stream pv.StreamName, f func(recorder.Entry)) (pv.Offset, error) {
	first, _, err := scan(ctx, log, stream, f)
	return first, err
}

func scan(ctx context.Context, log pv.Log, stream pv.StreamName, f func(recorder.Entry)) (pv.Offset, *recorder.Ledger, error) {
	ledger := recorder.New()
	first := pv.Offset(-1)
	for {
		b, err := log.Read(ctx, stream, ledger.Next(), scanLimit)
		if err != nil {
			return 0, nil, Error.Wrap(err)
		}
		if first < 0 {
			first = b.First
		}
		for _, e := range ledger.Feed(b) {
			f(e)
		}
		if len(b.Records) < scanLimit {
			return first, ledger, nil
		}
	}
}

func eventOf(e recorder.Entry, id pv.TaskID, key string) (event, text string, ok bool) {
	if e.Verdict != recorder.Valid {
		return "", "", false
	}
	r := e.Record
	switch {
	case r.Begin != nil && r.Begin.Key == key:
		return "submitted", fmt.Sprintf("plan %s, for %s", r.Begin.Plan, r.Begin.Cell), true
	case r.Answer != nil && r.Answer.Key == key:
		return string(r.Answer.Outcome), string(r.Answer.Reason), true
	case r.Handed != nil && r.Handed.Key == key:
		return "handed over", "the cell has it", true
	case r.Accept != nil && r.Accept.Spec.ID == id:
		return "waiting", "accepted by the cell", true
	case r.Start != nil && r.Start.Attempt.Task == id:
		s := r.Start
		return "started", fmt.Sprintf("attempt %d on %s from %s, reserves %s", s.Attempt.Attempt, s.Worker, s.From, s.Reserve), true
	case r.Requeue != nil && r.Requeue.Attempt.Task == id:
		q := r.Requeue
		return "waits again", fmt.Sprintf("attempt %d ended: %s; kept %s, lost %s", q.Attempt.Attempt, q.Cause, q.Saved, q.Lost), true
	case r.Cancel != nil && r.Cancel.Task == id:
		return "cancelling", "the caller asked for it", true
	case r.End != nil && r.End.Attempt.Task == id:
		return string(r.End.Outcome), fmt.Sprintf("after attempt %d %s", r.End.Attempt.Attempt, r.End.Reason), true
	}
	return "", "", false
}
