package leader

// This file defines the inbox: a keyed topic to which gateways write jobs and
// cancellations while they can reach no leader. A stored record counts as accepted.
// The leader applies the records and writes a tombstone over each once its effect is
// committed. Applying a record twice has no effect, since the planner ignores a job
// whose id it already has. The cancellation of a job that isn't known stays in the inbox
// for as long as ended jobs are kept: the job's own record may be appended late, also
// under the next leader, and must not start it then. The leader writes such a
// cancellation itself if it came over a link.

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"go.uber.org/zap"

	pv "persimmonvalve"
	"persimmonvalve/internal/logfield"
)

// InboxTopic is the store's topic that holds the inbox.
const InboxTopic pv.Topic = "keyed.inbox"

const (
	inboxJobPrefix    = "job/"
	inboxCancelPrefix = "cancel/"
	// inboxReadWait is the wait of one long poll. A poll that gets no response delays
	// cancellations by inboxReadWait + longPollMargin; they must take effect within 3 s.
	inboxReadWait = 500 * time.Millisecond
)

// inboxRecord is the value of a job's record in the inbox.
type inboxRecord struct {
	Job   json.RawMessage `json:"job"`
	Queue json.RawMessage `json:"queue"`
}

// InboxJobRecord returns the inbox record that submits a job; job and queue are JSON.
func InboxJobRecord(id pv.JobID, job, queue []byte) (pv.KeyedRecord, error) {
	value, err := json.Marshal(inboxRecord{Job: job, Queue: queue})
	return pv.KeyedRecord{Key: inboxJobPrefix + string(id), Value: value}, Error.Wrap(err)
}

// InboxCancelRecord returns the inbox record that cancels a job.
func InboxCancelRecord(id pv.JobID) pv.KeyedRecord {
	return pv.KeyedRecord{Key: inboxCancelPrefix + string(id), Value: []byte(id)}
}

// decodeInboxJob decodes the value of the record that submits a job, and reports whether
// it is valid. A job that is too large for a record of its own isn't: its commit would
// be refused for good.
func decodeInboxJob(id pv.JobID, value []byte) (spec pv.Job, raw []byte, queue pv.Queue, ok bool) {
	var in inboxRecord
	if json.Unmarshal(value, &in) != nil || json.Unmarshal(in.Job, &spec) != nil || json.Unmarshal(in.Queue, &queue) != nil {
		return spec, nil, queue, false
	}
	ok = spec.ID == id && spec.Check() == "" && queue.Check() == "" && len(in.Job) <= pv.MaxJobEncodedBytes
	return spec, in.Job, queue, ok
}

// followInbox applies the inbox's records as they arrive until the term ends.
func (t *term) followInbox(ctx context.Context) {
	follow(ctx, t.leader.deps.Store, InboxTopic, inboxReadWait, t.leader.deps.Clock, func(read topicRead) {
		t.post(func(now time.Time) {
			cancelled := t.applyInbox(ctx, now, read.records)
			t.inboxEnd = read.end
			t.noteInboxRead(read.startedAt, cancelled)
		})
	})
}

// noteInboxRead records a completed read of the inbox. A read that has cancelled a job counts
// once the cancellation is stored: the job's stops are sent then, and no orders may permit
// starts before. A read that has cancelled none counts together with the last one that has.
func (t *term) noteInboxRead(startedAt time.Duration, cancelled bool) {
	if cancelled {
		latest := new(time.Duration)
		t.uncommittedInboxRead = latest
		t.afterCommit = append(t.afterCommit, func() {
			t.inboxReadStartedAt = *latest
			if t.uncommittedInboxRead == latest {
				t.uncommittedInboxRead = nil
			}
		})
	}
	if t.uncommittedInboxRead != nil {
		*t.uncommittedInboxRead = startedAt
	} else {
		t.inboxReadStartedAt = startedAt
	}
}

// applyInbox submits and cancels the jobs of inbox records, and reports whether it has
// cancelled one that is known. It applies jobs first, since a snapshot can hold the
// cancellation of a job before the job itself.
func (t *term) applyInbox(ctx context.Context, now time.Time, records []pv.KeyedRecord) (cancelled bool) {
	var tombstones []pv.KeyedRecord
	for _, r := range records {
		id, ok := strings.CutPrefix(r.Key, inboxJobPrefix)
		if !ok || len(r.Value) == 0 {
			continue
		}
		tombstones = append(tombstones, pv.KeyedRecord{Key: r.Key})
		spec, raw, queue, ok := decodeInboxJob(pv.JobID(id), r.Value)
		if !ok {
			t.metrics.undecodable.WithLabelValues(string(InboxTopic)).Inc()
			t.logger.Error("leader: invalid job in the inbox; its record is dropped", zap.String("key", r.Key))
			continue
		}
		if t.planner.Submit(now, spec, raw, queue) {
			t.logger.Info("leader: job accepted from the inbox", zap.String("job", id), zap.Int64("epoch", t.epoch))
		}
	}
	for _, r := range records {
		id, ok := strings.CutPrefix(r.Key, inboxCancelPrefix)
		if !ok || len(r.Value) == 0 {
			continue
		}
		if t.planner.Cancel(now, pv.JobID(id)) {
			cancelled = true
			tombstones = append(tombstones, pv.KeyedRecord{Key: r.Key})
			delete(t.keptCancellations, r.Key)
		} else {
			t.keepCancellation(now, pv.JobID(id))
		}
	}
	if len(tombstones) > 0 {
		t.afterCommit = append(t.afterCommit, func() { t.writeInbox(ctx, tombstones, nil) })
	}
	return cancelled
}

// keepCancellation keeps the cancellation of an unknown job, whose record the inbox has, for
// as long as ended jobs are kept.
func (t *term) keepCancellation(now time.Time, id pv.JobID) {
	t.planner.CancelAhead(now, id)
	t.keptCancellations[InboxCancelRecord(id).Key] = now
}

// storeCancellation writes the cancellation of an unknown job to the inbox, where later
// leaders read it too, and then calls stored. If the write fails, nobody is answered: the
// gateway then writes the record itself.
func (t *term) storeCancellation(now time.Time, id pv.JobID, stored func()) {
	record := InboxCancelRecord(id)
	if _, kept := t.keptCancellations[record.Key]; kept {
		t.keepCancellation(now, id)
		stored()
		return
	}
	t.planner.CancelAhead(now, id)
	t.cancellationWrites.add(cancellationWrite{record, stored})
}

// cancellationWrite is the record of a cancellation, and what to call once it is stored.
type cancellationWrite struct {
	record pv.KeyedRecord
	stored func()
}

// writeCancellations writes several cancellations to the inbox.
func (t *term) writeCancellations(writes []cancellationWrite) {
	records := make([]pv.KeyedRecord, 0, len(writes))
	for _, w := range writes {
		records = append(records, w.record)
	}
	go func() {
		callCtx, cancel := context.WithTimeout(t.ctx, storeCallTimeout)
		defer cancel()
		err := t.leader.deps.Store.Put(callCtx, InboxTopic, records)
		if err != nil {
			t.logger.Warn("leader: writing cancellations to the inbox failed", zap.Int("records", len(records)), zap.Int64("epoch", t.epoch), logfield.Error(err))
		}
		t.post(func(time.Time) {
			for _, w := range writes {
				if err == nil {
					w.stored()
				}
			}
			t.cancellationWrites.done()
		})
	}()
}

// expireCancellations removes the cancellations of jobs that never became known from the
// inbox once ended jobs of their age aren't kept any more.
func (t *term) expireCancellations(now time.Time) {
	var tombstones []pv.KeyedRecord
	for key, since := range t.keptCancellations {
		if now.Sub(since) > t.leader.settings.Planner.EndedRetention {
			tombstones = append(tombstones, pv.KeyedRecord{Key: key})
			delete(t.keptCancellations, key)
		}
	}
	if len(tombstones) > 0 {
		t.writeInbox(t.ctx, tombstones, func() { t.rewriteCancellations(tombstones) })
	}
}

// rewriteCancellations writes the records of cancellations again that have been repeated while
// tombstones were written over them.
func (t *term) rewriteCancellations(tombstones []pv.KeyedRecord) {
	var records []pv.KeyedRecord
	for _, r := range tombstones {
		if _, kept := t.keptCancellations[r.Key]; kept {
			records = append(records, InboxCancelRecord(pv.JobID(strings.TrimPrefix(r.Key, inboxCancelPrefix))))
		}
	}
	if len(records) > 0 {
		t.writeInbox(t.ctx, records, nil)
	}
}

// writeInbox starts writing records to the inbox, with retries until the term ends, and then
// calls written on the event loop, if it isn't nil.
func (t *term) writeInbox(ctx context.Context, records []pv.KeyedRecord, written func()) {
	go func() {
		for ctx.Err() == nil {
			callCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
			err := t.leader.deps.Store.Put(callCtx, InboxTopic, records)
			cancel()
			if err == nil {
				if written != nil {
					t.post(func(time.Time) { written() })
				}
				return
			}
			t.logger.Warn("leader: writing to the inbox failed; retrying", logfield.Error(err), zap.Int("records", len(records)))
			if waitToRetry(ctx, err) != nil {
				return
			}
		}
	}()
}

// answerAfterBarrierRead calls answer after it has read what is new in the inbox and
// committed a batch. It is for questions about jobs that the planner doesn't have: the job may
// be in the inbox, or a newer leader may have accepted it, and then the commit fails.
func (t *term) answerAfterBarrierRead(answer func()) { t.barrierReads.add(answer) }

// readForBarrier reads what is new in the inbox for several answers.
func (t *term) readForBarrier(answers []func()) {
	ctx, from := t.ctx, t.inboxEnd
	go func() {
		records, err := readSince(ctx, t.leader.deps.Store, InboxTopic, from)
		if err != nil {
			return // the term has ended
		}
		t.post(func(now time.Time) {
			t.applyInbox(ctx, now, records) // followInbox reads the same records, and notes the read
			t.afterCommit = append(t.afterCommit, answers...)
			t.barrierReads.done()
		})
	}()
}
