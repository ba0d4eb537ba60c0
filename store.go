package persimmonvalve

// This file defines the interfaces of the platform's store and of its workers, and
// the guarantees that the system assumes of them. The store has conditional appends
// and keyed topics; durable state is kept there, and it decides which writer may
// write.

import (
	"context"
	"time"
)

// Topic identifies a topic of the store; each topic has one partition.
type Topic string

// KeyedRecord is a key with its newest value. An empty value deletes the key.
type KeyedRecord struct {
	Key   string
	Value []byte
}

// Writer identifies a writer to the store. The store refuses an epoch lower than the
// highest it has seen from the writer, and repeats its first answer to a repeated
// sequence number.
type Writer struct {
	Name     string
	Epoch    int64
	Sequence int64
}

// AtAnyOffset makes an append unconditional: it goes to the end of the topic.
const AtAnyOffset Offset = -1

// AppendVerdict is the result of an append.
type AppendVerdict string

// The results of an append. After AppendUnknown it is unknown whether the append has
// taken or will take effect.
const (
	AppendDone           AppendVerdict = "done"
	AppendOffsetMismatch AppendVerdict = "moved"      // the topic doesn't end at the requested offset
	AppendSuperseded     AppendVerdict = "superseded" // the store has seen a higher epoch
	AppendSequenceGap    AppendVerdict = "gap"        // the sequence number isn't the next one
	AppendRefused        AppendVerdict = "refused"    // any other refusal; the append did not take effect
	AppendUnknown        AppendVerdict = "unknown"
)

// KeyedPage is a page of the newest records of a topic.
type KeyedPage struct {
	Records []KeyedRecord
	End     Offset // end of the topic when the page was read
	Last    string // key after which the next page starts
	More    bool   // there are further pages
}

// KeyedTail is the records of a topic from an offset on.
type KeyedTail struct {
	Records   []KeyedRecord
	End       Offset // offset at which to continue reading
	Truncated bool   // records at the given offset were deleted; start again with Store.Newest
}

// Store is the platform's store. After an error of Append or Put the records may or
// may not have been written, unless the verdict says more. Reads change nothing.
type Store interface {
	// Append writes records at the end of a topic under the writer's epoch if the
	// topic ends at the given offset, or at any offset with AtAnyOffset. With
	// AppendSequenceGap the returned offset is the sequence number that the store
	// expects.
	Append(ctx context.Context, topic Topic, w Writer, at Offset, records []KeyedRecord) (AppendVerdict, Offset, error)
	// Put writes records unconditionally.
	Put(ctx context.Context, topic Topic, records []KeyedRecord) error
	// Newest returns a page of the newest records of the keys after the given key.
	Newest(ctx context.Context, topic Topic, after string) (KeyedPage, error)
	// Tail returns the records from an offset on; if there are none, it waits for
	// them up to the given time.
	Tail(ctx context.Context, topic Topic, from Offset, wait time.Duration) (KeyedTail, error)
}

// WorkerClient sends orders to one worker. The worker ID of each call guards against
// another worker at the same address, which refuses the call.
type WorkerClient interface {
	// Poll renews the worker's lease, acknowledges the ends up to the given sequence
	// number, waits up to the given time for another end, and returns the worker's
	// runs. If lease.End is zero, it doesn't renew the lease.
	Poll(ctx context.Context, id WorkerID, lease WorkerLease, acknowledged int64, wait time.Duration) (WorkerRuns, error)
	// Start starts a run.
	Start(ctx context.Context, id WorkerID, lease WorkerLease, order RunOrder) (StartAnswer, error)
	// Stop stops a run. Once it has returned nil, this incarnation of the worker
	// refuses that attempt and all earlier ones.
	Stop(ctx context.Context, id WorkerID, lease WorkerLease, run RunRef) error
	// SetCPULimit limits the CPU use of a run to a percentage of its cores, 0 to 100.
	SetCPULimit(ctx context.Context, id WorkerID, lease WorkerLease, run RunRef, percent int) error
}
