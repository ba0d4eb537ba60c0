package leader

// This file defines the inbox: a keyed topic into which gateways write jobs and
// cancellations while no leader can be asked. What is in it is accepted. The
// leader takes it in, and drops a record once its effect is stored; a record
// that is taken in twice does nothing, since the job's id is known by then.

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"go.uber.org/zap"

	pv "persimmonvalve"
	"persimmonvalve/internal/logfield"
)

// InboxTopic is the topic of the inbox.
const InboxTopic pv.Topic = "keyed.inbox"

const (
	inboxJob    = "job/"
	inboxCancel = "cancel/"
	// inboxWait is the longest wait of one read. A read that hangs delays
	// cancellations by it and tailSlack, and these have 3 s to take effect.
	inboxWait = 500 * time.Millisecond
)

type inboxRecord struct {
	Job   json.RawMessage `json:"job"`
	Queue json.RawMessage `json:"queue"`
}

// InboxJob returns the inbox's record of a job and its queue, both JSON.
func InboxJob(id pv.JobID, job, queue []byte) (pv.KeyedRecord, error) {
	value, err := json.Marshal(inboxRecord{Job: job, Queue: queue})
	return pv.KeyedRecord{Key: inboxJob + string(id), Value: value}, Error.Wrap(err)
}

// InboxCancel returns the inbox's record of a cancellation.
func InboxCancel(id pv.JobID) pv.KeyedRecord {
	return pv.KeyedRecord{Key: inboxCancel + string(id), Value: []byte(id)}
}

// followInbox takes in what comes into the inbox until the term ends.
func (t *term) followInbox(ctx context.Context) {
	follow(ctx, t.leader.deps.Store, InboxTopic, inboxWait, t.leader.deps.Clock, func(records []pv.KeyedRecord, _ bool, begun time.Duration) {
		t.post(func(now time.Time) {
			t.takeInbox(ctx, now, records)
			t.inboxRead = begun
		})
	})
}

// takeInbox takes in jobs before cancellations, since the newest records of
// keys come in no order.
func (t *term) takeInbox(ctx context.Context, now time.Time, records []pv.KeyedRecord) {
	var taken []pv.KeyedRecord
	for _, r := range records {
		id, ok := strings.CutPrefix(r.Key, inboxJob)
		if !ok || len(r.Value) == 0 {
			continue
		}
		taken = append(taken, pv.KeyedRecord{Key: r.Key})
		var in inboxRecord
		var spec pv.Job
		var queue pv.Queue
		err := json.Unmarshal(r.Value, &in)
		if err == nil {
			err = json.Unmarshal(in.Job, &spec)
		}
		if err == nil {
			err = json.Unmarshal(in.Queue, &queue)
		}
		if err != nil || string(spec.ID) != id || spec.Check() != "" {
			t.logger.Error("leader: inbox record can't be read", zap.String("key", r.Key))
			continue
		}
		if t.planner.Submit(now, spec, in.Job, queue) {
			t.logger.Info("leader: job taken from inbox", zap.String("job", id), zap.Int64("epoch", t.epoch))
		}
	}
	for _, r := range records {
		if id, ok := strings.CutPrefix(r.Key, inboxCancel); ok && len(r.Value) > 0 {
			taken = append(taken, pv.KeyedRecord{Key: r.Key})
			t.planner.Cancel(now, pv.JobID(id))
		}
	}
	if len(taken) == 0 {
		return
	}
	t.waiting = append(t.waiting, func() {
		go func() {
			for ctx.Err() == nil {
				call, cancel := context.WithTimeout(ctx, claimTimeout)
				err := t.leader.deps.Store.Put(call, InboxTopic, taken)
				cancel()
				if err == nil {
					return
				}
				t.logger.Warn("leader: inbox not cleared yet", logfield.Error(err), zap.Int("records", len(taken)))
				if pause(ctx, err) != nil {
					return
				}
			}
		}()
	})
}

// settle answers a question about a job that this leader doesn't know, once it
// has read the inbox and stored a batch: the job may be in the inbox, and
// another leader may have accepted it.
func (t *term) settle(answer func()) {
	ctx := t.ctx
	go func() {
		records, err := readAll(ctx, t.leader.deps.Store, InboxTopic)
		if err != nil {
			return // the term is over
		}
		t.post(func(now time.Time) {
			t.takeInbox(ctx, now, records)
			t.waiting = append(t.waiting, answer)
		})
	}()
}
