package entry

// This file defines how operators read and publish the two lists, plans and
// allowances. A change names the version that it amends. Of two concurrent
// changes to the same version the first in the log is accepted, and the other
// is refused with a conflict.

import (
	"context"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	pv "persimmonvalve"
	"persimmonvalve/follower"
	"persimmonvalve/internal/apigen"
	"persimmonvalve/parser"
)

// GetPlans implements apigen.Handler.
func (e *Entry) GetPlans(context.Context) (*apigen.ListHeaders, error) {
	return e.currentList(pv.PlansList)
}

// GetAllowances implements apigen.Handler.
func (e *Entry) GetAllowances(context.Context) (*apigen.ListHeaders, error) {
	return e.currentList(pv.AllowancesList)
}

// PutPlans implements apigen.Handler.
func (e *Entry) PutPlans(ctx context.Context, req apigen.PutPlansReq, params apigen.PutPlansParams) (*apigen.ListHeaders, error) {
	return e.publish(ctx, pv.PlansList, req.Data, params.IfMatch, params.PvalveAuthor.Value)
}

// PutAllowances implements apigen.Handler.
func (e *Entry) PutAllowances(ctx context.Context, req apigen.PutAllowancesReq, params apigen.PutAllowancesParams) (*apigen.ListHeaders, error) {
	return e.publish(ctx, pv.AllowancesList, req.Data, params.IfMatch, params.PvalveAuthor.Value)
}

// configurationState returns the state of the configuration stream, false if it
// is not known yet.
func (e *Entry) configurationState() (state follower.State, known bool) {
	e.eventLoop.Do(func() { state, known = e.config.State() })
	return state, known
}

func listOf(state follower.State, kind pv.ListKind) follower.List {
	if kind == pv.PlansList {
		return state.Plans
	}
	return state.Allowances
}

func etag(version pv.Offset) string { return strconv.Quote(strconv.FormatInt(int64(version), 10)) }

func (e *Entry) currentList(kind pv.ListKind) (*apigen.ListHeaders, error) {
	state, known := e.configurationState()
	if !known {
		return nil, refused(pv.ReasonNoConfiguration, "this entry has not read the configuration yet")
	}
	list := listOf(state, kind)
	return &apigen.ListHeaders{ETag: etag(list.Version), Response: apigen.List{Data: strings.NewReader(list.Text)}}, nil
}

// statusPreconditionFailed is the HTTP status for an If-Match that doesn't name
// the list's current version.
const statusPreconditionFailed = 412

// publish checks a list, appends the change to the configuration stream, and
// waits for its verdict.
func (e *Entry) publish(ctx context.Context, kind pv.ListKind, body io.Reader, ifMatch, author string) (*apigen.ListHeaders, error) {
	if !e.beginCall() {
		return nil, refused(pv.ReasonShuttingDown, "this entry is stopping; another one takes the change")
	}
	defer e.calls.Done()
	ctx, cancel := context.WithTimeout(ctx, streamCallTimeout)
	defer cancel()
	text, err := io.ReadAll(io.LimitReader(body, parser.MaxListBytes+1))
	if err != nil {
		return nil, refused(pv.ReasonBadInput, "the list can't be read: %v", err)
	}
	amends, err := strconv.ParseInt(strings.Trim(ifMatch, `"`), 10, 64)
	if err != nil {
		return nil, refused(pv.ReasonBadInput, "If-Match has to be the ETag that the list had, or \"-1\" for the first")
	}
	state, known := e.configurationState()
	if !known {
		return nil, refused(pv.ReasonNoConfiguration, "this entry has not read the configuration yet")
	}
	if faults := follower.Check(state, kind, string(text)); len(faults) > 0 {
		return nil, refused(pv.ReasonBadInput, "%v", parser.Join(faults))
	}
	change := &follower.Change{List: kind, Amends: pv.Offset(amends), Author: author, Text: string(text)}
	return e.appendChange(ctx, kind, change)
}

// appendChange appends a change repeatedly until its verdict has been read.
// Duplicates have no effect: once the change is accepted, the list's version is
// no longer the one that they amend.
func (e *Entry) appendChange(ctx context.Context, kind pv.ListKind, change *follower.Change) (*apigen.ListHeaders, error) {
	id := uuid.Must(uuid.NewV7()).String()
	data, err := follower.Encode(follower.Record{ID: id, Time: time.Now(), Change: change})
	if err != nil {
		return nil, Error.Wrap(err)
	}
	from := pv.Offset(0)
	e.eventLoop.Do(func() { from = e.config.Next() })
	for {
		appendErr := e.append(ctx, follower.Stream, data)
		e.configPoller.Wake()
		verdict, version, err := e.readVerdict(ctx, id, from)
		switch {
		case err == nil && verdict == follower.Accepted:
			e.awaitVersion(ctx, version)
			return &apigen.ListHeaders{ETag: etag(version), Response: apigen.List{Data: strings.NewReader(change.Text)}}, nil
		case err == nil && verdict == follower.Conflict:
			return nil, &Failure{Outcome: pv.OutcomeRefused, Reason: "conflict", Status: statusPreconditionFailed, Text: "the list has another version by now; read it and amend that"}
		case err == nil && verdict == follower.Faulty:
			return nil, refused(pv.ReasonBadInput, "the list became faulty by a change of the other list")
		}
		select {
		case <-time.After(holderRetryDelay):
		case <-ctx.Done():
			return nil, unknown(pv.ReasonLogUnavailable, "the change may have been recorded (append: %v); read the list again", appendErr)
		}
	}
}

// readVerdict reads the configuration stream and returns the verdict and the
// offset of the first record with the id.
func (e *Entry) readVerdict(ctx context.Context, id string, from pv.Offset) (follower.Verdict, pv.Offset, error) {
	core := follower.New()
	state, known := e.configurationState()
	if known && state.Next <= from {
		core.Adopt(state)
	}
	for {
		callCtx, cancel := context.WithTimeout(ctx, e.settings.CallTimeout)
		batch, err := e.log.Read(callCtx, follower.Stream, core.Next(), maxReadRecords)
		cancel()
		if err != nil {
			return "", 0, Error.Wrap(err)
		}
		for _, r := range core.Feed(batch) {
			if r.Record.ID == id {
				return r.Verdict, r.Offset, nil
			}
		}
		if len(batch.Records) < maxReadRecords {
			return "", 0, Error.New("the change is not in the configuration stream yet")
		}
	}
}

// awaitVersion waits until this entry has read a version of the configuration,
// so that the operator's next call to this entry uses it.
func (e *Entry) awaitVersion(ctx context.Context, version pv.Offset) {
	for ctx.Err() == nil {
		if state, _ := e.configurationState(); state.Version() >= version {
			return
		}
		e.configPoller.Wake()
		time.Sleep(e.settings.TickInterval)
	}
}

// GetHistory implements apigen.Handler.
func (e *Entry) GetHistory(ctx context.Context, params apigen.GetHistoryParams) ([]apigen.Change, error) {
	core := follower.New()
	changes := []apigen.Change{}
	for {
		batch, err := e.log.Read(ctx, follower.Stream, core.Next(), maxReadRecords)
		if err != nil {
			return nil, unknown(pv.ReasonLogUnavailable, "the log can't be read now: %v", err)
		}
		for _, r := range core.Feed(batch) {
			if change := r.Record.Change; change != nil && string(change.List) == string(params.List) {
				changes = append(changes, apigen.Change{
					Version: int64(r.Offset), Amends: int64(change.Amends), Time: r.Record.Time, Author: change.Author, Verdict: string(r.Verdict),
				})
			}
		}
		if len(batch.Records) < maxReadRecords {
			return changes, nil
		}
	}
}
