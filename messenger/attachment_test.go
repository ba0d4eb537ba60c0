package messenger

import (
	"context"
	"testing"
	"time"

	"persimmonvalve/internal/pipenet"
	"persimmonvalve/internal/wire"
)

// busyHandler doesn't return from a frame until it is let go.
type busyHandler struct{ release chan struct{} }

func (h busyHandler) LeaderConnected(*Link, string, int64) {}
func (h busyHandler) LeaderDisconnected(*Link, error)      {}
func (h busyHandler) Frame(*Link, *wire.LinkFrame)         { <-h.release }

// A link that has ended isn't offered any more, even while its goroutine hasn't
// come round to taking note: whoever asked on it would ask again without end.
func TestEndedLinkIsNoLeader(t *testing.T) {
	pipenet.Bubble(t, func(t *testing.T) {
		network := pipenet.New()
		handler := busyHandler{make(chan struct{})}
		l := network.Listen("process")
		a := NewLeaderAcceptor("process", "gateway", l, handler)
		link, err := OpenLink(context.Background(), network.Dialer("leader"), l.Address())
		if err != nil {
			t.Fatal(err)
		}
		go func() { _ = link.Run(func(*wire.LinkFrame) {}) }()
		link.Send(&wire.LinkFrame{Body: &wire.LinkFrame_Greeting{Greeting: &wire.Greeting{Leader: "leader", Epoch: 1}}})
		link.Send(&wire.LinkFrame{Body: &wire.LinkFrame_Reply{Reply: &wire.Reply{Number: 1}}})
		time.Sleep(100 * time.Millisecond)
		own := a.Leader()
		if own == nil {
			t.Fatal("got no link, want the leader's")
		}
		own.Close()
		if a.Leader() != nil {
			t.Error("got a link that has ended, want none")
		}
		close(handler.release)
		link.Close()
		a.Close()
		time.Sleep(5 * time.Second)
	})
}
