package leader

// This file defines how a candidate becomes the leader.
//
// The epoch is one more than the last one in the leader topic, taken by an
// append that succeeds only at the end of the topic as it was read. No two
// terms share an epoch. The first append to the jobs topic under the new epoch
// makes the store refuse all lower ones, so what is read after it is final.

import (
	"context"
	"encoding/json"
	"time"

	pv "persimmonvalve"
)

type leaderRecord struct {
	Epoch int64  `json:"epoch"`
	Node  string `json:"node"`
	Boot  string `json:"boot"`
}

const (
	leaderKey     = "leader"
	termKey       = "term"
	firstSequence = 1 // of a term's appends
	claimTimeout  = 2 * time.Second
	claimBeat     = 150 * time.Millisecond // between appends while the jobs are read
	claimPause    = 100 * time.Millisecond // between tries while the store doesn't answer
)

// afterAllKeys is past every key of the jobs topic: a read after it tells where
// the topic ends and no more.
const afterAllKeys = "~"

// lastClaim is the newest claim of a term.
type lastClaim struct {
	record leaderRecord
	end    pv.Offset // of the leader topic when it was read
}

func readClaim(ctx context.Context, store pv.Store) (lastClaim, error) {
	page, err := store.Newest(ctx, leaderTopic, "")
	if err != nil {
		return lastClaim{}, err
	}
	last := lastClaim{end: page.End}
	for _, r := range page.Records {
		if r.Key != leaderKey {
			continue
		}
		if err := json.Unmarshal(r.Value, &last.record); err != nil {
			return lastClaim{}, Error.New("leader record can't be read: %w", err)
		}
	}
	return last, nil
}

// claim takes the epoch after the last claim and returns it with the jobs'
// records and the sequence number of its last append. It fails when another
// process has claimed it.
func claim(ctx context.Context, store pv.Store, last lastClaim, node, boot string) (int64, []pv.KeyedRecord, int64, error) {
	epoch, err := claimEpoch(ctx, store, last, node, boot)
	if err != nil {
		return 0, nil, 0, err
	}
	sequence := int64(firstSequence)
	if err := appendTerm(ctx, store, epoch, sequence); err != nil {
		return 0, nil, 0, err
	}
	// Many jobs take a while to read: the topic must not look still meanwhile.
	reading, stop := context.WithCancel(ctx)
	beaten := make(chan error, 1)
	go func() {
		for pauseFor(reading, claimBeat) == nil {
			sequence++
			if err := appendTerm(ctx, store, epoch, sequence); err != nil {
				beaten <- err
				return
			}
		}
		beaten <- nil
	}()
	records, err := readAll(ctx, store, jobsTopic)
	stop()
	if beatErr := <-beaten; err == nil {
		err = beatErr
	}
	return epoch, records, sequence, err
}

// appendTerm appends a record that only proves the term, until the store has
// answered.
func appendTerm(ctx context.Context, store pv.Store, epoch, sequence int64) error {
	for {
		call, cancel := context.WithTimeout(ctx, claimTimeout)
		verdict, _, err := store.Append(call, jobsTopic, pv.Writer{Name: writerName, Epoch: epoch, Sequence: sequence}, pv.AtAnyOffset, termRecord(epoch))
		cancel()
		switch verdict {
		case pv.AppendDone:
			return nil
		case pv.AppendSuperseded, pv.AppendSequenceGap:
			return Error.New("epoch %d is superseded", epoch)
		}
		if err := pause(ctx, err); err != nil {
			return err
		}
	}
}

// termRecord is what an append holds that only proves the term.
func termRecord(epoch int64) []pv.KeyedRecord {
	value, err := json.Marshal(leaderRecord{Epoch: epoch})
	if err != nil {
		panic(Error.Wrap(err)) // a number can always be encoded
	}
	return []pv.KeyedRecord{{Key: termKey, Value: value}}
}

func claimEpoch(ctx context.Context, store pv.Store, last lastClaim, node, boot string) (int64, error) {
	mine := leaderRecord{Epoch: last.record.Epoch + 1, Node: node, Boot: boot}
	value, err := json.Marshal(mine)
	if err != nil {
		return 0, Error.Wrap(err)
	}
	for {
		call, cancel := context.WithTimeout(ctx, claimTimeout)
		verdict, _, err := store.Append(call, leaderTopic, pv.Writer{}, last.end, []pv.KeyedRecord{{Key: leaderKey, Value: value}})
		cancel()
		switch verdict {
		case pv.AppendDone:
			return mine.Epoch, nil
		case pv.AppendOffsetMismatch:
			// An append whose answer was lost may have been this one.
			now, err := readClaim(ctx, store)
			if err == nil && now.record == mine {
				return mine.Epoch, nil
			}
			if err == nil {
				return 0, Error.New("epoch %d was claimed by %s", now.record.Epoch, now.record.Node)
			}
		}
		if err := pause(ctx, err); err != nil {
			return 0, err
		}
	}
}

// pause waits before another try; the store's error is the reason to.
func pause(ctx context.Context, _ error) error { return pauseFor(ctx, claimPause) }

func pauseFor(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return Error.Wrap(ctx.Err())
	}
}

func newest(ctx context.Context, store pv.Store, topic pv.Topic, after string) (pv.KeyedPage, error) {
	for {
		call, cancel := context.WithTimeout(ctx, claimTimeout)
		page, err := store.Newest(call, topic, after)
		cancel()
		if err == nil {
			return page, nil
		}
		if err := pause(ctx, err); err != nil {
			return pv.KeyedPage{}, err
		}
	}
}

// readAll returns the newest record of every key of a topic.
func readAll(ctx context.Context, store pv.Store, topic pv.Topic) ([]pv.KeyedRecord, error) {
	var out []pv.KeyedRecord
	after := ""
	for {
		page, err := newest(ctx, store, topic, after)
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
