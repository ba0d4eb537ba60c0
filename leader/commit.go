package leader

// This file defines the commit of batches to the store, with idempotent retries. While
// an append is unanswered, further ones are sent with the same sequence number. The
// store answers a repeated sequence number with its first answer, so a batch takes
// effect at most once, and since the first append isn't cancelled, a slow store can
// still complete it.

import (
	"context"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	pv "persimmonvalve"
	"persimmonvalve/internal/logfield"
)

// Delays and timeouts of the appends of one batch.
const (
	minRetryDelay    = 250 * time.Millisecond // before the first retry of an unanswered append; doubled up to maxRetryDelay
	maxRetryDelay    = 2 * time.Second
	appendTimeout    = 8 * time.Second        // of one append
	failedRetryDelay = 100 * time.Millisecond // once every pending append has failed
)

// TimeSinceBoot returns the time since boot (CLOCK_BOOTTIME), which advances while
// the machine is suspended.
func TimeSinceBoot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic(Error.Wrap(err)) // the clock exists on every kernel that Go supports
	}
	return time.Duration(now.Nano())
}

// storeBatches commits batches one after the other until the term ends.
func (t *term) storeBatches(ctx context.Context) {
	for {
		select {
		case b := <-t.batches:
			start := time.Now()
			if reason := t.storeBatch(ctx, b); reason != "" {
				t.stop(reason)
				return
			}
			took := time.Since(start)
			t.post(func(now time.Time) { t.committed(now, b, took) })
		case <-ctx.Done():
			return
		}
	}
}

// appendResult is the response to one append of a batch.
type appendResult struct {
	verdict pv.AppendVerdict
	offset  pv.Offset
	err     error
}

// storeBatch commits a batch. It returns an empty string once the batch is stored,
// or the reason why the term has ended.
func (t *term) storeBatch(ctx context.Context, b *batch) string {
	batchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	w := pv.Writer{Name: writerName, Epoch: t.epoch, Sequence: t.sequence + 1}
	results := make(chan appendResult, 64)
	pending := 0
	sendAppend := func() {
		pending++
		go func() {
			callCtx, cancel := context.WithTimeout(batchCtx, appendTimeout)
			defer cancel()
			verdict, offset, err := t.leader.deps.Store.Append(callCtx, jobsTopic, w, pv.AtAnyOffset, b.records)
			results <- appendResult{verdict, offset, err}
		}()
	}
	retryDelay := minRetryDelay
	timer := time.NewTimer(retryDelay)
	defer timer.Stop()
	sendAppend()
	failed := false
	for {
		select {
		case a := <-results:
			pending--
			switch a.verdict {
			case pv.AppendDone:
				t.sequence = w.Sequence
				if failed {
					t.logger.Info("leader: batch stored after retries", zap.Int64("epoch", t.epoch), zap.Int64("sequence", w.Sequence))
				}
				return ""
			case pv.AppendSuperseded:
				return "superseded"
			case pv.AppendSequenceGap:
				return "sequenceGap" // another writer used this epoch; claimEpoch rules that out
			}
			t.metrics.storeRetries.WithLabelValues(string(a.verdict)).Inc()
			if !failed && a.err != nil {
				failed = true
				t.logger.Warn("leader: append of a batch failed; retrying until it is stored or the term ends", zap.Int64("epoch", t.epoch), zap.Int64("sequence", w.Sequence), zap.String("verdict", string(a.verdict)), logfield.Error(a.err))
			}
			if pending == 0 {
				select {
				case <-time.After(failedRetryDelay):
				case <-ctx.Done():
					return "stopped"
				}
				sendAppend()
			}
		case <-timer.C:
			retryDelay = min(2*retryDelay, maxRetryDelay)
			timer.Reset(retryDelay)
			t.metrics.storeRetries.WithLabelValues("unanswered").Inc()
			if pending < maxPendingAppends {
				sendAppend()
			}
		case <-ctx.Done():
			return "stopped"
		}
	}
}

// maxPendingAppends is the most unanswered appends of one batch at a time.
const maxPendingAppends = 6
