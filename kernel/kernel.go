package kernel

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("kernel")

type service struct {
	name  string
	value any
	stop  func(context.Context) error
}

// Kernel is the registry of the services of one process. It is safe for concurrent
// use.
type Kernel struct {
	mu       sync.Mutex
	services []service
}

// New returns a kernel without services.
func New() *Kernel { return &Kernel{} }

// Register adds a service under a unique name; it panics if the name is taken. If
// stop isn't nil, Stop calls it.
func (k *Kernel) Register(name string, value any, stop func(context.Context) error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, s := range k.services {
		if s.name == name {
			panic(fmt.Sprintf("kernel: service %q registered twice", name))
		}
	}
	k.services = append(k.services, service{name: name, value: value, stop: stop})
}

// Find returns the service with the given name; it fails if there is none or if it
// isn't of type T.
func Find[T any](k *Kernel, name string) (T, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	var zero T
	for _, s := range k.services {
		if s.name != name {
			continue
		}
		value, ok := s.value.(T)
		if !ok {
			return zero, Error.New("service %q has type %T, another type was requested", name, s.value)
		}
		return value, nil
	}
	return zero, Error.New("service %q is not registered", name)
}

// Stop stops the services in reverse order of their registration and returns all
// their errors.
func (k *Kernel) Stop(ctx context.Context) error {
	k.mu.Lock()
	services := k.services
	k.services = nil
	k.mu.Unlock()
	var group errs.Group
	for i := len(services) - 1; i >= 0; i-- {
		if s := services[i]; s.stop != nil {
			group.Add(s.stop(ctx))
		}
	}
	return Error.Wrap(group.Err())
}

// EventLoop runs functions one at a time on its own goroutine. State that only
// these functions access needs no lock.
type EventLoop struct {
	queue    chan func()
	stopping chan struct{}
	stopOnce sync.Once
	stopped  chan struct{}
}

// NewEventLoop starts an event loop, which also calls tick at every interval.
func NewEventLoop(interval time.Duration, tick func(now time.Time)) *EventLoop {
	l := &EventLoop{queue: make(chan func(), 1024), stopping: make(chan struct{}), stopped: make(chan struct{})}
	go func() {
		defer close(l.stopped)
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case f := <-l.queue:
				f()
			case <-ticker.C:
				tick(time.Now())
			case <-l.stopping:
				return
			}
		}
	}()
	return l
}

// Post queues a function to run on the event loop, and waits if the queue is full.
// It reports false if the event loop has been stopped.
func (l *EventLoop) Post(f func()) bool {
	select {
	case <-l.stopping:
		return false
	default:
	}
	select {
	case l.queue <- f:
		return true
	case <-l.stopping:
		return false
	}
}

// Do runs a function on the event loop and waits until it has returned. It reports
// false if the event loop has stopped; the function may not have run then.
func (l *EventLoop) Do(f func()) bool {
	returned := make(chan struct{})
	posted := l.Post(func() {
		defer close(returned)
		f()
	})
	if !posted {
		return false
	}
	select {
	case <-returned:
		return true
	case <-l.stopped:
		return false
	}
}

// Stop stops the event loop and waits until its goroutine has ended. Functions that
// are still queued may be dropped.
func (l *EventLoop) Stop(context.Context) error {
	l.stopOnce.Do(func() { close(l.stopping) })
	<-l.stopped
	return nil
}
