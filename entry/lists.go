package entry

// This file defines how operators see and publish the two lists. A change
// names the version that it amends; of two racing operators the first in the
// log wins and the second is told.

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
	return e.showList(pv.PlansList)
}

// GetAllowances implements apigen.Handler.
func (e *Entry) GetAllowances(context.Context) (*apigen.ListHeaders, error) {
	return e.showList(pv.AllowancesList)
}

// PutPlans implements apigen.Handler.
func (e *Entry) PutPlans(ctx context.Context, req apigen.PutPlansReq, params apigen.PutPlansParams) (*apigen.ListHeaders, error) {
	return e.publish(ctx, pv.PlansList, req.Data, params.IfMatch, params.PvalveAuthor.Value)
}

// PutAllowances implements apigen.Handler.
func (e *Entry) PutAllowances(ctx context.Context, req apigen.PutAllowancesReq, params apigen.PutAllowancesParams) (*apigen.ListHeaders, error) {
	return e.publish(ctx, pv.AllowancesList, req.Data, params.IfMatch, params.PvalveAuthor.Value)
}

func (e *Entry) state() (s follower.State, known bool) {
	e.control.Do(func() { s, known = e.config.State() })
	return s, known
}

func listOf(s follower.State, kind pv.ListKind) follower.List {
	if kind == pv.PlansList {
		return s.Plans
	}
	return s.Allowances
}

func etag(version pv.Offset) string { return strconv.Quote(strconv.FormatInt(int64(version), 10)) }

func (e *Entry) showList(kind pv.ListKind) (*apigen.ListHeaders, error) {
	s, known := e.state()
	if !known {
		return nil, refused(pv.ReasonNoConfig, "this entry has not read the configuration yet")
	}
	l := listOf(s, kind)
	return &apigen.ListHeaders{ETag: etag(l.Version), Response: apigen.List{Data: strings.NewReader(l.Text)}}, nil
}

const statusConflict = 412 // a lost race, as for any If-Match

// publish checks a list, appends the change, and waits for its verdict.
func (e *Entry) publish(ctx context.Context, kind pv.ListKind, body io.Reader, match, author string) (*apigen.ListHeaders, error) {
	if !e.begin() {
		return nil, refused(pv.ReasonShutdown, "this entry is stopping; another one takes the change")
	}
	defer e.callers.Done()
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	text, err := io.ReadAll(io.LimitReader(body, parser.MaxListBytes+1))
	if err != nil {
		return nil, refused(pv.ReasonBadInput, "the list can't be read: %v", err)
	}
	amends, err := strconv.ParseInt(strings.Trim(match, `"`), 10, 64)
	if err != nil {
		return nil, refused(pv.ReasonBadInput, "If-Match has to be the ETag that the list had, or \"-1\" for the first")
	}
	s, known := e.state()
	if !known {
		return nil, refused(pv.ReasonNoConfig, "this entry has not read the configuration yet")
	}
	if faults := follower.Check(s, kind, string(text)); len(faults) > 0 {
		return nil, refused(pv.ReasonBadInput, "%v", parser.Join(faults))
	}
	change := &follower.Change{List: kind, Amends: pv.Offset(amends), Author: author, Text: string(text)}
	return e.appendChange(ctx, kind, change)
}

// appendChange appends a change until its verdict has been read. Copies do no
// harm: after the first the list has another version than they amend.
func (e *Entry) appendChange(ctx context.Context, kind pv.ListKind, change *follower.Change) (*apigen.ListHeaders, error) {
	id := uuid.Must(uuid.NewV7()).String()
	data, err := follower.Encode(follower.Record{ID: id, Time: time.Now(), Change: change})
	if err != nil {
		return nil, Error.Wrap(err)
	}
	from := pv.Offset(0)
	e.control.Do(func() { from = e.config.Next() })
	for {
		appendErr := e.append(ctx, follower.Stream, data)
		e.poll.Wake()
		verdict, version, err := e.verdictOf(ctx, id, from)
		switch {
		case err == nil && verdict == follower.Accepted:
			e.awaitVersion(ctx, version)
			return &apigen.ListHeaders{ETag: etag(version), Response: apigen.List{Data: strings.NewReader(change.Text)}}, nil
		case err == nil && verdict == follower.Conflict:
			return nil, &Failure{Outcome: pv.Refused, Reason: "conflict", Status: statusConflict, Text: "the list has another version by now; read it and amend that"}
		case err == nil && verdict == follower.Faulty:
			return nil, refused(pv.ReasonBadInput, "the list became faulty by a change of the other list")
		}
		select {
		case <-time.After(holderRetry):
		case <-ctx.Done():
			return nil, unknown(pv.ReasonLogDown, "the change may have been recorded (append: %v); read the list again", appendErr)
		}
	}
}

// verdictOf reads the configuration stream for the first record with an id.
func (e *Entry) verdictOf(ctx context.Context, id string, from pv.Offset) (follower.Verdict, pv.Offset, error) {
	core := follower.New()
	s, known := e.state()
	if known && s.Next <= from {
		core.Adopt(s)
	}
	for {
		bounded, cancel := context.WithTimeout(ctx, e.settings.CallTimeout)
		b, err := e.log.Read(bounded, follower.Stream, core.Next(), readLimit)
		cancel()
		if err != nil {
			return "", 0, Error.Wrap(err)
		}
		for _, r := range core.Feed(b) {
			if r.Record.ID == id {
				return r.Verdict, r.Offset, nil
			}
		}
		if len(b.Records) < readLimit {
			return "", 0, Error.New("not found yet")
		}
	}
}

// awaitVersion waits until this entry has a version in force, so that the
// operator's next call here finds it.
func (e *Entry) awaitVersion(ctx context.Context, version pv.Offset) {
	for ctx.Err() == nil {
		if s, _ := e.state(); s.Version() >= version {
			return
		}
		e.poll.Wake()
		time.Sleep(e.settings.Tick)
	}
}

// GetHistory implements apigen.Handler.
func (e *Entry) GetHistory(ctx context.Context, params apigen.GetHistoryParams) ([]apigen.Change, error) {
	core := follower.New()
	out := []apigen.Change{}
	for {
		b, err := e.log.Read(ctx, follower.Stream, core.Next(), readLimit)
		if err != nil {
			return nil, unknown(pv.ReasonLogDown, "the log can't be read now: %v", err)
		}
		for _, r := range core.Feed(b) {
			if ch := r.Record.Change; ch != nil && string(ch.List) == string(params.List) {
				out = append(out, apigen.Change{
					Version: int64(r.Offset), Amends: int64(ch.Amends), Time: r.Record.Time, Author: ch.Author, Verdict: string(r.Verdict),
				})
			}
		}
		if len(b.Records) < readLimit {
			return out, nil
		}
	}
}
