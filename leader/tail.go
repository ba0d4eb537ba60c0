package leader

// This file defines how a keyed topic is followed: its newest records first,
// and then what comes, until records are lost and the newest are read again.

import (
	"context"
	"time"

	pv "persimmonvalve"
)

// tailSlack is the time for a read's answer to come back after its wait.
const tailSlack = time.Second

// follow calls take with a topic's records until the context ends. First says
// that they are the newest of all keys, and begun when the read began. Each read
// waits at most the given time.
func follow(ctx context.Context, store pv.Store, topic pv.Topic, wait time.Duration, clock func() time.Duration, take func(records []pv.KeyedRecord, first bool, begun time.Duration)) {
	for ctx.Err() == nil {
		begun := clock()
		page, err := newest(ctx, store, topic, "")
		if err != nil {
			return // the context has ended
		}
		from, records := page.End, page.Records
		for page.More {
			if page, err = newest(ctx, store, topic, page.Last); err != nil {
				return
			}
			records = append(records, page.Records...)
		}
		take(records, true, begun)
		for ctx.Err() == nil {
			begun := clock()
			call, cancel := context.WithTimeout(ctx, wait+tailSlack)
			tail, err := store.Tail(call, topic, from, wait)
			cancel()
			if err != nil {
				if pause(ctx, err) != nil {
					return
				}
				continue
			}
			if tail.Truncated {
				break
			}
			from = tail.End
			take(tail.Records, false, begun)
		}
	}
}
