package leader

// This file defines how a keyed topic is followed: a snapshot of the newest record of
// each key, then the records appended after it. If records have been truncated before
// they were read, a new snapshot is read. It also defines the read of what is new since an
// offset.

import (
	"context"
	"time"

	pv "persimmonvalve"
)

// longPollMargin is the time for the response to a long poll, in addition to its wait.
const longPollMargin = time.Second

// topicRead is the result of one read of a followed topic.
type topicRead struct {
	records   []pv.KeyedRecord
	snapshot  bool          // the records are the newest ones of all keys
	startedAt time.Duration // clock reading at the start of the read
	end       pv.Offset     // this and the earlier reads reflect all records before it
}

// follow calls handle with a topic's records until the context ends. Each long poll waits
// at most the given time.
func follow(ctx context.Context, store pv.Store, topic pv.Topic, wait time.Duration, clock func() time.Duration, handle func(topicRead)) {
	for ctx.Err() == nil {
		startedAt := clock()
		page, err := readPage(ctx, store, topic, "")
		if err != nil {
			return // the context has ended
		}
		from, records := page.End, page.Records
		for page.More {
			if page, err = readPage(ctx, store, topic, page.Last); err != nil {
				return
			}
			records = append(records, page.Records...)
		}
		handle(topicRead{records: records, snapshot: true, startedAt: startedAt, end: from})
		for ctx.Err() == nil {
			startedAt := clock()
			callCtx, cancel := context.WithTimeout(ctx, wait+longPollMargin)
			tail, err := store.Tail(callCtx, topic, from, wait)
			cancel()
			if err != nil {
				if waitToRetry(ctx, err) != nil {
					return
				}
				continue
			}
			if tail.Truncated {
				break
			}
			from = tail.End
			handle(topicRead{records: tail.Records, startedAt: startedAt, end: from})
		}
	}
}

// readSince returns the records of a topic from an offset up to its present end, or the
// newest record of every key if they have been truncated or the offset is 0.
func readSince(ctx context.Context, store pv.Store, topic pv.Topic, from pv.Offset) ([]pv.KeyedRecord, error) {
	if from == 0 {
		return readAll(ctx, store, topic)
	}
	page, err := readPage(ctx, store, topic, afterAllKeys)
	if err != nil {
		return nil, err
	}
	var out []pv.KeyedRecord
	for from < page.End { // one read returns a limited number of bytes
		callCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
		tail, err := store.Tail(callCtx, topic, from, 0)
		cancel()
		switch {
		case err != nil:
			if err := waitToRetry(ctx, err); err != nil {
				return nil, err
			}
		case tail.Truncated || tail.End <= from:
			return readAll(ctx, store, topic)
		default:
			out, from = append(out, tail.Records...), tail.End
		}
	}
	return out, nil
}
