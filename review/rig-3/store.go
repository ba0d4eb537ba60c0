package main

// This file defines a stand-in of the platform's metadata store: the log with keyed topics, one
// partition each, with the limits that a process finds in its settings.

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

// Limits of the store, as under `platform` in the settings.
const (
	recordBytes   = 262144
	callBytes     = 2097152
	appendTime    = 4 * time.Millisecond
	ingressBytes  = 20 << 20 // a second
	maxReadBytes  = 1 << 20
	maxPageItems  = 500
	maxPageBytes  = 1 << 20
	repeatedCalls = 5
)

type record struct {
	key   string
	value []byte
	raw   []byte // as it was appended, with its length
}

type producer struct {
	epoch, sequence int64
	offsets         map[int64]int64
}

type topic struct {
	busy      sync.Mutex // a partition handles one append at a time
	records   []record
	newest    map[string]int
	producers map[string]*producer
}

type store struct {
	log     *recorder
	server  *http.Server
	address string

	mu      sync.Mutex
	topics  map[string]*topic
	changed chan struct{}
	refused int // appends beyond callBytes or recordBytes
}

func newStore(log *recorder) *store {
	s := &store{log: log, topics: map[string]*topic{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", s.append)
	mux.HandleFunc("GET /log-read", s.read)
	mux.HandleFunc("GET /log-newest", s.listNewest)
	listener, address := listen("127.0.0.1")
	s.address = address
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(listener) }()
	return s
}

func listen(ip string) (net.Listener, string) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		fail("cannot listen: %v", err)
	}
	return l, l.Addr().String()
}

func (s *store) topic(name string) *topic {
	t, ok := s.topics[name]
	if !ok {
		t = &topic{newest: map[string]int{}, producers: map[string]*producer{}}
		s.topics[name] = t
	}
	return t
}

func respond(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		fail("cannot encode a response: %v", err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func number(r *http.Request, name string, otherwise int64) int64 {
	n, err := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		return otherwise
	}
	return n
}

func parseRecords(body []byte) ([]record, bool) {
	var out []record
	for len(body) > 0 {
		if len(body) < 4 {
			return nil, false
		}
		n := 4 + int(binary.BigEndian.Uint32(body))
		if n > len(body) || n < 5 || n-4 > recordBytes || 5+int(body[4]) > n {
			return nil, false
		}
		raw := slices.Clone(body[:n])
		key := 5 + int(raw[4])
		out = append(out, record{key: string(raw[5:key]), value: raw[key:], raw: raw})
		body = body[n:]
	}
	return out, true
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	q := r.URL.Query()
	records, ok := parseRecords(body)
	if !ok || len(body) > callBytes {
		s.mu.Lock()
		s.refused++
		first := s.refused == 1
		s.mu.Unlock()
		if first {
			s.log.note("store", "the first append beyond the limits: %d bytes to %s by epoch %s, answered 413 (callBytes is %d, recordBytes %d)", len(body), q.Get("topic"), q.Get("epoch"), callBytes, recordBytes)
		}
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	s.mu.Lock()
	t := s.topic(q.Get("topic"))
	s.mu.Unlock()
	t.busy.Lock()
	defer t.busy.Unlock()
	time.Sleep(appendTime + time.Duration(len(body))*time.Second/ingressBytes)
	s.mu.Lock()
	defer s.mu.Unlock()
	end := int64(len(t.records))
	var p *producer
	sequence := number(r, "seq", 0)
	if name := q.Get("producer"); name != "" {
		epoch := number(r, "epoch", 0)
		p = t.producers[name]
		if p == nil || epoch > p.epoch {
			p = &producer{epoch: epoch, sequence: sequence - 1, offsets: map[int64]int64{}}
			t.producers[name] = p
		}
		if epoch < p.epoch {
			respond(w, http.StatusConflict, map[string]any{"reason": "fenced"})
			return
		}
		if offset, repeated := p.offsets[sequence]; repeated {
			respond(w, http.StatusOK, map[string]any{"offset": offset, "end": end})
			return
		}
		if len(records) > 0 && sequence != p.sequence+1 {
			respond(w, http.StatusConflict, map[string]any{"reason": "seq", "seq": p.sequence + 1})
			return
		}
	}
	if at := number(r, "at", -1); at >= 0 && at != end {
		respond(w, http.StatusPreconditionFailed, map[string]any{"end": end})
		return
	}
	for _, entry := range records {
		t.newest[entry.key] = len(t.records)
		if len(entry.value) == 0 {
			delete(t.newest, entry.key)
		}
		t.records = append(t.records, entry)
	}
	if p != nil && len(records) > 0 {
		p.sequence = sequence
		p.offsets[sequence] = end
		delete(p.offsets, sequence-repeatedCalls)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	respond(w, http.StatusOK, map[string]any{"offset": end, "end": int64(len(t.records))})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	from := number(r, "from", 0)
	timeout := time.After(time.Duration(number(r, "waitMs", 0)) * time.Millisecond)
	for {
		s.mu.Lock()
		t := s.topic(r.URL.Query().Get("topic"))
		end := int64(len(t.records))
		out := make([]byte, 16)
		binary.BigEndian.PutUint64(out, uint64(end))
		for i := from; i < end && (i == from || len(out)+len(t.records[i].raw) <= maxReadBytes); i++ {
			out = append(out, t.records[i].raw...)
		}
		changed := s.changed
		s.mu.Unlock()
		if len(out) > 16 {
			_, _ = w.Write(out)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			_, _ = w.Write(out)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) listNewest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	after := r.URL.Query().Get("after")
	s.mu.Lock()
	t := s.topic(r.URL.Query().Get("topic"))
	keys := make([]string, 0, len(t.newest))
	for key := range t.newest {
		if key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	items, bytes, more := []item{}, 0, false
	for _, key := range keys {
		value := t.records[t.newest[key]].value
		if len(items) == maxPageItems || len(items) > 0 && bytes+len(value) > maxPageBytes {
			more = true
			break
		}
		bytes += len(value)
		items = append(items, item{key, base64.StdEncoding.EncodeToString(value), t.newest[key]})
	}
	end := len(t.records)
	s.mu.Unlock()
	respond(w, http.StatusOK, map[string]any{"items": items, "morePages": more, "end": end})
}

// put writes a record as the operator.
func (s *store) put(topicName, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		fail("cannot encode a record: %v", err)
	}
	raw := binary.BigEndian.AppendUint32(nil, uint32(1+len(key)+len(data)))
	raw = append(append(append(raw, byte(len(key))), key...), data...)
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(topicName)
	t.newest[key] = len(t.records)
	t.records = append(t.records, record{key: key, value: data, raw: raw})
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) refusals() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused
}
