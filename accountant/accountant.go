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
var Error = errs.Class("account")

// Stream is the name of the stream that holds the records of all entries.
const Stream pv.StreamName = "accounts"

// Sums are the totals of one plan's requests over an interval.
type Sums struct {
	Customer string               `json:"customer"`
	Plan     string               `json:"plan"`
	Outcomes map[pv.Outcome]int64 `json:"outcomes"`
	Reasons  map[pv.Reason]int64  `json:"reasons,omitempty"` // of outcomes other than finished
	Retries  map[pv.Reason]int64  `json:"retries,omitempty"`
	Runs     int64                `json:"runs"`           // runs of the requests, including retries
	Took     map[int]int64        `json:"took,omitempty"` // number of requests by bucket of their latency, see Bucket
}

// Record holds one entry's totals since its previous record.
type Record struct {
	Entry       string         `json:"entry"`
	Incarnation pv.Incarnation `json:"incarnation"`
	Seq         int64          `json:"seq"`             // from 1; readers ignore records that don't increase it
	Final       bool           `json:"final,omitempty"` // last record of this incarnation
	Time        time.Time      `json:"time"`
	Plans       []Sums         `json:"plans"`
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

// Event is the end of one request.
type Event struct {
	Customer string
	Plan     string
	Outcome  pv.Outcome
	Reason   pv.Reason
	Runs     int
	Retries  map[pv.Reason]int // number of retries by cause
	Took     time.Duration     // latency of the request
}

// Book aggregates the events of one entry into records. It isn't safe for
// concurrent use.
type Book struct {
	entry        string
	incarnation  pv.Incarnation
	seq          int64
	lastRecordAt time.Time        // time of the last record
	totals       map[string]*Sums // totals since the last record, by plan
	unconfirmed  *Record          // record whose append isn't acknowledged yet
}

// New returns an empty Book of one incarnation of an entry.
func New(entry string, incarnation pv.Incarnation) *Book {
	return &Book{entry: entry, incarnation: incarnation, totals: map[string]*Sums{}}
}

// idleRecordInterval is the interval at which an idle entry appends empty records.
// They let the report distinguish it from an entry that ended without a final record.
const idleRecordInterval = time.Minute

// Add adds an event to the totals.
func (b *Book) Add(e Event) {
	s, ok := b.totals[e.Plan]
	if !ok {
		s = &Sums{
			Customer: e.Customer, Plan: e.Plan,
			Outcomes: map[pv.Outcome]int64{}, Reasons: map[pv.Reason]int64{}, Retries: map[pv.Reason]int64{}, Took: map[int]int64{},
		}
		b.totals[e.Plan] = s
	}
	s.Outcomes[e.Outcome]++
	if e.Outcome != pv.Finished {
		s.Reasons[e.Reason]++
	}
	for reason, n := range e.Retries {
		s.Retries[reason] += int64(n)
	}
	s.Runs += int64(e.Runs)
	s.Took[Bucket(e.Took)]++
}

// Next returns the record to append at the given time; it reports false if there is
// none. Until Appended is called it returns the same record again, so that nothing
// is counted twice if the acknowledgement of an append is lost.
func (b *Book) Next(now time.Time, final bool) (Record, bool) {
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
	slices.SortFunc(r.Plans, func(x, y Sums) int { return cmp.Compare(x.Plan, y.Plan) })
	b.totals = map[string]*Sums{}
	b.unconfirmed = &r
	return r, true
}

// Appended confirms that the record returned by Next is in the log.
func (b *Book) Appended() { b.unconfirmed = nil }

// Open returns the number of plans whose totals aren't in a record yet.
func (b *Book) Open() int { return len(b.totals) }

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
