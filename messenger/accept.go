package messenger

// This file defines the accept loop of both kinds of listeners. A process that has run
// out of descriptors for a moment must accept links again afterwards.

import (
	"errors"
	"net"
	"time"

	"go.uber.org/zap"

	"persimmonvalve/internal/logfield"
)

// Delays after a failed accept, doubled from the first to the second.
const (
	minAcceptDelay = 5 * time.Millisecond
	maxAcceptDelay = 500 * time.Millisecond
)

// acceptAll passes each connection of the listener to serve, until the listener is
// closed. After any other error it accepts again after a delay.
func acceptAll(listener net.Listener, logger *zap.Logger, serve func(net.Conn)) {
	delay := minAcceptDelay
	for {
		conn, err := listener.Accept()
		switch {
		case err == nil:
			delay = minAcceptDelay
			serve(conn)
		case errors.Is(err, net.ErrClosed):
			return
		default:
			if delay == minAcceptDelay {
				logger.Warn("messenger: accepting a connection failed; retrying", logfield.Error(err))
			}
			time.Sleep(delay)
			delay = min(2*delay, maxAcceptDelay)
		}
	}
}
