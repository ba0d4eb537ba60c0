package poller

import (
	"context"
	"time"

	pv "persimmonvalve"
	"persimmonvalve/kernel"
)

// Settings are the intervals of a poller.
type Settings struct {
	Every   time.Duration // between reads at the stream's end
	Timeout time.Duration // of one read
	Limit   int           // records in one read
}

// Stream is what a poller follows. All functions run on the control goroutine.
type Stream struct {
	Name   pv.StreamName
	Next   func() pv.Offset
	Feed   func(now time.Time, b pv.Batch)
	Failed func(now time.Time, err error)
}

// Poller reads one stream until it is stopped.
type Poller struct {
	cancel context.CancelFunc
	ended  chan struct{}
	wake   chan struct{}
}

// New starts to read.
func New(settings Settings, log pv.Log, control *kernel.EventLoop, s Stream) *Poller {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Poller{cancel: cancel, ended: make(chan struct{}), wake: make(chan struct{}, 1)}
	go func() {
		defer close(p.ended)
		for ctx.Err() == nil {
			if full := readOnce(ctx, settings, log, control, s); full {
				continue
			}
			select {
			case <-time.After(settings.Every):
			case <-p.wake:
			case <-ctx.Done():
			}
		}
	}()
	return p
}

// readOnce reads one batch and reports whether there may be more at once.
func readOnce(ctx context.Context, settings Settings, log pv.Log, control *kernel.EventLoop, s Stream) bool {
	var from pv.Offset
	if !control.Do(func() { from = s.Next() }) {
		return false
	}
	bounded, cancel := context.WithTimeout(ctx, settings.Timeout)
	defer cancel()
	b, err := log.Read(bounded, s.Name, from, settings.Limit)
	control.Do(func() {
		if err != nil {
			s.Failed(time.Now(), err)
			return
		}
		s.Feed(time.Now(), b)
	})
	return err == nil && len(b.Records) >= settings.Limit
}

// Wake makes the poller read now.
func (p *Poller) Wake() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// Stop ends the poller and waits for it.
func (p *Poller) Stop(context.Context) error {
	p.cancel()
	<-p.ended
	return nil
}
