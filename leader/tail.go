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

// follow calls handle with a topic's records until the context ends. If snapshot is
// true, they are the newest records of all keys. readStart is the clock reading at
// the start of the read. Each long poll waits at most the given time.
func follow(ctx context.Context, store pv.Store, topic pv.Topic, wait time.Duration, clock func() time.Duration, handle func(records []pv.KeyedRecord, snapshot bool, readStart time.Duration)) {
	for ctx.Err() == nil {
		readStart := clock()
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
		handle(records, true, readStart)
		for ctx.Err() == nil {
			readStart := clock()
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
			handle(tail.Records, false, readStart)
		}
	}
}
