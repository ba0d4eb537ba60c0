package standin

// This file defines a store with conditional appends and keyed topics, in
// memory, with the faults that the real one has: it may be down, for all or for
// some, slow, lose answers, and carry out later what it didn't answer.

import (
	"bytes"
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	pv "persimmonvalve"
)

var (
	errStoreDown   = errors.New("the store is down")
	errAnswerLost  = errors.New("the store's answer is lost")
	errStoreRefuse = errors.New("the store refuses")
)

// Keyed is the store. It is safe for concurrent use.
type Keyed struct {
	mu      sync.Mutex
	topics  map[pv.Topic]*keyedTopic
	random  *rand.Rand
	changed chan struct{}

	// Faults. Set them by Set.
	faults KeyedFaults
}

// KeyedFaults are the faults of a store.
type KeyedFaults struct {
	Down    bool
	Refuses map[string]bool // processes that it turns away
	Delay   time.Duration   // of each answer
	Lost    float64         // share of appends that are done and not answered
	Late    float64         // share of appends that aren't answered and done 1 to 6 s later
}

type keyedTopic struct {
	records []pv.KeyedRecord // offset is the index
	newest  map[string]int
	writers map[string]*keyedWriter
}

type keyedWriter struct {
	epoch, sequence int64
	answers         map[int64]pv.Offset // of the last sequence numbers
}

// NewKeyed returns an empty store.
func NewKeyed(seed uint64) *Keyed {
	return &Keyed{topics: map[pv.Topic]*keyedTopic{}, random: rand.New(rand.NewPCG(seed, seed)), changed: make(chan struct{})}
}

// Set changes the faults.
func (k *Keyed) Set(f KeyedFaults) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.faults = f
}

// Faults returns the faults.
func (k *Keyed) Faults() KeyedFaults {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.faults
}

// Value returns the newest value of a key, for checks.
func (k *Keyed) Value(topic pv.Topic, key string) []byte {
	k.mu.Lock()
	defer k.mu.Unlock()
	t := k.topic(topic)
	if i, ok := t.newest[key]; ok {
		return t.records[i].Value
	}
	return nil
}

func (k *Keyed) topic(name pv.Topic) *keyedTopic {
	t, ok := k.topics[name]
	if !ok {
		t = &keyedTopic{newest: map[string]int{}, writers: map[string]*keyedWriter{}}
		k.topics[name] = t
	}
	return t
}

// For returns the store as a process sees it.
func (k *Keyed) For(process string) pv.Store { return keyedView{k, process} }

type keyedView struct {
	store   *Keyed
	process string
}

// admit waits for the store's delay and says whether it serves the process.
func (v keyedView) admit(ctx context.Context) error {
	f := v.store.Faults()
	if f.Delay > 0 {
		if err := sleep(ctx, f.Delay); err != nil {
			return err
		}
	}
	if f.Down {
		<-ctx.Done()
		return errStoreDown
	}
	if f.Refuses[v.process] {
		return errStoreRefuse
	}
	return ctx.Err()
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

const (
	keptAnswers = 5
	lateLeast   = time.Second
	lateMost    = 6 * time.Second
)

// Append implements persimmonvalve.Store.
func (v keyedView) Append(ctx context.Context, topic pv.Topic, w pv.Writer, at pv.Offset, records []pv.KeyedRecord) (pv.AppendVerdict, pv.Offset, error) {
	if err := v.admit(ctx); err != nil {
		if errors.Is(err, errStoreRefuse) {
			return pv.AppendRefused, 0, err
		}
		return pv.AppendUnknown, 0, err
	}
	k := v.store
	k.mu.Lock()
	defer k.mu.Unlock()
	switch luck := k.random.Float64(); {
	case luck < k.faults.Late:
		time.AfterFunc(lateLeast+time.Duration(k.random.Int64N(int64(lateMost-lateLeast))), func() {
			k.mu.Lock()
			defer k.mu.Unlock()
			k.apply(topic, w, at, records)
		})
		return pv.AppendUnknown, 0, errAnswerLost
	case luck < k.faults.Late+k.faults.Lost:
		k.apply(topic, w, at, records)
		return pv.AppendUnknown, 0, errAnswerLost
	}
	verdict, offset := k.apply(topic, w, at, records)
	if verdict == pv.AppendSequenceGap {
		return verdict, offset, errors.New("not the next sequence number")
	}
	return verdict, offset, nil
}

func (k *Keyed) apply(topic pv.Topic, w pv.Writer, at pv.Offset, records []pv.KeyedRecord) (pv.AppendVerdict, pv.Offset) {
	t := k.topic(topic)
	end := pv.Offset(len(t.records))
	var state *keyedWriter
	if w.Name != "" {
		state = t.writers[w.Name]
		if state == nil {
			state = &keyedWriter{epoch: -1}
			t.writers[w.Name] = state
		}
		switch {
		case w.Epoch < state.epoch:
			return pv.AppendSuperseded, 0
		case w.Epoch > state.epoch:
			*state = keyedWriter{epoch: w.Epoch, sequence: w.Sequence - 1, answers: map[int64]pv.Offset{}}
		}
		if offset, ok := state.answers[w.Sequence]; ok {
			return pv.AppendDone, offset
		}
		if w.Sequence != state.sequence+1 {
			return pv.AppendSequenceGap, pv.Offset(state.sequence + 1)
		}
	}
	if at != pv.AtAnyOffset && at != end {
		return pv.AppendOffsetMismatch, end
	}
	for _, r := range records {
		t.newest[r.Key] = len(t.records)
		if len(r.Value) == 0 {
			delete(t.newest, r.Key)
		}
		t.records = append(t.records, pv.KeyedRecord{Key: r.Key, Value: bytes.Clone(r.Value)})
	}
	if state != nil {
		state.sequence = w.Sequence
		state.answers[w.Sequence] = end
		delete(state.answers, w.Sequence-keptAnswers)
	}
	close(k.changed)
	k.changed = make(chan struct{})
	return pv.AppendDone, end
}

// Put implements persimmonvalve.Store.
func (v keyedView) Put(ctx context.Context, topic pv.Topic, records []pv.KeyedRecord) error {
	_, _, err := v.Append(ctx, topic, pv.Writer{}, pv.AtAnyOffset, records)
	return err
}

const pageRecords = 100

// Newest implements persimmonvalve.Store.
func (v keyedView) Newest(ctx context.Context, topic pv.Topic, after string) (pv.KeyedPage, error) {
	if err := v.admit(ctx); err != nil {
		return pv.KeyedPage{}, err
	}
	k := v.store
	k.mu.Lock()
	defer k.mu.Unlock()
	t := k.topic(topic)
	page := pv.KeyedPage{End: pv.Offset(len(t.records))}
	for _, key := range slices.Sorted(maps.Keys(t.newest)) {
		if key <= after {
			continue
		}
		if len(page.Records) == pageRecords {
			page.More = true
			break
		}
		page.Records = append(page.Records, t.records[t.newest[key]])
		page.Last = key
	}
	return page, nil
}

// Tail implements persimmonvalve.Store.
func (v keyedView) Tail(ctx context.Context, topic pv.Topic, from pv.Offset, wait time.Duration) (pv.KeyedTail, error) {
	deadline := time.After(wait)
	for {
		if err := v.admit(ctx); err != nil {
			return pv.KeyedTail{}, err
		}
		k := v.store
		k.mu.Lock()
		t := k.topic(topic)
		tail := pv.KeyedTail{End: pv.Offset(len(t.records))}
		if int(from) < len(t.records) {
			tail.Records = slices.Clone(t.records[from:])
		}
		changed := k.changed
		k.mu.Unlock()
		if len(tail.Records) > 0 {
			return tail, nil
		}
		select {
		case <-changed:
		case <-deadline:
			return tail, nil
		case <-ctx.Done():
			return pv.KeyedTail{}, ctx.Err()
		}
	}
}
