package leader

// This file defines how a candidate claims a term.
//
// A claim appends an epoch to the leader topic, on condition that the topic still ends
// at the offset at which it was read. The epoch is that offset + 1, so no two terms share
// an epoch, later terms have higher ones, and no record in the topic can choose them,
// whoever wrote it. The epoch is a fencing token: after the first append to the jobs topic
// under it, the store refuses all appends under lower epochs, so the jobs that are
// read afterwards are final.

import (
	"context"
	"encoding/json"
	"time"

	pv "persimmonvalve"
	"persimmonvalve/planner"
)

// leaderRecord is the value of a claim, and, with only the epoch, of a heartbeat.
type leaderRecord struct {
	Epoch         int64  `json:"epoch"`
	Node          string `json:"node"`
	IncarnationID string `json:"boot"`
	// LeaseRecordsSince is the lowest epoch from which on all leaders abide by the lease
	// records of the planner; 0 in records of versions that don't.
	LeaseRecordsSince int64 `json:"leaseRecordsSince,omitempty"`
}

const (
	leaderKey              = "leader"
	heartbeatKey           = "term"
	firstSequence          = 1                      // sequence number of a term's first append
	storeCallTimeout       = 2 * time.Second        // of one call to the store
	claimHeartbeatInterval = 150 * time.Millisecond // between heartbeats while the jobs are read
	storeRetryDelay        = 100 * time.Millisecond // between calls while the store doesn't answer
)

// afterAllKeys sorts after every key of the jobs topic. A read that starts there
// returns no records, only the offset at which the topic ends.
const afterAllKeys = "~"

// lastClaim is the newest claim of a term as it was read.
type lastClaim struct {
	record   leaderRecord // zero if there is none, or invalid is set
	invalid  bool         // the newest record can't be decoded
	topicEnd pv.Offset    // end of the leader topic when it was read
	// jobsEnd is the end of the jobs topic as it was read by jobsReadAt; the zero time stands
	// for a claim without such a read.
	jobsEnd    pv.Offset
	jobsReadAt time.Time
}

// highestEpoch returns the highest epoch that can have been claimed.
func (l lastClaim) highestEpoch() int64 { return int64(l.topicEnd) }

func readClaim(ctx context.Context, store pv.Store) (lastClaim, error) {
	page, err := store.Newest(ctx, leaderTopic, "")
	if err != nil {
		return lastClaim{}, err
	}
	last := lastClaim{topicEnd: page.End}
	for _, r := range page.Records {
		if r.Key != leaderKey {
			continue
		}
		if err := json.Unmarshal(r.Value, &last.record); err != nil {
			last.record, last.invalid = leaderRecord{}, true
		}
	}
	return last, nil
}

// claimedTerm is a term right after its claim.
type claimedTerm struct {
	epoch        int64
	records      []pv.KeyedRecord // newest records of the jobs topic
	sequence     int64            // of the last append
	confirmedAt  time.Duration    // clock reading at the start of the last append; the store may have applied it as early as that
	predecessors planner.Predecessors
}

// claim claims the next epoch and reads the jobs topic. It fails if
// another process has claimed the epoch.
func claim(ctx context.Context, store pv.Store, clock func() time.Duration, last lastClaim, node, incarnationID string) (claimedTerm, error) {
	claimed, err := claimEpoch(ctx, store, last, node, incarnationID)
	if err != nil {
		return claimedTerm{}, err
	}
	epoch := claimed.Epoch
	t := claimedTerm{epoch: epoch, sequence: firstSequence, confirmedAt: clock()}
	offset, err := appendHeartbeat(ctx, store, epoch, t.sequence)
	if err != nil {
		return claimedTerm{}, err
	}
	t.predecessors = planner.Predecessors{LastAppendBy: time.Now(), LeaseRecordsSince: claimed.LeaseRecordsSince}
	if offset == last.jobsEnd && !last.jobsReadAt.IsZero() {
		t.predecessors.LastAppendBy = last.jobsReadAt // nobody has appended since
	}
	// Reading many jobs can take longer than the noAppend timeout. Without heartbeats
	// another candidate would claim the next term in the meantime.
	heartbeatCtx, stopHeartbeats := context.WithCancel(ctx)
	heartbeatsDone := make(chan error, 1)
	go func() {
		for sleep(heartbeatCtx, claimHeartbeatInterval) == nil {
			start := clock()
			t.sequence++
			if _, err := appendHeartbeat(ctx, store, epoch, t.sequence); err != nil {
				heartbeatsDone <- err
				return
			}
			t.confirmedAt = start
		}
		heartbeatsDone <- nil
	}()
	records, err := readAll(ctx, store, jobsTopic)
	stopHeartbeats()
	if heartbeatErr := <-heartbeatsDone; err == nil {
		err = heartbeatErr
	}
	t.records = records
	return t, err
}

// appendHeartbeat appends a heartbeat to the jobs topic, and returns its offset. It repeats
// the append under the same sequence number until the store accepts it or refuses the epoch.
func appendHeartbeat(ctx context.Context, store pv.Store, epoch, sequence int64) (pv.Offset, error) {
	for {
		callCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
		verdict, offset, err := store.Append(callCtx, jobsTopic, pv.Writer{Name: writerName, Epoch: epoch, Sequence: sequence}, pv.AtAnyOffset, heartbeatRecords(epoch))
		cancel()
		switch verdict {
		case pv.AppendDone:
			return offset, nil
		case pv.AppendSuperseded, pv.AppendSequenceGap:
			return 0, Error.New("heartbeat append under epoch %d refused: the epoch is superseded or used by another writer", epoch)
		}
		if err := waitToRetry(ctx, err); err != nil {
			return 0, err
		}
	}
}

// heartbeatRecords returns the records of an append that changes no job: it only
// fences lower epochs and shows that the leader is alive.
func heartbeatRecords(epoch int64) []pv.KeyedRecord {
	value, err := json.Marshal(leaderRecord{Epoch: epoch})
	if err != nil {
		panic(Error.Wrap(err)) // a number can always be encoded
	}
	return []pv.KeyedRecord{{Key: heartbeatKey, Value: value}}
}

// claimEpoch appends the claim of the next epoch to the leader topic, and returns it. It
// repeats the append until the store decides.
func claimEpoch(ctx context.Context, store pv.Store, last lastClaim, node, incarnationID string) (leaderRecord, error) {
	claimed := leaderRecord{Epoch: last.highestEpoch() + 1, Node: node, IncarnationID: incarnationID}
	claimed.LeaseRecordsSince = claimed.Epoch
	if since := last.record.LeaseRecordsSince; since > 0 && last.record.Epoch == last.highestEpoch() {
		claimed.LeaseRecordsSince = since
	}
	value, err := json.Marshal(claimed)
	if err != nil {
		return leaderRecord{}, Error.Wrap(err)
	}
	for {
		callCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
		verdict, _, err := store.Append(callCtx, leaderTopic, pv.Writer{}, last.topicEnd, []pv.KeyedRecord{{Key: leaderKey, Value: value}})
		cancel()
		switch verdict {
		case pv.AppendDone:
			return claimed, nil
		case pv.AppendOffsetMismatch:
			// An earlier call of this append, whose response was lost, may have moved the
			// offset.
			current, err := readClaim(ctx, store)
			if err == nil && current.record == claimed {
				return claimed, nil
			}
			if err == nil {
				return leaderRecord{}, Error.New("epoch already claimed: the newest claim is of epoch %d by %s", current.record.Epoch, current.record.Node)
			}
		}
		if err := waitToRetry(ctx, err); err != nil {
			return leaderRecord{}, err
		}
	}
}

// waitToRetry waits storeRetryDelay before a call is repeated. It ignores the error of
// the failed call.
func waitToRetry(ctx context.Context, _ error) error { return sleep(ctx, storeRetryDelay) }

// sleep waits for d, and returns an error if the context ends first.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return Error.Wrap(ctx.Err())
	}
}

// readPage returns the newest records of the keys after the given one. It retries
// until the store answers or the context ends.
func readPage(ctx context.Context, store pv.Store, topic pv.Topic, after string) (pv.KeyedPage, error) {
	for {
		callCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
		page, err := store.Newest(callCtx, topic, after)
		cancel()
		if err == nil {
			return page, nil
		}
		if err := waitToRetry(ctx, err); err != nil {
			return pv.KeyedPage{}, err
		}
	}
}

// readAll returns the newest record of every key of a topic.
func readAll(ctx context.Context, store pv.Store, topic pv.Topic) ([]pv.KeyedRecord, error) {
	var out []pv.KeyedRecord
	after := ""
	for {
		page, err := readPage(ctx, store, topic, after)
		if err != nil {
			return nil, err
		}
		out = append(out, page.Records...)
		if !page.More {
			return out, nil
		}
		after = page.Last
	}
}
