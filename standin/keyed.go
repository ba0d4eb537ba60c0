package standin

// This file defines an in-memory store of keyed topics with conditional appends.
// Its faults are those of the real store: it can be down, refuse the calls of some
// processes, delay its answers, lose them, or apply an unanswered append later.

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
	errStoreDown     = errors.New("store down: no answer before the call's deadline")
	errNoStoreAnswer = errors.New("store answer lost: append may have been applied")
	errStoreRefused  = errors.New("store refuses calls of this process")
)

// KeyedStore is an in-memory keyed store. It is safe for concurrent use.
type KeyedStore struct {
	mu      sync.Mutex
	topics  map[pv.Topic]*keyedTopic
	random  *rand.Rand
	changed chan struct{}

	faults KeyedStoreFaults
}

// KeyedStoreFaults are the faults that a store injects.
type KeyedStoreFaults struct {
	Down                  bool
	RefusedProcesses      map[string]bool // processes whose calls are refused
	Delay                 time.Duration   // before each call is served
	LostAnswerFraction    float64         // fraction of appends that are applied but not answered
	DelayedAppendFraction float64         // fraction of appends that are not answered, and applied 1 to 6 s later
}

type keyedTopic struct {
	records     []pv.KeyedRecord // the index is the record's offset
	newestIndex map[string]int
	writers     map[string]*keyedWriter
}

type keyedWriter struct {
	epoch, sequence int64
	offsets         map[int64]pv.Offset // of the last retainedSequences appends, by sequence number; a repeated append returns the offset of the original
}

// NewKeyedStore returns an empty store. The seed determines which appends are lost or
// delayed.
func NewKeyedStore(seed uint64) *KeyedStore {
	return &KeyedStore{topics: map[pv.Topic]*keyedTopic{}, random: rand.New(rand.NewPCG(seed, seed)), changed: make(chan struct{})}
}

// SetFaults replaces the injected faults.
func (k *KeyedStore) SetFaults(f KeyedStoreFaults) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.faults = f
}

// Faults returns the injected faults.
func (k *KeyedStore) Faults() KeyedStoreFaults {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.faults
}

// NewestValue returns the newest value of a key, or nil if the key is absent. Faults
// do not affect it.
func (k *KeyedStore) NewestValue(topic pv.Topic, key string) []byte {
	k.mu.Lock()
	defer k.mu.Unlock()
	t := k.topic(topic)
	if i, ok := t.newestIndex[key]; ok {
		return t.records[i].Value
	}
	return nil
}

func (k *KeyedStore) topic(name pv.Topic) *keyedTopic {
	t, ok := k.topics[name]
	if !ok {
		t = &keyedTopic{newestIndex: map[string]int{}, writers: map[string]*keyedWriter{}}
		k.topics[name] = t
	}
	return t
}

// ClientFor returns the store client of a process.
func (k *KeyedStore) ClientFor(process string) pv.Store { return keyedClient{k, process} }

type keyedClient struct {
	store   *KeyedStore
	process string
}

// checkFaults waits for the injected delay and returns an error if the store is
// down or refuses the process.
func (v keyedClient) checkFaults(ctx context.Context) error {
	faults := v.store.Faults()
	if faults.Delay > 0 {
		if err := sleep(ctx, faults.Delay); err != nil {
			return err
		}
	}
	if faults.Down {
		<-ctx.Done()
		return errStoreDown
	}
	if faults.RefusedProcesses[v.process] {
		return errStoreRefused
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
	retainedSequences = 5           // latest sequence numbers per writer for which a repeated append is recognised
	minApplyDelay     = time.Second // minimum delay of an append that is not answered and applied later
	maxApplyDelay     = 6 * time.Second
)

// Append implements persimmonvalve.Store.
func (v keyedClient) Append(ctx context.Context, topic pv.Topic, w pv.Writer, expected pv.Offset, records []pv.KeyedRecord) (pv.AppendVerdict, pv.Offset, error) {
	if err := v.checkFaults(ctx); err != nil {
		if errors.Is(err, errStoreRefused) {
			return pv.AppendRefused, 0, err
		}
		return pv.AppendUnknown, 0, err
	}
	k := v.store
	k.mu.Lock()
	defer k.mu.Unlock()
	switch draw := k.random.Float64(); {
	case draw < k.faults.DelayedAppendFraction:
		time.AfterFunc(minApplyDelay+time.Duration(k.random.Int64N(int64(maxApplyDelay-minApplyDelay))), func() {
			k.mu.Lock()
			defer k.mu.Unlock()
			k.apply(topic, w, expected, records)
		})
		return pv.AppendUnknown, 0, errNoStoreAnswer
	case draw < k.faults.DelayedAppendFraction+k.faults.LostAnswerFraction:
		k.apply(topic, w, expected, records)
		return pv.AppendUnknown, 0, errNoStoreAnswer
	}
	verdict, offset := k.apply(topic, w, expected, records)
	if verdict == pv.AppendSequenceGap {
		return verdict, offset, errors.New("append refused: not the next sequence number of its writer")
	}
	return verdict, offset, nil
}

func (k *KeyedStore) apply(topic pv.Topic, w pv.Writer, expected pv.Offset, records []pv.KeyedRecord) (pv.AppendVerdict, pv.Offset) {
	t := k.topic(topic)
	end := pv.Offset(len(t.records))
	var writer *keyedWriter
	if w.Name != "" {
		writer = t.writers[w.Name]
		if writer == nil {
			writer = &keyedWriter{epoch: -1}
			t.writers[w.Name] = writer
		}
		switch {
		case w.Epoch < writer.epoch:
			return pv.AppendSuperseded, 0
		case w.Epoch > writer.epoch:
			*writer = keyedWriter{epoch: w.Epoch, sequence: w.Sequence - 1, offsets: map[int64]pv.Offset{}}
		}
		if offset, ok := writer.offsets[w.Sequence]; ok {
			return pv.AppendDone, offset
		}
		if w.Sequence != writer.sequence+1 {
			return pv.AppendSequenceGap, pv.Offset(writer.sequence + 1)
		}
	}
	if expected != pv.AtAnyOffset && expected != end {
		return pv.AppendOffsetMismatch, end
	}
	for _, r := range records {
		t.newestIndex[r.Key] = len(t.records)
		if len(r.Value) == 0 {
			delete(t.newestIndex, r.Key)
		}
		t.records = append(t.records, pv.KeyedRecord{Key: r.Key, Value: bytes.Clone(r.Value)})
	}
	if writer != nil {
		writer.sequence = w.Sequence
		writer.offsets[w.Sequence] = end
		delete(writer.offsets, w.Sequence-retainedSequences)
	}
	close(k.changed)
	k.changed = make(chan struct{})
	return pv.AppendDone, end
}

// Put implements persimmonvalve.Store.
func (v keyedClient) Put(ctx context.Context, topic pv.Topic, records []pv.KeyedRecord) error {
	_, _, err := v.Append(ctx, topic, pv.Writer{}, pv.AtAnyOffset, records)
	return err
}

// maxPageRecords limits the records of one page of Newest.
const maxPageRecords = 100

// Newest implements persimmonvalve.Store.
func (v keyedClient) Newest(ctx context.Context, topic pv.Topic, after string) (pv.KeyedPage, error) {
	if err := v.checkFaults(ctx); err != nil {
		return pv.KeyedPage{}, err
	}
	k := v.store
	k.mu.Lock()
	defer k.mu.Unlock()
	t := k.topic(topic)
	page := pv.KeyedPage{End: pv.Offset(len(t.records))}
	for _, key := range slices.Sorted(maps.Keys(t.newestIndex)) {
		if key <= after {
			continue
		}
		if len(page.Records) == maxPageRecords {
			page.More = true
			break
		}
		page.Records = append(page.Records, t.records[t.newestIndex[key]])
		page.Last = key
	}
	return page, nil
}

// Tail implements persimmonvalve.Store.
func (v keyedClient) Tail(ctx context.Context, topic pv.Topic, from pv.Offset, wait time.Duration) (pv.KeyedTail, error) {
	timeout := time.After(wait)
	for {
		if err := v.checkFaults(ctx); err != nil {
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
		case <-timeout:
			return tail, nil
		case <-ctx.Done():
			return pv.KeyedTail{}, ctx.Err()
		}
	}
}
