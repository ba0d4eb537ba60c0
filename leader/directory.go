package leader

// This file defines the directory of a site's processes: each writes its
// address into a keyed topic when it starts, and the leader reads it there. It
// also tells a candidate how it suits beside the others.

import (
	"context"
	"encoding/json"
	"maps"
	"math"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	pv "persimmonvalve"
	"persimmonvalve/internal/logfield"
	"persimmonvalve/messenger"
)

const (
	membersTopic    pv.Topic = "keyed.members"
	announceTimeout          = 2 * time.Second
	measureCalls             = 3                      // the first one also opens a connection
	measureAgain             = 5 * time.Second        // while the store is taken to be far: it may only have been slow
	announcePause            = 200 * time.Millisecond // between tries, doubled up to announceSlow
	announceSlow             = 2 * time.Second
	announceAgain            = 3 * time.Second  // without word of a leader; longer than a change of leader
	surveyEvery              = 10 * time.Second // of who is fit to lead; machines change rarely
	departedKept             = 8
	membersWait              = 5 * time.Second // of one read; a silent connection is noticed after it
)

// Directory announces this process and lists the others.
type Directory struct {
	store  pv.Store
	logger *zap.Logger
	near   atomic.Bool
	self   Member
	most   atomic.Uint64 // bits of the most cores of a candidate near the store
}

// weaker is the factor by which a machine must be weaker than another for its
// process to leave the term to the other's.
const weaker = 2

// Preferred reports whether this process is a preferred candidate: it is in the
// store's region and no other such candidate has a much stronger machine.
func (d *Directory) Preferred() bool {
	return d.NearStore() && weaker*d.self.Cores >= math.Float64frombits(d.most.Load())
}

// outranked reports whether another process suits better as the leader.
func (d *Directory) outranked(m Member) bool {
	return m.NearStore && (!d.NearStore() || m.Cores > weaker*d.self.Cores)
}

// survey reads how strong the candidates near the store are.
func (d *Directory) survey(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	records, err := readAll(call, d.store, membersTopic)
	if err != nil {
		if ctx.Err() == nil {
			d.logger.Warn("directory: members not read", logfield.Error(err)) // the next survey finds out
		}
		return
	}
	most := 0.0
	for _, r := range records {
		var m Member
		if len(r.Value) > 0 && json.Unmarshal(r.Value, &m) == nil && m.NearStore && m.Candidate {
			most = max(most, m.Cores)
		}
	}
	d.most.Store(math.Float64bits(most))
}

// NearStore reports whether this process was found to be in the store's region.
func (d *Directory) NearStore() bool { return d.near.Load() }

// measure finds out how far the store is. A slow answer isn't taken as far from
// a single call.
func (d *Directory) measure(ctx context.Context) {
	for range measureCalls {
		call, cancel := context.WithTimeout(ctx, announceTimeout)
		begun := time.Now()
		_, err := d.store.Newest(call, leaderTopic, "")
		took := time.Since(begun)
		cancel()
		if err == nil && took < nearStore {
			d.near.Store(true)
			return
		}
	}
}

// NewDirectory starts to announce a process, until the context ends. It does so
// again whenever no leader has been heard for a while: an announcement of a
// former life may have been carried out late and stand in the place of this one.
// Deregistrations are added to what it announces.
func NewDirectory(ctx context.Context, store pv.Store, self Member, standing func() messenger.LeaderStatus, departures <-chan pv.Deregistration, logger *zap.Logger) *Directory {
	d := &Directory{store: store, logger: logger, self: self}
	go func() {
		if self.Candidate {
			d.survey(ctx) // before it is near, and could claim a term
		}
		d.measure(ctx)
		for ctx.Err() == nil {
			self.NearStore = d.NearStore()
			value, err := json.Marshal(self)
			if err != nil {
				panic(Error.Wrap(err)) // a member holds nothing that can't be encoded
			}
			if !d.announce(ctx, pv.KeyedRecord{Key: self.Node, Value: value}) {
				return
			}
			logger.Info("directory: announced", zap.Stringer("address", self.Address), zap.Bool("near", self.NearStore), zap.Float64("cores", self.Cores))
			measured, surveyed := time.Now(), time.Time{}
		wait:
			for since := time.Now(); standing().SilentFor < announceAgain || time.Since(since) < announceAgain; {
				select {
				case <-time.After(announceSlow):
				case departure := <-departures:
					self.Deregistered = append(self.Deregistered, departure)
					self.Deregistered = self.Deregistered[max(0, len(self.Deregistered)-departedKept):]
					break wait
				case <-ctx.Done():
					return
				}
				if self.Candidate && time.Since(surveyed) > surveyEvery {
					surveyed = time.Now()
					d.survey(ctx)
				}
				if self.Candidate && !self.NearStore && time.Since(measured) > measureAgain {
					measured = time.Now()
					if d.measure(ctx); d.NearStore() {
						break // the store was only slow
					}
				}
			}
		}
	}()
	return d
}

// announce writes the record, and reports false when the context ended first.
func (d *Directory) announce(ctx context.Context, record pv.KeyedRecord) bool {
	wait := announcePause
	for {
		call, cancel := context.WithTimeout(ctx, announceTimeout)
		err := d.store.Put(call, membersTopic, []pv.KeyedRecord{record})
		cancel()
		if err == nil {
			return true
		}
		if wait == announcePause && ctx.Err() == nil {
			d.logger.Warn("directory: not announced yet", logfield.Error(err))
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return false
		}
		wait = min(2*wait, announceSlow)
	}
}

// Follow calls changed with all members whenever one changes, until the
// context ends.
func (d *Directory) Follow(ctx context.Context, clock func() time.Duration, changed func([]Member)) {
	members := map[string]Member{}
	follow(ctx, d.store, membersTopic, membersWait, clock, func(records []pv.KeyedRecord, first bool, _ time.Duration) {
		if first {
			clear(members)
		} else if len(records) == 0 {
			return
		}
		for _, r := range records {
			var m Member
			if len(r.Value) == 0 {
				delete(members, r.Key)
			} else if err := json.Unmarshal(r.Value, &m); err != nil || m.Node != r.Key || !m.Address.IsValid() {
				d.logger.Warn("directory: record can't be read", zap.String("key", r.Key))
			} else {
				members[r.Key] = m
			}
		}
		changed(slices.Collect(maps.Values(members)))
	})
}
