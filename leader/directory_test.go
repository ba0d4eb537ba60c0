package leader

import (
	"context"
	"encoding/json"
	"net/netip"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"

	pv "persimmonvalve"
	"persimmonvalve/internal/pipenet"
	"persimmonvalve/messenger"
	"persimmonvalve/standin"
)

// A candidate that starts while the store is slow takes it to be far; once the
// store is fast again it knows better, and says so.
func TestNearAfterSlowStore(t *testing.T) {
	pipenet.Bubble(t, func(t *testing.T) {
		store := standin.NewKeyed(1)
		store.Set(standin.KeyedFaults{Delay: 250 * time.Millisecond})
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		self := Member{Node: "a", Address: netip.MustParseAddrPort("10.0.0.1:80"), Candidate: true}
		d := NewDirectory(ctx, store.For("a"), self, func() messenger.LeaderStatus { return messenger.LeaderStatus{Linked: true} }, nil, zap.NewNop())
		time.Sleep(4 * time.Second)
		if d.NearStore() {
			t.Error("got near a store that takes 250 ms")
		}
		store.Set(standin.KeyedFaults{})
		time.Sleep(10 * time.Second)
		if !d.NearStore() {
			t.Error("got far from a store that answers at once")
		}
		var got Member
		if err := json.Unmarshal(store.Value(membersTopic, "a"), &got); err != nil || !got.NearStore {
			t.Errorf("got member %+v, %v, want near", got, err)
		}
		cancel()
		time.Sleep(announceSlow)
	})
}

// A worker's goodbye stands in its agent's record at once.
func TestDepartureInWriting(t *testing.T) {
	pipenet.Bubble(t, func(t *testing.T) {
		store := standin.NewKeyed(1)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		departures := make(chan pv.Deregistration, 1)
		self := Member{Node: "a", Address: netip.MustParseAddrPort("10.0.0.1:80")}
		NewDirectory(ctx, store.For("a"), self, func() messenger.LeaderStatus { return messenger.LeaderStatus{Linked: true} }, departures, zap.NewNop())
		time.Sleep(time.Second)
		want := pv.Deregistration{Worker: "w", Incarnation: 3}
		departures <- want
		time.Sleep(100 * time.Millisecond)
		var got Member
		if err := json.Unmarshal(store.Value(membersTopic, "a"), &got); err != nil || !slices.Equal(got.Deregistered, []pv.Deregistration{want}) {
			t.Errorf("got member %+v, %v, want the departure %+v", got, err, want)
		}
		cancel()
		time.Sleep(announceSlow)
	})
}

// A candidate on a much weaker machine than another near the store leaves the
// term to it; far from the store, strength doesn't count.
func TestFitLeader(t *testing.T) {
	pipenet.Bubble(t, func(t *testing.T) {
		store := standin.NewKeyed(1)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		start := func(name string, cores float64) *Directory {
			self := Member{Node: name, Address: netip.MustParseAddrPort("10.0.0.1:80"), Candidate: true, Cores: cores}
			return NewDirectory(ctx, store.For(name), self, func() messenger.LeaderStatus { return messenger.LeaderStatus{Linked: true} }, nil, zap.NewNop())
		}
		strong, weak, middle := start("strong", 0.8), start("weak", 0.1), start("middle", 0.5)
		time.Sleep(2 * surveyEvery)
		for _, c := range []struct {
			name string
			of   *Directory
			want bool
		}{{"strong", strong, true}, {"weak", weak, false}, {"middle", middle, true}} {
			if got := c.of.Preferred(); got != c.want {
				t.Errorf("%s: got fit %t, want %t", c.name, got, c.want)
			}
		}
		if !weak.outranked(Member{NearStore: true, Cores: 0.8}) || weak.outranked(Member{Cores: 8}) || weak.outranked(Member{NearStore: true, Cores: 0.15}) {
			t.Error("got another order of candidates, want a strong one near the store above a weak one, and no other")
		}
		cancel()
		time.Sleep(announceSlow)
	})
}
