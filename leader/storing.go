package leader

// This file defines how batches reach the store. A try that isn't answered is
// followed by others with the same sequence number while it is still open: the
// store gives repeats the first answer, so none of them can act twice, and a
// slow store isn't asked to begin again.

import (
	"context"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	pv "persimmonvalve"
	"persimmonvalve/internal/logfield"
)

// Intervals of tries.
const (
	firstTry     = 250 * time.Millisecond // until the second try; doubled for each more
	longestTry   = 2 * time.Second
	tryTimeout   = 8 * time.Second // of one try
	refusedPause = 100 * time.Millisecond
)

// BootTime returns the time since boot, which goes on while the machine is suspended.
func BootTime() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic(Error.Wrap(err)) // the clock exists on every kernel that Go supports
	}
	return time.Duration(now.Nano())
}

// storeBatches stores batches in turn until the term ends.
func (t *term) storeBatches(ctx context.Context) {
	for {
		select {
		case b := <-t.batches:
			begun := time.Now()
			if reason := t.storeBatch(ctx, b); reason != "" {
				t.stop(reason)
				return
			}
			took := time.Since(begun)
			t.post(func(now time.Time) { t.committed(now, b, took) })
		case <-ctx.Done():
			return
		}
	}
}

type tryAnswer struct {
	verdict pv.AppendVerdict
	offset  pv.Offset
	err     error
}

// storeBatch returns an empty string, or why the term is over.
func (t *term) storeBatch(ctx context.Context, b *batch) string {
	all, cancel := context.WithCancel(ctx)
	defer cancel()
	w := pv.Writer{Name: writerName, Epoch: t.epoch, Sequence: t.sequence + 1}
	answers := make(chan tryAnswer, 64)
	open := 0
	try := func() {
		open++
		go func() {
			call, cancel := context.WithTimeout(all, tryTimeout)
			defer cancel()
			verdict, offset, err := t.leader.deps.Store.Append(call, jobsTopic, w, pv.AtAnyOffset, b.records)
			answers <- tryAnswer{verdict, offset, err}
		}()
	}
	wait := firstTry
	timer := time.NewTimer(wait)
	defer timer.Stop()
	try()
	lost := false
	for {
		select {
		case a := <-answers:
			open--
			switch a.verdict {
			case pv.AppendDone:
				t.sequence = w.Sequence
				if lost {
					t.logger.Info("leader: store takes batches again", zap.Int64("epoch", t.epoch), zap.Int64("sequence", w.Sequence))
				}
				return ""
			case pv.AppendSuperseded:
				return "superseded"
			case pv.AppendSequenceGap:
				return "sequenceGap" // another writer used this epoch, which can't be
			}
			t.metrics.storeRetries.WithLabelValues(string(a.verdict)).Inc()
			if !lost && a.err != nil {
				lost = true
				t.logger.Warn("leader: batch not stored yet", zap.Int64("epoch", t.epoch), zap.Int64("sequence", w.Sequence), zap.String("verdict", string(a.verdict)), logfield.Error(a.err))
			}
			if open == 0 {
				select {
				case <-time.After(refusedPause):
				case <-ctx.Done():
					return "stopped"
				}
				try()
			}
		case <-timer.C:
			wait = min(2*wait, longestTry)
			timer.Reset(wait)
			t.metrics.storeRetries.WithLabelValues("unanswered").Inc()
			if open < maxOpenTries {
				try()
			}
		case <-ctx.Done():
			return "stopped"
		}
	}
}

// maxOpenTries bounds the tries of one batch that wait for an answer.
const maxOpenTries = 6
