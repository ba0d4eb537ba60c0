package poller

import (
	"context"
	"time"

	pv "persimmonvalve"
	"persimmonvalve/kernel"
)

// Settings are the interval and the limits of a poller.
type Settings struct {
	Interval    time.Duration // wait after a read that failed or reached the end of the stream
	ReadTimeout time.Duration // time limit of one read
	MaxRecords  int           // maximum number of records in one read
}

// Source is the stream that a poller reads, and the functions that supply the
// offset and receive the results. The functions run on the event loop.
type Source struct {
	Name       pv.StreamName
	NextOffset func() pv.Offset                // returns the offset to read from
	OnBatch    func(now time.Time, b pv.Batch) // receives each batch that was read
	OnError    func(now time.Time, err error)  // receives the error of a failed read
}

// Poller reads one stream until it is stopped.
type Poller struct {
	cancel context.CancelFunc
	done   chan struct{}
	wake   chan struct{}
}

// Start starts a poller, which reads until Stop is called.
func Start(settings Settings, log pv.Log, loop *kernel.EventLoop, s Source) *Poller {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Poller{cancel: cancel, done: make(chan struct{}), wake: make(chan struct{}, 1)}
	go func() {
		defer close(p.done)
		for ctx.Err() == nil {
			if more := readOnce(ctx, settings, log, loop, s); more {
				continue
			}
			select {
			case <-time.After(settings.Interval):
			case <-p.wake:
			case <-ctx.Done():
			}
		}
	}()
	return p
}

// readOnce reads one batch and reports whether more records may be available
// already.
func readOnce(ctx context.Context, settings Settings, log pv.Log, loop *kernel.EventLoop, s Source) bool {
	var from pv.Offset
	if !loop.Do(func() { from = s.NextOffset() }) {
		return false
	}
	bounded, cancel := context.WithTimeout(ctx, settings.ReadTimeout)
	defer cancel()
	b, err := log.Read(bounded, s.Name, from, settings.MaxRecords)
	loop.Do(func() {
		if err != nil {
			s.OnError(time.Now(), err)
			return
		}
		s.OnBatch(time.Now(), b)
	})
	return err == nil && len(b.Records) >= settings.MaxRecords
}

// Wake makes the poller read without waiting for the interval.
func (p *Poller) Wake() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// Stop cancels the pending read and waits until the poller's goroutine has
// returned. It ignores the context and always returns nil.
func (p *Poller) Stop(context.Context) error {
	p.cancel()
	<-p.done
	return nil
}
