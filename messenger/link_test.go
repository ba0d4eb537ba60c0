package messenger

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"

	"persimmonvalve/internal/pipenet"
	"persimmonvalve/internal/wire"
)

// countingHandler counts the frames of a leader's links.
type countingHandler struct{ frames chan *wire.LinkFrame }

func (h countingHandler) LeaderConnected(*Link, string, int64) {}
func (h countingHandler) LeaderDisconnected(*Link, error)      {}
func (h countingHandler) Frame(_ *Link, f *wire.LinkFrame)     { h.frames <- f }

// A frame with text that isn't UTF-8 ended the link of a process, with everything that
// waited on it. It is dropped alone.
func TestFrameThatCannotBeEncoded(t *testing.T) {
	pipenet.Bubble(t, func(t *testing.T) {
		network := pipenet.New()
		handler := countingHandler{make(chan *wire.LinkFrame, 4)}
		l := network.Listen("process")
		a := NewLeaderAcceptor("process", "gateway", l, zap.NewNop(), handler)
		link, err := OpenLink(context.Background(), network.Dialer("leader"), l.Address())
		if err != nil {
			t.Fatal(err)
		}
		go func() { _ = link.Run(func(*wire.LinkFrame) {}) }()
		link.Send(&wire.LinkFrame{Body: &wire.LinkFrame_Greeting{Greeting: &wire.Greeting{Leader: "leader", Epoch: 1}}})
		time.Sleep(100 * time.Millisecond)
		link.Send(&wire.LinkFrame{Body: &wire.LinkFrame_Question{Question: &wire.Question{Number: 1, Job: "\xff"}}})
		link.Send(&wire.LinkFrame{Body: &wire.LinkFrame_Question{Question: &wire.Question{Number: 2, Job: "j"}}})
		time.Sleep(100 * time.Millisecond)
		select {
		case f := <-handler.frames:
			if got := f.GetQuestion().GetNumber(); got != 2 {
				t.Errorf("got question %d, want 2", got)
			}
		default:
			t.Error("got no frame after the one that can't be encoded, want one")
		}
		link.Close()
		a.Close()
		time.Sleep(5 * time.Second)
	})
}
