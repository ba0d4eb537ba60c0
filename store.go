package persimmonvalve

// This file defines what is assumed of a store with conditional appends and
// keyed topics: what lasts, and who may write it, is decided there.

import (
	"context"
	"time"
)

// Topic names a topic of the store; each has one partition.
type Topic string

// KeyedRecord is the newest value of a key. An empty value drops the key.
type KeyedRecord struct {
	Key   string
	Value []byte
}

// Writer identifies a writer to the store. The store refuses a lower epoch than
// it has seen, and answers a repeated sequence number with its first answer.
type Writer struct {
	Name     string
	Epoch    int64
	Sequence int64
}

// AtAnyOffset lets an append go to wherever its topic ends.
const AtAnyOffset Offset = -1

// AppendVerdict is the store's answer to an append.
type AppendVerdict string

// The verdicts. Unknown means that the append may take effect, also later.
const (
	AppendDone           AppendVerdict = "done"
	AppendOffsetMismatch AppendVerdict = "moved"      // the topic doesn't end at the offset asked for
	AppendSuperseded     AppendVerdict = "superseded" // a higher epoch was seen
	AppendSequenceGap    AppendVerdict = "gap"        // not the next sequence number
	AppendRefused        AppendVerdict = "refused"    // nothing was done
	AppendUnknown        AppendVerdict = "unknown"
)

// KeyedPage is part of a topic's newest records.
type KeyedPage struct {
	Records []KeyedRecord
	End     Offset // end of the topic when the page was read
	Last    string // key to continue after
	More    bool
}

// KeyedTail is what a topic holds from an offset on.
type KeyedTail struct {
	Records   []KeyedRecord
	End       Offset // offset to read from next
	Truncated bool   // older records are gone; the newest of each key must be read
}

// Store is the platform's store. All errors mean that the answer is unknown or
// that nothing was done; reads have no effect.
type Store interface {
	// Append writes records at the end of a topic under a writer's epoch. It
	// writes only if the topic ends at the offset, or AtAnyOffset. After a gap the
	// returned offset is the sequence number that the store expects.
	Append(ctx context.Context, topic Topic, w Writer, at Offset, records []KeyedRecord) (AppendVerdict, Offset, error)
	// Put writes records without a condition.
	Put(ctx context.Context, topic Topic, records []KeyedRecord) error
	// Newest returns the newest record of each key after a key.
	Newest(ctx context.Context, topic Topic, after string) (KeyedPage, error)
	// Tail waits for records from an offset on, at most for the given time.
	Tail(ctx context.Context, topic Topic, from Offset, wait time.Duration) (KeyedTail, error)
}

// WorkerClient gives orders to one worker.
type WorkerClient interface {
	// Poll renews the worker's lease, acknowledges ends up to a number, waits
	// at most the given time for an end, and returns what runs and what ended.
	// With a zero Until it doesn't renew the lease.
	Poll(ctx context.Context, id WorkerID, a Authority, acknowledged int64, wait time.Duration) (WorkerRuns, error)
	// Start starts a run.
	Start(ctx context.Context, id WorkerID, a Authority, o RunOrder) (StartAnswer, error)
	// Stop ends a run. Once it has returned nil, that attempt and all earlier
	// ones are refused by this life of the worker.
	Stop(ctx context.Context, id WorkerID, a Authority, r RunRef) error
	// SetCPULimit limits a run to a share of its cores, 0 to 100 percent.
	SetCPULimit(ctx context.Context, id WorkerID, a Authority, r RunRef, percent int) error
}
