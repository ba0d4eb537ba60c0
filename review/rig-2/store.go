//go:build reviewrig

package main

// This file defines the platform's store: keyed topics with one partition, conditional
// appends and producer epochs.

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	appendTime      = 4 * time.Millisecond // of one append; appends to a topic are processed one at a time
	maxPageRecords  = 500
	maxReadBytes    = 1 << 20
	keptFirstOffset = 5 // appends of a producer whose first answer is repeated
)

type keyedRecord struct {
	key   string
	value []byte
}

type producer struct {
	epoch, sequence int64
	offsets         map[int64]int // by sequence number
}

type topic struct {
	appending sync.Mutex
	records   []keyedRecord
	newest    map[string]int // offset by key
	producers map[string]*producer
}

type store struct {
	mu      sync.Mutex
	topics  map[string]*topic
	changed chan struct{} // closed and replaced by each append
}

func newStore(l net.Listener) *store {
	s := &store{topics: map[string]*topic{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", s.handleAppend)
	mux.HandleFunc("GET /log-read", s.handleRead)
	mux.HandleFunc("GET /log-newest", s.handleNewest)
	go func() { _ = http.Serve(l, mux) }()
	return s
}

func (s *store) topic(name string) *topic {
	t, ok := s.topics[name]
	if !ok {
		t = &topic{newest: map[string]int{}, producers: map[string]*producer{}}
		s.topics[name] = t
	}
	return t
}

// put writes a record as the operator does.
func (s *store) put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(s.topic(name), []keyedRecord{{key, value}})
}

func (s *store) add(t *topic, records []keyedRecord) {
	for _, r := range records {
		if len(r.value) == 0 {
			delete(t.newest, r.key)
		} else {
			t.newest[r.key] = len(t.records)
		}
		t.records = append(t.records, r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func decodeRecords(data []byte) ([]keyedRecord, bool) {
	var out []keyedRecord
	for len(data) > 0 {
		if len(data) < 5 {
			return nil, false
		}
		n := int(binary.BigEndian.Uint32(data))
		if n < 1 || 4+n > len(data) || 1+int(data[4]) > n {
			return nil, false
		}
		body := data[4 : 4+n]
		out = append(out, keyedRecord{string(body[1 : 1+body[0]]), slices.Clone(body[1+body[0]:])})
		data = data[4+n:]
	}
	return out, true
}

func answer(w http.ResponseWriter, status int, body any) {
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func number(r *http.Request, name string) int64 {
	n, _ := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	return n
}

func (s *store) handleAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	records, ok := decodeRecords(data)
	if !ok {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	q := r.URL.Query()
	s.mu.Lock()
	t := s.topic(q.Get("topic"))
	s.mu.Unlock()
	t.appending.Lock()
	defer t.appending.Unlock()
	time.Sleep(appendTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	if q.Has("at") && number(r, "at") != int64(len(t.records)) {
		answer(w, http.StatusPreconditionFailed, map[string]int{"end": len(t.records)})
		return
	}
	if name := q.Get("producer"); name != "" {
		epoch, sequence := number(r, "epoch"), number(r, "seq")
		p := t.producers[name]
		if p == nil || epoch > p.epoch {
			p = &producer{epoch: epoch, sequence: sequence - 1, offsets: map[int64]int{}}
			t.producers[name] = p
		}
		if epoch < p.epoch {
			answer(w, http.StatusConflict, map[string]any{"reason": "fenced"})
			return
		}
		if offset, repeated := p.offsets[sequence]; repeated {
			answer(w, http.StatusOK, map[string]int{"offset": offset, "end": len(t.records)})
			return
		}
		if sequence != p.sequence+1 {
			answer(w, http.StatusConflict, map[string]any{"reason": "seq", "seq": p.sequence + 1})
			return
		}
		p.sequence = sequence
		p.offsets[sequence] = len(t.records)
		delete(p.offsets, sequence-keptFirstOffset)
	}
	offset := len(t.records)
	if len(records) > 0 {
		s.add(t, records)
	}
	answer(w, http.StatusOK, map[string]int{"offset": offset, "end": len(t.records)})
}

func (s *store) handleRead(w http.ResponseWriter, r *http.Request) {
	from := int(number(r, "from"))
	timer := time.NewTimer(time.Duration(number(r, "waitMs")) * time.Millisecond)
	defer timer.Stop()
	for waiting := true; ; {
		s.mu.Lock()
		t, changed := s.topic(r.URL.Query().Get("topic")), s.changed
		records := t.records
		s.mu.Unlock()
		if from < len(records) || !waiting {
			w.WriteHeader(http.StatusOK)
			_, _ = w.Write(encodeRead(records, from))
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func encodeRead(records []keyedRecord, from int) []byte {
	out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for i := from; i < len(records) && len(out) < maxReadBytes; i++ {
		r := records[i]
		out = binary.BigEndian.AppendUint32(out, uint32(1+len(r.key)+len(r.value)))
		out = append(append(append(out, byte(len(r.key))), r.key...), r.value...)
	}
	return out
}

func (s *store) handleNewest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t, after := s.topic(r.URL.Query().Get("topic")), r.URL.Query().Get("after")
	var keys []string
	for k := range t.newest {
		if k > after {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	more := len(keys) > maxPageRecords
	items := []item{}
	for _, k := range keys[:min(len(keys), maxPageRecords)] {
		items = append(items, item{k, base64.StdEncoding.EncodeToString(t.records[t.newest[k]].value), t.newest[k]})
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "morePages": more, "end": len(t.records)})
}
