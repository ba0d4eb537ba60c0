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

// Stream is the name of the accounts stream.
const Stream pv.StreamName = "accounts"

// Sums is what happened to one plan's requests in an interval.
type Sums struct {
	Customer string               `json:"customer"`
	Plan     string               `json:"plan"`
	Outcomes map[pv.Outcome]int64 `json:"outcomes"`
	Reasons  map[pv.Reason]int64  `json:"reasons,omitempty"` // of outcomes other than finished
	Retries  map[pv.Reason]int64  `json:"retries,omitempty"`
	Runs     int64                `json:"runs"`
	Took     map[int]int64        `json:"took,omitempty"` // requests by bucket of their time, see Bucket
}

// Record is one entry's sums since its last record.
type Record struct {
	Entry       string         `json:"entry"`
	Incarnation pv.Incarnation `json:"incarnation"`
	Seq         int64          `json:"seq"` // from 1; a copy or an older one is void
	Final       bool           `json:"final,omitempty"`
	Time        time.Time      `json:"time"`
	Plans       []Sums         `json:"plans"`
}

// Bucket returns the index of a time's bucket; each is a quarter longer than
// the one before, from one tenth of a millisecond.
func Bucket(d time.Duration) int {
	i := 0
	for limit := firstBucket; d > limit && i < maxBucket; i++ {
		limit += limit / 4
	}
	return i
}

// BucketLimit returns the upper limit of a bucket.
func BucketLimit(i int) time.Duration {
	limit := firstBucket
	for range i {
		limit += limit / 4
	}
	return limit
}

const (
	firstBucket = 100 * time.Microsecond
	maxBucket   = 90
)

// Event is the end of one request.
type Event struct {
	Customer string
	Plan     string
	Outcome  pv.Outcome
	Reason   pv.Reason
	Runs     int
	Retries  map[pv.Reason]int
	Took     time.Duration
}

// Book sums events up until they are appended. It isn't safe for concurrent
// use.
type Book struct {
	entry       string
	incarnation pv.Incarnation
	seq         int64
	last        time.Time // of the last record
	open        map[string]*Sums
	sent        *Record // appended, maybe without acknowledgement
}

// New returns an empty book of one entry.
func New(entry string, incarnation pv.Incarnation) *Book {
	return &Book{entry: entry, incarnation: incarnation, open: map[string]*Sums{}}
}

// idleEvery is how often an entry with nothing to say appends an empty record,
// so that the report can tell it from one that vanished.
const idleEvery = time.Minute

// Add takes one event in.
func (b *Book) Add(e Event) {
	s, ok := b.open[e.Plan]
	if !ok {
		s = &Sums{
			Customer: e.Customer, Plan: e.Plan,
			Outcomes: map[pv.Outcome]int64{}, Reasons: map[pv.Reason]int64{}, Retries: map[pv.Reason]int64{}, Took: map[int]int64{},
		}
		b.open[e.Plan] = s
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

// Next returns the record to append now, false when there is nothing to say.
// The same record comes back until Appended is called, so that a lost
// acknowledgement counts nothing twice.
func (b *Book) Next(now time.Time, final bool) (Record, bool) {
	if b.sent != nil {
		return *b.sent, true
	}
	if len(b.open) == 0 && !final && now.Sub(b.last) < idleEvery {
		return Record{}, false
	}
	b.last = now
	b.seq++
	r := Record{Entry: b.entry, Incarnation: b.incarnation, Seq: b.seq, Final: final, Time: now}
	for _, s := range b.open {
		r.Plans = append(r.Plans, *s)
	}
	slices.SortFunc(r.Plans, func(x, y Sums) int { return cmp.Compare(x.Plan, y.Plan) })
	b.open = map[string]*Sums{}
	b.sent = &r
	return r, true
}

// Appended notes that the last record is in the log.
func (b *Book) Appended() { b.sent = nil }

// Open returns how many plans have sums that no record carries yet.
func (b *Book) Open() int { return len(b.open) }

// Encode returns the bytes of a record.
func Encode(r Record) ([]byte, error) {
	data, err := json.Marshal(r)
	return data, Error.Wrap(err)
}

// Decode reads a record.
func Decode(data []byte) (Record, error) {
	var r Record
	err := json.Unmarshal(data, &r)
	return r, Error.Wrap(err)
}
