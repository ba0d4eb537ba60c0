package accountant

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"github.com/zeebo/errs"

	pv "persimmonvalve"
)

// Error is the class of this package's errors.
var Error = errs.Class("accountant")

// Stream is the name of the stream that holds the records of all entries.
const Stream pv.StreamName = "accounts"

// PlanTotals are the totals of one plan's requests over an interval.
type PlanTotals struct {
	Customer         string               `json:"customer"`
	Plan             string               `json:"plan"`
	Outcomes         map[pv.Outcome]int64 `json:"outcomes"`
	Reasons          map[pv.Reason]int64  `json:"reasons,omitempty"` // of outcomes other than finished
	Retries          map[pv.Reason]int64  `json:"retries,omitempty"`
	Attempts         int64                `json:"runs"`           // attempts of the requests, including retries
	LatencyHistogram map[int]int64        `json:"took,omitempty"` // number of requests by bucket of their latency, see Bucket
}

// Record holds one entry's totals since its previous record.
type Record struct {
	Entry       string         `json:"entry"`
	Incarnation pv.Incarnation `json:"incarnation"`
	Seq         int64          `json:"seq"`             // from 1; readers ignore records that don't increase it
	Final       bool           `json:"final,omitempty"` // last record of this incarnation
	Time        time.Time      `json:"time"`
	Plans       []PlanTotals   `json:"plans"`
}

// Bucket returns the index of the histogram bucket of a latency. The first bucket
// ends at 0.1 ms, and the limit of each further one is a quarter higher.
func Bucket(d time.Duration) int {
	i := 0
	for limit := firstBucketLimit; d > limit && i < lastBucket; i++ {
		limit += limit / 4
	}
	return i
}

// BucketLimit returns the upper limit of the bucket with the given index.
func BucketLimit(i int) time.Duration {
	limit := firstBucketLimit
	for range i {
		limit += limit / 4
	}
	return limit
}

const (
	firstBucketLimit = 100 * time.Microsecond
	lastBucket       = 90 // index; holds all longer latencies too
)

// RequestEnd is the end of one request.
type RequestEnd struct {
	Customer string
	Plan     string
	Outcome  pv.Outcome
	Reason   pv.Reason
	Attempts int
	Retries  map[pv.Reason]int // number of retries by reason
	Latency  time.Duration
}

// Aggregator aggregates the ends of one entry's requests into records. It isn't safe
// for concurrent use.
type Aggregator struct {
	entry        string
	incarnation  pv.Incarnation
	seq          int64
	lastRecordAt time.Time              // zero at first, so that the first Next returns a record
	totals       map[string]*PlanTotals // totals since the last record, by plan
	unconfirmed  *Record                // record whose append isn't acknowledged yet
}

// New returns an empty Aggregator of one incarnation of an entry.
func New(entry string, incarnation pv.Incarnation) *Aggregator {
	return &Aggregator{entry: entry, incarnation: incarnation, totals: map[string]*PlanTotals{}}
}

// idleRecordInterval is the interval at which an idle entry appends empty records.
// They let the report distinguish it from an entry that ended without a final record.
const idleRecordInterval = time.Minute

// Add adds the end of a request to the totals.
func (b *Aggregator) Add(e RequestEnd) {
	s, ok := b.totals[e.Plan]
	if !ok {
		s = &PlanTotals{
			Customer: e.Customer, Plan: e.Plan,
			Outcomes: map[pv.Outcome]int64{}, Reasons: map[pv.Reason]int64{}, Retries: map[pv.Reason]int64{}, LatencyHistogram: map[int]int64{},
		}
		b.totals[e.Plan] = s
	}
	s.Outcomes[e.Outcome]++
	if e.Outcome != pv.OutcomeFinished {
		s.Reasons[e.Reason]++
	}
	for reason, n := range e.Retries {
		s.Retries[reason] += int64(n)
	}
	s.Attempts += int64(e.Attempts)
	s.LatencyHistogram[Bucket(e.Latency)]++
}

// Next returns the record to append at the given time; it reports false if there is
// none. Until ConfirmAppend is called it returns the same record again, so that
// nothing is counted twice if the acknowledgement of an append is lost.
func (b *Aggregator) Next(now time.Time, final bool) (Record, bool) {
	if b.unconfirmed != nil {
		return *b.unconfirmed, true
	}
	if len(b.totals) == 0 && !final && now.Sub(b.lastRecordAt) < idleRecordInterval {
		return Record{}, false
	}
	b.lastRecordAt = now
	b.seq++
	r := Record{Entry: b.entry, Incarnation: b.incarnation, Seq: b.seq, Final: final, Time: now}
	for _, s := range b.totals {
		r.Plans = append(r.Plans, *s)
	}
	slices.SortFunc(r.Plans, func(x, y PlanTotals) int { return cmp.Compare(x.Plan, y.Plan) })
	b.totals = map[string]*PlanTotals{}
	b.unconfirmed = &r
	return r, true
}

// ConfirmAppend confirms that the record returned by Next is in the log.
func (b *Aggregator) ConfirmAppend() { b.unconfirmed = nil }

// Unsettled reports whether some sums aren't in a record that the log has confirmed.
func (b *Aggregator) Unsettled() bool { return len(b.totals) > 0 || b.unconfirmed != nil }

// Encode returns the JSON encoding of a record.
func Encode(r Record) ([]byte, error) {
	data, err := json.Marshal(r)
	return data, Error.Wrap(err)
}

// Decode decodes a record.
func Decode(data []byte) (Record, error) {
	var r Record
	err := json.Unmarshal(data, &r)
	return r, Error.Wrap(err)
}
