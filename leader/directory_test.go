package leader

import (
	"context"
	"encoding/json"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	pv "persimmonvalve"
	"persimmonvalve/internal/pipenet"
	"persimmonvalve/messenger"
	"persimmonvalve/standin"
)

// A candidate that starts while the store is slow counts as outside the store's region.
// Once the store is fast again, the candidate measures that and announces it.
func TestNearAfterSlowStore(t *testing.T) {
	pipenet.Bubble(t, func(t *testing.T) {
		store := standin.NewKeyedStore(1)
		store.SetFaults(standin.KeyedStoreFaults{Delay: 250 * time.Millisecond})
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		self := Member{Node: "a", Address: netip.MustParseAddrPort("10.0.0.1:80"), Candidate: true}
		d := NewDirectory(ctx, store.ClientFor("a"), self, func() messenger.LeaderStatus { return messenger.LeaderStatus{Linked: true} }, nil, zap.NewNop())
		time.Sleep(4 * time.Second)
		if d.NearStore() {
			t.Error("got NearStore true for a store that takes 250 ms, want false")
		}
		store.SetFaults(standin.KeyedStoreFaults{})
		time.Sleep(10 * time.Second)
		if !d.NearStore() {
			t.Error("got NearStore false for a store that answers at once, want true")
		}
		var got Member
		if err := json.Unmarshal(store.NewestValue(membersTopic, "a"), &got); err != nil || !got.NearStore {
			t.Errorf("got member %+v, %v, want NearStore true", got, err)
		}
		cancel()
		time.Sleep(maxAnnounceDelay)
	})
}

// A worker's deregistration is written to its supervisor's directory record at once.
func TestDeregistrationIsAnnounced(t *testing.T) {
	pipenet.Bubble(t, func(t *testing.T) {
		store := standin.NewKeyedStore(1)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		deregistrations := make(chan pv.Deregistration, 1)
		self := Member{Node: "a", Address: netip.MustParseAddrPort("10.0.0.1:80")}
		NewDirectory(ctx, store.ClientFor("a"), self, func() messenger.LeaderStatus { return messenger.LeaderStatus{Linked: true} }, deregistrations, zap.NewNop())
		time.Sleep(time.Second)
		want := pv.Deregistration{Worker: "w", Incarnation: 3}
		deregistrations <- want
		time.Sleep(100 * time.Millisecond)
		var got Member
		if err := json.Unmarshal(store.NewestValue(membersTopic, "a"), &got); err != nil || !slices.Equal(got.Deregistered, []pv.Deregistration{want}) {
			t.Errorf("got member %+v, %v, want the deregistration %+v", got, err, want)
		}
		cancel()
		time.Sleep(maxAnnounceDelay)
	})
}

// A candidate is not preferred if another one in the store's region has more than
// maxCoresRatio times its cores. Candidates outside the region never outrank it.
func TestPreferredCandidate(t *testing.T) {
	pipenet.Bubble(t, func(t *testing.T) {
		store := standin.NewKeyedStore(1)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		start := func(name string, cores float64) *Directory {
			self := Member{Node: name, Address: netip.MustParseAddrPort("10.0.0.1:80"), Candidate: true, Cores: cores}
			return NewDirectory(ctx, store.ClientFor(name), self, func() messenger.LeaderStatus { return messenger.LeaderStatus{Linked: true} }, nil, zap.NewNop())
		}
		strong, weak, middle := start("strong", 0.8), start("weak", 0.1), start("middle", 0.5)
		time.Sleep(2 * candidateScanInterval)
		for _, c := range []struct {
			name      string
			directory *Directory
			want      bool
		}{{"strong", strong, true}, {"weak", weak, false}, {"middle", middle, true}} {
			if got := c.directory.Preferred(); got != c.want {
				t.Errorf("%s: got preferred %t, want %t", c.name, got, c.want)
			}
		}
		if !weak.outrankedBy(Member{NearStore: true, Cores: 0.8}) || weak.outrankedBy(Member{Cores: 8}) || weak.outrankedBy(Member{NearStore: true, Cores: 0.15}) {
			t.Error("got another ranking, want the weak candidate outranked only by a member with 0.8 cores in the store's region")
		}
		cancel()
		time.Sleep(maxAnnounceDelay)
	})
}

// A record of another writer that names no member is reported, and the others count.
func TestInvalidMemberRecord(t *testing.T) {
	pipenet.Bubble(t, func(t *testing.T) {
		store := standin.NewKeyedStore(1)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		sound, err := json.Marshal(Member{Node: "a", Address: netip.MustParseAddrPort("10.0.0.1:80")})
		if err != nil {
			t.Fatal(err)
		}
		if err := store.ClientFor("x").Put(ctx, membersTopic, []pv.KeyedRecord{{Key: "a", Value: sound}, {Key: "b", Value: []byte{0xff}}, {Key: "c", Value: sound}}); err != nil {
			t.Fatal(err)
		}
		d := &Directory{store: store.ClientFor("y"), logger: zap.NewNop()}
		var mu sync.Mutex
		var invalid []string
		var members []Member
		go d.Follow(ctx, sinceNow(), func(key string) {
			mu.Lock()
			defer mu.Unlock()
			invalid = append(invalid, key)
		}, func(m []Member) {
			mu.Lock()
			defer mu.Unlock()
			members = m
		})
		time.Sleep(time.Second)
		mu.Lock()
		if want := []string{"b", "c"}; !slices.Equal(slices.Sorted(slices.Values(invalid)), want) || len(members) != 1 || members[0].Node != "a" {
			t.Errorf("got invalid records %v and members %v, want %v and a alone", invalid, members, want)
		}
		mu.Unlock()
		cancel()
		time.Sleep(10 * time.Second)
	})
}

// One odd record among those of the members: numbers and addresses that no member has
// decided which candidate is preferred, and which addresses a leader dials. The sound
// members count, in the first read and in those that follow.
func TestOddMemberRecords(t *testing.T) {
	sound, err := json.Marshal(Member{Node: "a", Address: netip.MustParseAddrPort("10.0.0.1:80"), Candidate: true, NearStore: true, Cores: 0.5})
	if err != nil {
		t.Fatal(err)
	}
	const rest = `,"near":true,"candidate":true`
	for name, value := range map[string]string{
		"deep":                `{"node":"odd","address":"10.0.0.2:80","x":` + strings.Repeat("[", 100000) + strings.Repeat("]", 100000) + rest + `}`,
		"cores overflow":      `{"node":"odd","address":"10.0.0.2:80","cores":1e400` + rest + `}`,
		"cores too many":      `{"node":"odd","address":"10.0.0.2:80","cores":1e308` + rest + `}`,
		"cores negative":      `{"node":"odd","address":"10.0.0.2:80","cores":-1` + rest + `}`,
		"port out of range":   `{"node":"odd","address":"10.0.0.2:65536","cores":9` + rest + `}`,
		"port zero":           `{"node":"odd","address":"10.0.0.2:0","cores":9` + rest + `}`,
		"no address":          `{"node":"odd","cores":9` + rest + `}`,
		"unspecified address": `{"node":"odd","address":"0.0.0.0:80","cores":9` + rest + `}`,
		"life too large":      `{"node":"odd","address":"10.0.0.2:80","cores":9,"departed":[{"worker":"w","life":9223372036854775808}]` + rest + `}`,
		"other node":          `{"node":"a","address":"10.0.0.2:80","cores":9` + rest + `}`,
		"other type":          `[{"node":"odd"}]`,
		"null":                `null`,
	} {
		t.Run(name, func(t *testing.T) {
			pipenet.Bubble(t, func(t *testing.T) {
				store := standin.NewKeyedStore(1)
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				odd := pv.KeyedRecord{Key: "odd", Value: []byte(value)}
				if err := store.ClientFor("x").Put(ctx, membersTopic, []pv.KeyedRecord{{Key: "a", Value: sound}, odd}); err != nil {
					t.Fatal(err)
				}
				d := &Directory{store: store.ClientFor("y"), logger: zap.NewNop(), self: Member{Node: "a", Cores: 0.5}}
				d.nearStore.Store(true)
				d.scanCandidates(ctx)
				if !d.Preferred() {
					t.Error("got the candidate outranked by an odd record, want it preferred")
				}
				var mu sync.Mutex
				invalid := 0
				var members []Member
				go d.Follow(ctx, sinceNow(), func(string) {
					mu.Lock()
					defer mu.Unlock()
					invalid++
				}, func(m []Member) {
					mu.Lock()
					defer mu.Unlock()
					members = m
				})
				time.Sleep(time.Second)
				later, err := json.Marshal(Member{Node: "b", Address: netip.MustParseAddrPort("10.0.0.3:80")})
				if err != nil {
					t.Fatal(err)
				}
				if err := store.ClientFor("x").Put(ctx, membersTopic, []pv.KeyedRecord{odd, {Key: "b", Value: later}}); err != nil {
					t.Fatal(err)
				}
				time.Sleep(time.Second)
				mu.Lock()
				if invalid != 2 || len(members) != 2 {
					t.Errorf("got %d invalid records and members %v, want 2 and a and b", invalid, members)
				}
				mu.Unlock()
				cancel()
				time.Sleep(10 * time.Second)
			})
		})
	}
}

// A member's record with more deregistrations than a member writes counts with its newest
// ones alone.
func TestManyDeregistrationsInRecord(t *testing.T) {
	m := Member{Node: "a", Address: netip.MustParseAddrPort("10.0.0.1:80")}
	for i := range 5000 {
		m.Deregistered = append(m.Deregistered, pv.Deregistration{Worker: "w", Incarnation: int64(i)})
	}
	value, err := json.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	got, ok := decodeMember(pv.KeyedRecord{Key: "a", Value: value})
	if !ok || !slices.Equal(got.Deregistered, m.Deregistered[5000-maxDeregistrations:]) {
		t.Errorf("got %d deregistrations, %t, want the newest %d", len(got.Deregistered), ok, maxDeregistrations)
	}
}

// FuzzMembers checks that a record decodes to a member that a process could have written,
// or to none, and that a member's own record decodes to the member.
func FuzzMembers(f *testing.F) {
	for _, seed := range []string{
		`{"node":"k","role":"gateway","address":"10.0.0.2:80","boot":"b","near":true,"cores":0.5,"candidate":true,"departed":[{"worker":"w","life":3}]}`,
		`{"node":"k","address":"10.0.0.2:65536"}`, `{"node":"k","address":"[::1%25x]:80","cores":1e308}`, `{"node":"k","address":"10.0.0.2:80","cores":-0.0}`,
		`{"node":"k","departed":[` + strings.Repeat(`{},`, 3000) + `{}]}`, strings.Repeat("[", 20000), `null`, `{"node":`, "\xff",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m, ok := decodeMember(pv.KeyedRecord{Key: "k", Value: data})
		if !ok {
			return
		}
		if m.Node != "k" || m.Cores < 0 || m.Cores > maxMemberCores || m.Address.Port() == 0 || len(m.Deregistered) > maxDeregistrations {
			t.Errorf("%q: got member %+v, want none", data, m)
		}
		value, err := json.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		again, ok := decodeMember(pv.KeyedRecord{Key: "k", Value: value})
		if !ok || !again.equalExceptDeregistered(m) || !slices.Equal(again.Deregistered, m.Deregistered) {
			t.Errorf("%q: got %+v, %t, want %+v", value, again, ok, m)
		}
	})
}
