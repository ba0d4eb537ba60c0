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

// Kernel holds the services of one process.
type Kernel struct {
	mu       sync.Mutex
	services []service
}

// New returns a kernel without services.
func New() *Kernel { return &Kernel{} }

// Register adds a service under a unique name; stop may be nil.
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

// Find returns the service of a name and type.
func Find[T any](k *Kernel, name string) (T, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	var none T
	for _, s := range k.services {
		if s.name != name {
			continue
		}
		value, ok := s.value.(T)
		if !ok {
			return none, Error.New("service %q is a %T", name, s.value)
		}
		return value, nil
	}
	return none, Error.New("no service %q", name)
}

// Stop stops the services, the last registered first, and returns all errors.
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

// EventLoop runs functions one at a time on its own goroutine. State that is
// touched only there needs no lock.
type EventLoop struct {
	work chan func()
	done chan struct{}
	once sync.Once
	ran  chan struct{}
}

// NewEventLoop starts the goroutine; tick is called on it every interval.
func NewEventLoop(interval time.Duration, tick func(now time.Time)) *EventLoop {
	c := &EventLoop{work: make(chan func(), 1024), done: make(chan struct{}), ran: make(chan struct{})}
	go func() {
		defer close(c.ran)
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case f := <-c.work:
				f()
			case <-ticker.C:
				tick(time.Now())
			case <-c.done:
				return
			}
		}
	}()
	return c
}

// Post queues a function; it reports false once the event loop has stopped.
func (c *EventLoop) Post(f func()) bool {
	select {
	case <-c.done:
		return false
	default:
	}
	select {
	case c.work <- f:
		return true
	case <-c.done:
		return false
	}
}

// Do runs a function on the event loop's goroutine and waits for it.
func (c *EventLoop) Do(f func()) bool {
	ran := make(chan struct{})
	posted := c.Post(func() {
		defer close(ran)
		f()
	})
	if !posted {
		return false
	}
	select {
	case <-ran:
		return true
	case <-c.ran:
		return false
	}
}

// Stop ends the goroutine and waits for it.
func (c *EventLoop) Stop(context.Context) error {
	c.once.Do(func() { close(c.done) })
	<-c.ran
	return nil
}
