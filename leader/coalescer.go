package leader

// This file defines coalescer, which bounds the calls to the store that questions of gateways
// cause: each question would open a connection of its own.

// maxCoalescedCalls is the most calls in progress of one coalescer. One call that hangs doesn't
// hold up the others.
const maxCoalescedCalls = 4

// coalescer collects the items that come while enough calls are in progress for the next call. It
// belongs to the event loop.
type coalescer[T any] struct {
	start      func(items []T) // starts a call, after which done is called
	waiting    []T
	inProgress int
}

// add passes an item to a call that starts now or later.
func (c *coalescer[T]) add(item T) {
	c.waiting = append(c.waiting, item)
	c.startNext()
}

// done ends a call.
func (c *coalescer[T]) done() {
	c.inProgress--
	c.startNext()
}

func (c *coalescer[T]) startNext() {
	if len(c.waiting) == 0 || c.inProgress >= maxCoalescedCalls {
		return
	}
	items := c.waiting
	c.waiting = nil
	c.inProgress++
	c.start(items)
}
