package messenger

import (
	"context"
	"math"
	"testing"
	"time"

	"go.uber.org/zap"

	"persimmonvalve/internal/pipenet"
	"persimmonvalve/internal/wire"
)

// blockingHandler blocks in Frame until release is closed.
type blockingHandler struct{ release chan struct{} }

func (h blockingHandler) LeaderConnected(*Link, string, int64) {}
func (h blockingHandler) LeaderDisconnected(*Link, error)      {}
func (h blockingHandler) Frame(*Link, *wire.LinkFrame)         { <-h.release }

// Leader must not return a link that has ended while the link's goroutine still
// blocks in the handler: callers would retry on that link without end.
func TestLeaderOmitsEndedLink(t *testing.T) {
	pipenet.Bubble(t, func(t *testing.T) {
		network := pipenet.New()
		handler := blockingHandler{make(chan struct{})}
		l := network.Listen("process")
		a := NewLeaderAcceptor("process", "gateway", l, zap.NewNop(), handler)
		link, err := OpenLink(context.Background(), network.Dialer("leader"), l.Address())
		if err != nil {
			t.Fatal(err)
		}
		go func() { _ = link.Run(func(*wire.LinkFrame) {}) }()
		link.Send(&wire.LinkFrame{Body: &wire.LinkFrame_Greeting{Greeting: &wire.Greeting{Leader: "leader", Epoch: 1}}})
		link.Send(&wire.LinkFrame{Body: &wire.LinkFrame_Reply{Reply: &wire.Reply{Number: 1}}})
		time.Sleep(100 * time.Millisecond)
		accepted := a.Leader()
		if accepted == nil {
			t.Fatal("got no link, want the leader's")
		}
		accepted.Close()
		if a.Leader() != nil {
			t.Error("got a link that has ended, want nil")
		}
		close(handler.release)
		link.Close()
		a.Close()
		time.Sleep(5 * time.Second)
	})
}

// A greeting with an epoch that no leader has made a process refuse all leaders.
func TestGreetingWithOddEpoch(t *testing.T) {
	pipenet.Bubble(t, func(t *testing.T) {
		network := pipenet.New()
		l := network.Listen("process")
		a := NewLeaderAcceptor("process", "gateway", l, zap.NewNop(), countingHandler{make(chan *wire.LinkFrame, 4)})
		for _, c := range []struct {
			epoch int64
			want  bool
		}{{math.MaxInt64, false}, {-1, false}, {3, true}} {
			link, err := OpenLink(context.Background(), network.Dialer("leader"), l.Address())
			if err != nil {
				t.Fatal(err)
			}
			go func() { _ = link.Run(func(*wire.LinkFrame) {}) }()
			link.Send(&wire.LinkFrame{Body: &wire.LinkFrame_Greeting{Greeting: &wire.Greeting{Leader: "leader", Epoch: c.epoch}}})
			time.Sleep(100 * time.Millisecond)
			if got := a.Leader() != nil; got != c.want {
				t.Errorf("epoch %d: got a leader: %t, want %t", c.epoch, got, c.want)
			}
			link.Close()
			time.Sleep(100 * time.Millisecond)
		}
		a.Close()
		time.Sleep(5 * time.Second)
	})
}

// When the link of a leader that had fallen silent ended, the time without the leader began
// anew, and a candidate that had watched the store meanwhile dropped what it had seen.
func TestUnavailableTimeGoesOnWhenSilentLinkEnds(t *testing.T) {
	pipenet.Bubble(t, func(t *testing.T) {
		network := pipenet.New()
		l := network.Listen("process")
		a := NewLeaderAcceptor("process", "gateway", l, zap.NewNop(), countingHandler{make(chan *wire.LinkFrame, 4)})
		link, err := OpenLink(context.Background(), network.Dialer("leader"), l.Address())
		if err != nil {
			t.Fatal(err)
		}
		go func() { _ = link.Run(func(*wire.LinkFrame) {}) }()
		link.Send(&wire.LinkFrame{Body: &wire.LinkFrame_Greeting{Greeting: &wire.Greeting{Leader: "leader", Epoch: 1}}})
		time.Sleep(10 * time.Millisecond)
		if !a.LeaderStatus().Linked {
			t.Fatal("got no link, want the leader's")
		}
		linked, last := true, time.Duration(0)
		for range 100 {
			time.Sleep(50 * time.Millisecond)
			s := a.LeaderStatus()
			if s.UnavailableFor < last {
				t.Errorf("got the leader unavailable for %v (linked: %v), want at least %v", s.UnavailableFor, s.Linked, last)
			}
			linked, last = linked && s.Linked, s.UnavailableFor
		}
		if linked {
			t.Error("got the silent link open for 5 s, want it ended")
		}
		link.Close()
		a.Close()
		time.Sleep(5 * time.Second)
	})
}

// Connections on which no leader is accepted don't end the leader's link, and its frames may be
// large.
func TestLeaderBesidePendingConnections(t *testing.T) {
	pipenet.Bubble(t, func(t *testing.T) {
		network := pipenet.New()
		l := network.Listen("process")
		handler := countingHandler{make(chan *wire.LinkFrame, 4)}
		a := NewLeaderAcceptor("process", "gateway", l, zap.NewNop(), handler)
		link, err := OpenLink(context.Background(), network.Dialer("leader"), l.Address())
		if err != nil {
			t.Fatal(err)
		}
		go func() { _ = link.Run(func(*wire.LinkFrame) {}) }()
		link.Send(&wire.LinkFrame{Body: &wire.LinkFrame_Greeting{Greeting: &wire.Greeting{Leader: "leader", Epoch: 1}}})
		time.Sleep(10 * time.Millisecond)
		var first *Link
		for range 3 * maxPendingLinks {
			pending, err := OpenLink(context.Background(), network.Dialer("stranger"), l.Address())
			if err != nil {
				t.Fatal(err)
			}
			defer pending.Close()
			go func() { _ = pending.Run(func(*wire.LinkFrame) {}) }()
			if first == nil {
				first = pending
			}
		}
		link.Send(&wire.LinkFrame{Body: &wire.LinkFrame_Question{Question: &wire.Question{Body: make([]byte, 1<<20)}}})
		time.Sleep(100 * time.Millisecond)
		if len(handler.frames) != 1 || a.Leader() == nil {
			t.Errorf("got %d frames of the leader, linked: %t; want 1 and true", len(handler.frames), a.Leader() != nil)
		}
		if !first.isClosed() {
			t.Error("got the oldest pending connection open, want it closed for a newer one")
		}
		link.Close()
		a.Close()
		time.Sleep(5 * time.Second)
	})
}
