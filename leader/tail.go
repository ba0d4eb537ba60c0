package leader

// This file defines how a keyed topic is followed: a snapshot of the newest record of
// each key, then the records appended after it. If records have been truncated before
// they were read, a new snapshot is read.

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
	end       pv.Offset     // the read contains the effect of all records before it
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
		handle(topicRead{records, true, startedAt, from})
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
			handle(topicRead{tail.Records, false, startedAt, from})
		}
	}
}

// readSince returns the records of a topic from an offset on, or the newest record of every
// key if they have been truncated or the offset is 0.
func readSince(ctx context.Context, store pv.Store, topic pv.Topic, from pv.Offset) ([]pv.KeyedRecord, error) {
	if from == 0 {
		return readAll(ctx, store, topic)
	}
	var out []pv.KeyedRecord
	for {
		callCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
		tail, err := store.Tail(callCtx, topic, from, 0)
		cancel()
		switch {
		case err != nil:
			if err := waitToRetry(ctx, err); err != nil {
				return nil, err
			}
		case tail.Truncated:
			return readAll(ctx, store, topic)
		case len(tail.Records) == 0:
			return out, nil
		default: // one read returns a limited number of bytes
			out, from = append(out, tail.Records...), tail.End
		}
	}
}
