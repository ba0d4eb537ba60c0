package leader

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	pv "persimmonvalve"
	"persimmonvalve/internal/pipenet"
	"persimmonvalve/standin"
)

// Candidates that read the same last claim never get the same epoch, even if responses
// of the store are lost or appends take effect late.
func TestEpochIsClaimedOnce(t *testing.T) {
	for name, faults := range map[string]standin.KeyedStoreFaults{
		"sound": {}, "answers lost": {LostAnswerFraction: 0.5}, "appends late": {DelayedAppendFraction: 0.5}, "both": {LostAnswerFraction: 0.3, DelayedAppendFraction: 0.3},
	} {
		t.Run(name, func(t *testing.T) {
			pipenet.Bubble(t, func(t *testing.T) {
				store := standin.NewKeyedStore(7)
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Minute)
				defer cancel()
				claimed := map[int64]string{}
				for range 10 {
					last, err := readClaim(ctx, store.ClientFor("reader"))
					if err != nil {
						t.Fatal(err)
					}
					store.SetFaults(faults)
					var mu sync.Mutex
					var candidates sync.WaitGroup
					for _, node := range []string{"a", "b", "c"} {
						candidates.Add(1)
						go func() {
							defer candidates.Done()
							claim, err := claimEpoch(ctx, store.ClientFor(node), last, node, "boot")
							if err != nil {
								return // another candidate has the epoch
							}
							epoch := claim.Epoch
							mu.Lock()
							defer mu.Unlock()
							if other, ok := claimed[epoch]; ok {
								t.Errorf("epoch %d: got %s and %s, want one", epoch, other, node)
							}
							claimed[epoch] = node
						}()
					}
					candidates.Wait()
					store.SetFaults(standin.KeyedStoreFaults{})
					time.Sleep(10 * time.Second) // delayed appends have taken effect by then
				}
				if len(claimed) != 10 {
					t.Errorf("got %d epochs, want 10", len(claimed))
				}
			})
		})
	}
}

// sinceNow returns a clock that starts at zero.
func sinceNow() func() time.Duration {
	startedAt := time.Now()
	return func() time.Duration { return time.Since(startedAt) }
}

// A new leader's lease counts from the start of its last append during the claim: the
// store may have applied the append long before a slow response arrived, and a
// successor waits from the time at which it fenced this leader.
func TestLeaderLeaseCountsFromAppendStart(t *testing.T) {
	pipenet.Bubble(t, func(t *testing.T) {
		store := standin.NewKeyedStore(1)
		const delay = 1500 * time.Millisecond // of each response, within storeCallTimeout
		store.SetFaults(standin.KeyedStoreFaults{Delay: delay})
		clock := sinceNow()
		got, err := claim(context.Background(), store.ClientFor("a"), clock, lastClaim{}, "a", "boot")
		if err != nil {
			t.Fatal(err)
		}
		if age := clock() - got.confirmedAt; age < delay {
			t.Errorf("got a lease that counts from %v before the end of the claim, want %v or more", age, delay)
		}
	})
}

// The store refuses appends of a superseded leader, including one that it carries out
// after a delay.
func TestSupersededLeaderStoresNothing(t *testing.T) {
	pipenet.Bubble(t, func(t *testing.T) {
		store := standin.NewKeyedStore(1)
		ctx := context.Background()
		view := store.ClientFor("x")
		var epochs []int64
		for _, node := range []string{"a", "b"} {
			last, err := readClaim(ctx, view)
			if err != nil {
				t.Fatal(err)
			}
			claimed, err := claim(ctx, view, sinceNow(), last, node, "boot")
			if err != nil {
				t.Fatal(err)
			}
			epochs = append(epochs, claimed.epoch)
		}
		record := []pv.KeyedRecord{{Key: "state/j", Value: []byte("stale")}}
		stale := pv.Writer{Name: writerName, Epoch: epochs[0], Sequence: firstSequence + 1}
		if got, _, _ := view.Append(ctx, jobsTopic, stale, pv.AtAnyOffset, record); got != pv.AppendSuperseded {
			t.Errorf("got %s, want %s", got, pv.AppendSuperseded)
		}
		store.SetFaults(standin.KeyedStoreFaults{DelayedAppendFraction: 1})
		if got, _, _ := view.Append(ctx, jobsTopic, stale, pv.AtAnyOffset, record); got != pv.AppendUnknown {
			t.Errorf("got %s, want %s", got, pv.AppendUnknown)
		}
		time.Sleep(10 * time.Second)
		if got := store.NewestValue(jobsTopic, "state/j"); got != nil {
			t.Errorf("got %q stored, want nothing", got)
		}
	})
}

// A new leader appends heartbeats while it reads the jobs. Without them, another
// candidate would find that appends have stopped and claim the next term.
func TestClaimAppendsHeartbeats(t *testing.T) {
	pipenet.Bubble(t, func(t *testing.T) {
		store := standin.NewKeyedStore(1)
		ctx := context.Background()
		var records []pv.KeyedRecord
		for i := range 2000 {
			records = append(records, pv.KeyedRecord{Key: fmt.Sprintf("job/%04d", i), Value: []byte("{}")})
		}
		if err := store.ClientFor("x").Put(ctx, jobsTopic, records); err != nil {
			t.Fatal(err)
		}
		store.SetFaults(standin.KeyedStoreFaults{Delay: 150 * time.Millisecond})
		done := make(chan struct{})
		go func() {
			defer close(done)
			got, err := claim(ctx, store.ClientFor("a"), sinceNow(), lastClaim{}, "a", "boot")
			if err != nil || got.epoch != 1 || len(got.records) < len(records) || got.sequence <= firstSequence {
				t.Errorf("got epoch %d, %d records, sequence %d, %v, want epoch 1, all stored records, a sequence number above the first, no error", got.epoch, len(got.records), got.sequence, err)
			}
		}()
		time.Sleep(500 * time.Millisecond)
		watcher := store.ClientFor("b")
		for {
			page, err := watcher.Newest(ctx, jobsTopic, afterAllKeys)
			if err != nil {
				t.Fatal(err)
			}
			tail, err := watcher.Tail(ctx, jobsTopic, page.End, preferredTimeouts.noAppend)
			if err != nil {
				t.Fatal(err)
			}
			select {
			case <-done:
				return
			default:
			}
			if len(tail.Records) == 0 {
				t.Fatalf("got no append for %v during a claim, want one", preferredTimeouts.noAppend)
			}
		}
	})
}

// A record of another writer in the leader topic: one that couldn't be decoded kept every
// candidate from leading, one with a huge epoch made the next one negative, and one with
// a low epoch let two terms share an epoch.
func TestOddLeaderRecord(t *testing.T) {
	for name, value := range map[string]string{
		"not JSON": "\xff\xfe", "other type": `[1]`, "epoch of another type": `{"epoch":"7"}`, "too large": `{"epoch":9223372036854775808}`,
		"highest": `{"epoch":9223372036854775807}`, "high": `{"epoch":1125899906842624}`, "low": `{"epoch":1}`, "negative": `{"epoch":-5}`,
		"deep": `{"epoch":` + strings.Repeat("[", 100000) + strings.Repeat("]", 100000) + `}`, "deleted": "",
	} {
		t.Run(name, func(t *testing.T) {
			pipenet.Bubble(t, func(t *testing.T) {
				store := standin.NewKeyedStore(1)
				ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
				defer cancel()
				lead := func(node string) int64 {
					last, err := readClaim(ctx, store.ClientFor(node))
					if err != nil {
						t.Fatal(err)
					}
					claimed, err := claim(ctx, store.ClientFor(node), sinceNow(), last, node, "boot")
					if err != nil {
						t.Fatal(err)
					}
					return claimed.epoch
				}
				lead("a")
				before := lead("b")
				if err := store.ClientFor("x").Put(ctx, leaderTopic, []pv.KeyedRecord{{Key: leaderKey, Value: []byte(value)}}); err != nil {
					t.Fatal(err)
				}
				for range 2 {
					if got := lead("c"); got <= before || got > before+2 {
						t.Errorf("got epoch %d after %d, want the next or the one after it", got, before)
					} else {
						before = got
					}
				}
			})
		})
	}
}

// A claim states since which epoch all leaders abide by lease records. A claim of a version
// that doesn't, or a record of another writer, begins that anew.
func TestLeaseRecordsSinceEpoch(t *testing.T) {
	pipenet.Bubble(t, func(t *testing.T) {
		store := standin.NewKeyedStore(1)
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		client := store.ClientFor("a")
		for i, c := range []struct {
			before string // record written before the claim, if any
			want   int64
		}{
			{"", 1}, {"", 1}, {`{"epoch":3,"node":"former version"}`, 4}, {"", 4}, {`{"epoch":3,"leaseRecordsSince":1}`, 7}, {"garbage", 9}, {"", 9},
		} {
			if c.before != "" {
				if err := client.Put(ctx, leaderTopic, []pv.KeyedRecord{{Key: leaderKey, Value: []byte(c.before)}}); err != nil {
					t.Fatal(err)
				}
			}
			last, err := readClaim(ctx, client)
			if err != nil {
				t.Fatal(err)
			}
			got, err := claim(ctx, client, sinceNow(), last, "a", "boot")
			if err != nil {
				t.Fatal(err)
			}
			if got.predecessors.LeaseRecordsSince != c.want {
				t.Errorf("claim %d: got lease records since epoch %d, want %d", i, got.predecessors.LeaseRecordsSince, c.want)
			}
		}
	})
}

// The wait for leases of former leaders counted from the end of the claim. It counts from the
// last read of the jobs topic's end, if nobody has appended since.
func TestLastAppendOfFormerLeaders(t *testing.T) {
	for name, appends := range map[string]bool{"none since the read": false, "one since the read": true} {
		t.Run(name, func(t *testing.T) {
			pipenet.Bubble(t, func(t *testing.T) {
				store := standin.NewKeyedStore(1)
				ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
				defer cancel()
				client := store.ClientFor("a")
				former, err := claim(ctx, client, sinceNow(), lastClaim{}, "former", "boot")
				if err != nil {
					t.Fatal(err)
				}
				last, err := readClaim(ctx, client)
				if err != nil {
					t.Fatal(err)
				}
				page, err := client.Newest(ctx, jobsTopic, afterAllKeys)
				if err != nil {
					t.Fatal(err)
				}
				last.jobsEnd, last.jobsReadAt = page.End, time.Now()
				time.Sleep(time.Second)
				if appends {
					if _, err := appendHeartbeat(ctx, client, former.epoch, former.sequence+1); err != nil {
						t.Fatal(err)
					}
				}
				lastAppendAt := time.Now()
				time.Sleep(time.Second)
				got, err := claim(ctx, client, sinceNow(), last, "a", "boot")
				if err != nil {
					t.Fatal(err)
				}
				switch by := got.predecessors.LastAppendBy; {
				case appends && by.Before(lastAppendAt):
					t.Errorf("got the last append by %v before it", lastAppendAt.Sub(by))
				case !appends && !by.Equal(last.jobsReadAt):
					t.Errorf("got the last append by %v after the read, want by the read", by.Sub(last.jobsReadAt))
				}
			})
		})
	}
}
