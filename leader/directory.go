package leader

// This file defines the directory of a site's processes. Each process writes a record
// with its address to a keyed topic, from which the leader reads it. A candidate
// compares itself with the records of the others to find whether it is preferred.

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

// Topic, intervals and limits of the directory.
const (
	membersTopic          pv.Topic = "keyed.members"
	directoryCallTimeout           = 2 * time.Second        // of one call to the store
	maxRoundTripSamples            = 3                      // more than one, as the first call also opens a connection
	remeasureInterval              = 5 * time.Second        // while the store counts as outside the region: it may only have been slow
	minAnnounceDelay               = 200 * time.Millisecond // before the first retry, doubled up to maxAnnounceDelay
	maxAnnounceDelay               = 2 * time.Second        // also between checks whether to announce again
	reannounceDelay                = 3 * time.Second        // see NewDirectory; longer than a change of leader takes
	candidateScanInterval          = 10 * time.Second       // between scans for stronger candidates; machines change rarely
	maxDeregistrations             = 8                      // in a member's record
	maxMemberCores                 = 4096                   // of a valid member
	membersReadWait                = 5 * time.Second        // of one long poll; a connection that went silent is detected after it
)

// Directory announces this process and lists the members of the site. It is safe for
// concurrent use.
type Directory struct {
	store        pv.Store
	logger       *zap.Logger
	nearStore    atomic.Bool
	self         Member
	maxCoresBits atomic.Uint64 // float64 bits: the most cores of any candidate in the store's region
}

// maxCoresRatio is the ratio of another candidate's cores to a process's own above
// which the other outranks it.
const maxCoresRatio = 2

// Preferred reports whether this process is a preferred candidate: it is in the
// store's region, and no candidate there has more than maxCoresRatio times its cores.
func (d *Directory) Preferred() bool {
	return d.NearStore() && maxCoresRatio*d.self.Cores >= math.Float64frombits(d.maxCoresBits.Load())
}

// outrankedBy reports whether another process is the better candidate.
func (d *Directory) outrankedBy(m Member) bool {
	return m.NearStore && (!d.NearStore() || m.Cores > maxCoresRatio*d.self.Cores)
}

// scanCandidates reads the most cores of any candidate in the store's region.
func (d *Directory) scanCandidates(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, directoryCallTimeout)
	defer cancel()
	records, err := readAll(callCtx, d.store, membersTopic)
	if err != nil {
		if ctx.Err() == nil {
			d.logger.Warn("directory: reading the candidates failed; keeping the last result", logfield.Error(err)) // the next scan reads them again
		}
		return
	}
	maxCores := 0.0
	for _, r := range records {
		if m, ok := decodeMember(r); ok && m.NearStore && m.Candidate {
			maxCores = max(maxCores, m.Cores)
		}
	}
	d.maxCoresBits.Store(math.Float64bits(maxCores))
}

// NearStore reports whether this process was measured to be in the store's region.
func (d *Directory) NearStore() bool { return d.nearStore.Load() }

// measureRoundTrip sets nearStore if one of several calls to the store is answered
// within maxSameRegionRoundTrip, so that a single slow response doesn't decide.
func (d *Directory) measureRoundTrip(ctx context.Context) {
	for range maxRoundTripSamples {
		callCtx, cancel := context.WithTimeout(ctx, directoryCallTimeout)
		start := time.Now()
		_, err := d.store.Newest(callCtx, leaderTopic, "")
		roundTrip := time.Since(start)
		cancel()
		if err == nil && roundTrip < maxSameRegionRoundTrip {
			d.nearStore.Store(true)
			return
		}
	}
}

// NewDirectory starts announcing a process, until the context ends. It announces the
// process again
//   - whenever the leader has been unavailable for reannounceDelay, since a delayed
//     write by an earlier incarnation of the process may have replaced the record;
//   - after each deregistration of a worker, which it adds to the record;
//   - when a later measurement finds a candidate to be in the store's region.
func NewDirectory(ctx context.Context, store pv.Store, self Member, status func() messenger.LeaderStatus, deregistrations <-chan pv.Deregistration, logger *zap.Logger) *Directory {
	d := &Directory{store: store, logger: logger, self: self}
	go func() {
		if self.Candidate {
			d.scanCandidates(ctx) // before nearStore is set: without a scan the process would count as preferred
		}
		d.measureRoundTrip(ctx)
		for ctx.Err() == nil {
			self.NearStore = d.NearStore()
			value, err := json.Marshal(self)
			if err != nil {
				panic(Error.Wrap(err)) // every field of a Member can be encoded
			}
			if !d.announce(ctx, pv.KeyedRecord{Key: self.Node, Value: value}) {
				return
			}
			logger.Info("directory: announced", zap.Stringer("address", self.Address), zap.Bool("near", self.NearStore), zap.Float64("cores", self.Cores))
			lastMeasured, lastScanned := time.Now(), time.Time{}
		wait:
			for since := time.Now(); status().UnavailableFor < reannounceDelay || time.Since(since) < reannounceDelay; {
				select {
				case <-time.After(maxAnnounceDelay):
				case deregistration := <-deregistrations:
					self.Deregistered = append(self.Deregistered, deregistration)
					self.Deregistered = self.Deregistered[max(0, len(self.Deregistered)-maxDeregistrations):]
					break wait
				case <-ctx.Done():
					return
				}
				if self.Candidate && time.Since(lastScanned) > candidateScanInterval {
					lastScanned = time.Now()
					d.scanCandidates(ctx)
				}
				if self.Candidate && !self.NearStore && time.Since(lastMeasured) > remeasureInterval {
					lastMeasured = time.Now()
					if d.measureRoundTrip(ctx); d.NearStore() {
						break // the store is in the region and was only slow
					}
				}
			}
		}
	}()
	return d
}

// announce writes the record, with retries. It returns false if the context ends first.
func (d *Directory) announce(ctx context.Context, record pv.KeyedRecord) bool {
	delay := minAnnounceDelay
	for {
		callCtx, cancel := context.WithTimeout(ctx, directoryCallTimeout)
		err := d.store.Put(callCtx, membersTopic, []pv.KeyedRecord{record})
		cancel()
		if err == nil {
			return true
		}
		if delay == minAnnounceDelay && ctx.Err() == nil {
			d.logger.Warn("directory: announcing this process failed; retrying", logfield.Error(err))
		}
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return false
		}
		delay = min(2*delay, maxAnnounceDelay)
	}
}

// decodeMember decodes a member's record and reports whether it names a member. Any
// process may write to the topic, so a record's numbers must not decide more than those
// of a member could.
func decodeMember(r pv.KeyedRecord) (Member, bool) {
	var m Member
	if err := json.Unmarshal(r.Value, &m); err != nil {
		return Member{}, false
	}
	if m.Node != r.Key || m.Cores < 0 || m.Cores > maxMemberCores {
		return Member{}, false
	}
	if ip := m.Address.Addr(); !ip.IsValid() || ip.IsUnspecified() || ip.IsMulticast() || m.Address.Port() == 0 {
		return Member{}, false
	}
	m.Deregistered = m.Deregistered[max(0, len(m.Deregistered)-maxDeregistrations):]
	return m, true
}

// Follow calls changed with all members at the start and after every change, and
// invalid with the key of each record that names no member, until the context ends.
func (d *Directory) Follow(ctx context.Context, clock func() time.Duration, invalid func(key string), changed func([]Member)) {
	members := map[string]Member{}
	follow(ctx, d.store, membersTopic, membersReadWait, clock, func(read topicRead) {
		if read.snapshot {
			clear(members)
		} else if len(read.records) == 0 {
			return
		}
		for _, r := range read.records {
			if len(r.Value) == 0 {
				delete(members, r.Key)
			} else if m, ok := decodeMember(r); !ok {
				d.logger.Warn("directory: invalid member record ignored", zap.String("key", r.Key))
				invalid(r.Key)
			} else {
				members[r.Key] = m
			}
		}
		changed(slices.Collect(maps.Values(members)))
	})
}
