package main

// This file defines a stand-in of the platform's metadata store: keyed topics with one
// partition, conditional and idempotent appends, and the limits of the settings.

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store, from the settings of the site.
const (
	recordBytes   = 262144
	callBytes     = 2097152
	appendTime    = 4 * time.Millisecond
	pageItems     = 500
	pageBytes     = 1 << 20
	readBytes     = 1 << 20
	keptSequences = 5
)

type record struct {
	key   string
	value []byte
	raw   []byte
}

type producer struct {
	epoch, sequence int64
	answers         map[int64]string // first answers, by sequence number
}

type topic struct {
	records   []record
	newest    map[string]int
	producers map[string]*producer
	appending sync.Mutex // a partition processes its appends one at a time
}

type store struct {
	mu        sync.Mutex
	topics    map[string]*topic
	changed   chan struct{}
	down      chan struct{}  // closed when the store is back; nil while it is up
	oversized map[string]int // appends refused for their size, by reason
	largest   map[string]int // largest record offered, by key
}

func newStore() *store {
	return &store{topics: map[string]*topic{}, changed: make(chan struct{}), oversized: map[string]int{}, largest: map[string]int{}}
}

func (s *store) topic(name string) *topic {
	t, ok := s.topics[name]
	if !ok {
		t = &topic{newest: map[string]int{}, producers: map[string]*producer{}}
		s.topics[name] = t
	}
	return t
}

// put appends a record on behalf of the operator.
func (s *store) put(name, key string, value []byte) {
	raw := append([]byte{byte(len(key))}, key...)
	raw = append(raw, value...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(s.topic(name), []record{{key, value, raw}})
}

func (s *store) add(t *topic, records []record) {
	for _, r := range records {
		t.newest[r.key] = len(t.records)
		if len(r.value) == 0 {
			delete(t.newest, r.key)
		}
		t.records = append(t.records, r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// setDown makes the store leave all calls unanswered and undone, or ends that.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if down {
		s.down = make(chan struct{})
	} else {
		close(s.down)
		s.down = nil
	}
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if down != nil {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done() // the caller gives up
		panic(http.ErrAbortHandler)
	}
	switch r.Method + " " + r.URL.Path {
	case "POST /log-append":
		s.serveAppend(w, r)
	case "GET /log-newest":
		s.serveNewest(w, r)
	case "GET /log-read":
		s.serveRead(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// splitRecords decodes the body of an append.
func splitRecords(body []byte) (out []record, ok bool) {
	for len(body) > 0 {
		if len(body) < 4 {
			return nil, false
		}
		n := int(binary.BigEndian.Uint32(body))
		body = body[4:]
		if n > len(body) || n < 1 || int(body[0]) >= n {
			return nil, false
		}
		raw := body[:n]
		body = body[n:]
		out = append(out, record{string(raw[1 : 1+int(raw[0])]), raw[1+int(raw[0]):], raw})
	}
	return out, true
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	name := q.Get("topic")
	if name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	records, ok := splitRecords(body)
	if !ok {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	t := s.topic(name)
	tooLarge := ""
	for _, rec := range records {
		s.largest[rec.key] = max(s.largest[rec.key], len(rec.raw))
		if len(rec.raw) > recordBytes {
			tooLarge = "record " + rec.key
		}
	}
	if len(body) > callBytes {
		tooLarge = "call"
	}
	if tooLarge != "" {
		s.oversized[tooLarge]++
	}
	s.mu.Unlock()
	if tooLarge != "" {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	t.appending.Lock()
	defer t.appending.Unlock()
	time.Sleep(appendTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	var p *producer
	sequence := int64(0)
	if id := q.Get("producer"); id != "" {
		epoch, _ := strconv.ParseInt(q.Get("epoch"), 10, 64)
		sequence, _ = strconv.ParseInt(q.Get("seq"), 10, 64)
		p = t.producers[id]
		if p == nil {
			p = &producer{epoch: -1}
			t.producers[id] = p
		}
		if epoch < p.epoch {
			reply(w, http.StatusConflict, map[string]any{"reason": "fenced"})
			return
		}
		if epoch > p.epoch {
			*p = producer{epoch: epoch, sequence: sequence - 1, answers: map[int64]string{}}
		}
		if first, repeated := p.answers[sequence]; repeated {
			w.Header().Set("Content-Type", "application/json")
			_, _ = io.WriteString(w, first)
			return
		}
		if sequence != p.sequence+1 {
			reply(w, http.StatusConflict, map[string]any{"reason": "seq", "seq": p.sequence + 1})
			return
		}
	}
	end := int64(len(t.records))
	if at := q.Get("at"); at != "" {
		if want, _ := strconv.ParseInt(at, 10, 64); want != end {
			reply(w, http.StatusPreconditionFailed, map[string]any{"end": end})
			return
		}
	}
	s.add(t, records)
	answer, _ := json.Marshal(map[string]int64{"offset": end, "end": int64(len(t.records))})
	if p != nil {
		p.sequence = sequence
		p.answers[sequence] = string(answer)
		delete(p.answers, sequence-keptSequences)
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(answer)
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	time.Sleep(appendTime)
	after := r.URL.Query().Get("after")
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	out := struct {
		Items []item `json:"items"`
		More  bool   `json:"morePages"`
		End   int    `json:"end"`
	}{Items: []item{}}
	s.mu.Lock()
	t := s.topic(r.URL.Query().Get("topic"))
	keys := make([]string, 0, len(t.newest))
	for k := range t.newest {
		if k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	size := 0
	for _, k := range keys {
		rec := t.records[t.newest[k]]
		if len(out.Items) == pageItems || size > 0 && size+len(rec.value)*4/3 > pageBytes {
			out.More = true
			break
		}
		size += len(rec.value) * 4 / 3
		out.Items = append(out.Items, item{k, base64.StdEncoding.EncodeToString(rec.value), t.newest[k]})
	}
	out.End = len(t.records)
	s.mu.Unlock()
	reply(w, http.StatusOK, out)
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	waitMS, _ := strconv.Atoi(q.Get("waitMs"))
	timeout := time.After(time.Duration(min(waitMS, 30000)) * time.Millisecond)
	time.Sleep(appendTime)
	for {
		s.mu.Lock()
		t := s.topic(q.Get("topic"))
		changed := s.changed
		end := len(t.records)
		var body []byte
		if from < end {
			for _, rec := range t.records[from:] {
				if len(body) > 0 && len(body)+len(rec.raw)+4 > readBytes {
					break
				}
				body = binary.BigEndian.AppendUint32(body, uint32(len(rec.raw)))
				body = append(body, rec.raw...)
			}
		}
		s.mu.Unlock()
		expired := false
		if len(body) == 0 {
			select {
			case <-changed:
				continue
			case <-timeout:
				expired = true
			case <-r.Context().Done():
				return
			}
		}
		header := binary.BigEndian.AppendUint64(nil, uint64(end))
		header = binary.BigEndian.AppendUint64(header, 0)
		w.Header().Set("Content-Type", "application/octet-stream")
		_, _ = w.Write(append(header, body...))
		_ = expired
		return
	}
}

// summary describes what was refused for its size, for the record.
func (s *store) summary() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var b strings.Builder
	for reason, n := range s.oversized {
		b.WriteString("refused as too large: " + reason + ", " + strconv.Itoa(n) + " times\n")
	}
	for key, n := range s.largest {
		if n > recordBytes/8 {
			b.WriteString("largest record offered under key " + key + ": " + strconv.Itoa(n) + " bytes\n")
		}
	}
	return b.String()
}
