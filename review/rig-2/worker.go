//go:build reviewrig

package main

// This file defines a worker as the platform's pages describe it: it starts what it is told
// to start under a lease and a fencing token, lists its runs, and sends check-ins to the
// supervisor on its machine.

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeatInterval = 1100 * time.Millisecond
	heartbeatTimeout  = time.Second
	stopDuration      = 200 * time.Millisecond // below stopMs
	maxLease          = 10 * time.Second       // holdMaxMs
	gangTimeout       = 3 * time.Second        // gangMs
	maxListedEnds     = 500
)

// runTimes are the directives that a spec of a case may contain, as "run=1500;gang=3":
// how long its tasks run in milliseconds (0 is until they are stopped), and how many
// members its gang has.
func directive(spec, name string) int {
	for _, part := range strings.Split(spec, ";") {
		if value, ok := strings.CutPrefix(part, name+"="); ok {
			n, _ := strconv.Atoi(value)
			return n
		}
	}
	return 0
}

type runKey struct {
	task    string
	attempt int
}

type activeRun struct {
	runKey
	spec      string
	startedAt time.Time
	stopping  bool
}

// runSpan is one run as a worker has seen it. It ends at endedAt, or still goes on.
type runSpan struct {
	runKey
	worker    string
	startedAt time.Time
	endedAt   time.Time
	how       string
}

type runEnd struct {
	number int
	runKey
	how string
}

// worker is a worker at one address; each boot has an id of its own or keeps the former.
type worker struct {
	site     *site
	address  string // of its API
	control  string // of the supervisor on its machine
	service  string
	rack     string
	cpu, mem int

	mu         sync.Mutex
	id         string
	server     *http.Server
	up         bool
	boot       int // counts boots; timers of former boots are ignored
	bornAt     time.Time
	bornUnixMS int64         // by the machine's time of day at the start
	clockJump  time.Duration // of the machine's time of day, for born; the worker's own clock is steady
	token      int64
	leaseEnd   time.Duration
	runs       map[runKey]*activeRun
	highest    map[string]int // by task: highest attempt stopped or ended
	ends       []runEnd
	lastNumber int
	sequence   int
	changed    chan struct{}
}

func (w *worker) clock() time.Duration { return time.Since(w.bornAt) }

// start boots the worker under an id.
func (w *worker) start(id string) error {
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.boot++
	w.id, w.up, w.bornAt, w.token, w.leaseEnd = id, true, time.Now(), 0, 0
	w.bornUnixMS = w.bornAt.Add(w.clockJump).UnixMilli()
	w.runs, w.highest, w.ends, w.lastNumber, w.sequence = map[runKey]*activeRun{}, map[string]int{}, nil, 0, 0
	w.changed = make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", w.order(w.handleStart))
	mux.HandleFunc("POST /run-stop", w.order(w.handleStop))
	mux.HandleFunc("POST /hold", w.order(w.handleHold))
	mux.HandleFunc("POST /pace", w.order(w.handlePace))
	w.server = &http.Server{Handler: mux}
	go func(server *http.Server) { _ = server.Serve(l) }(w.server)
	boot := w.boot
	go func() {
		for w.beat(boot) {
			time.Sleep(heartbeatInterval)
		}
	}()
	go func() {
		for w.expireLease(boot) {
			time.Sleep(10 * time.Millisecond)
		}
	}()
	w.site.rec.addf("worker %s up at %s (service %s, %d millicores, %d MB, born %d)", id, w.address, w.service, w.cpu, w.mem, w.bornUnixMS)
	return nil
}

// crash ends the worker at once; its connections are reset.
func (w *worker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up {
		return
	}
	w.up = false
	w.boot++
	for _, r := range w.runs {
		w.site.ended(r.runKey, w.id, "lost with its worker")
	}
	w.runs = nil
	_ = w.server.Close()
	w.site.rec.addf("worker %s is gone", w.id)
}

func (w *worker) beat(boot int) bool {
	w.mu.Lock()
	if w.boot != boot {
		w.mu.Unlock()
		return false
	}
	w.sequence++
	id := w.id
	body := map[string]any{
		"service": w.service, "addr": w.address, "zone": "sur-mvd", "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
		"capacity": map[string]int{"cpu": w.cpu, "memMb": w.mem, "gpu": 0}, "labels": []string{"a", w.rack},
		"clockMs": w.clock().Milliseconds(), "seq": w.sequence, "born": w.bornUnixMS,
	}
	w.mu.Unlock()
	go func() { _ = w.post("/Instances.Heartbeat/"+id, body, heartbeatTimeout) }()
	return true
}

// post sends a message to the supervisor, on a connection of its own.
func (w *worker) post(path string, body any, timeout time.Duration) error {
	data, _ := json.Marshal(body)
	client := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Post("http://"+w.control+path, "application/json", bytes.NewReader(data))
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode/100 != 2 {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return nil
}

func (w *worker) expireLease(boot int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.boot != boot {
		return false
	}
	if w.clock() > w.leaseEnd {
		for _, r := range w.runs {
			w.endRun(r, "lapsed")
		}
	}
	return true
}

// endRun lists the end of a run. The caller holds the lock.
func (w *worker) endRun(r *activeRun, how string) {
	if w.runs[r.runKey] != r {
		return
	}
	delete(w.runs, r.runKey)
	w.highest[r.task] = max(w.highest[r.task], r.attempt)
	w.lastNumber++
	w.ends = append(w.ends, runEnd{w.lastNumber, r.runKey, how})
	w.site.ended(r.runKey, w.id, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

// endLater ends a run of the present boot after d. The caller holds the lock.
func (w *worker) endLater(r *activeRun, d time.Duration, how string) {
	boot := w.boot
	time.AfterFunc(d, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.boot == boot {
			w.endRun(r, how)
		}
	})
}

// orderBody is the body of an order.
type orderBody struct {
	Task    string `json:"task"`
	Attempt int    `json:"attempt"`
	Spec    string `json:"spec"`
	UntilMS int64  `json:"untilMs"`
	Token   int64  `json:"fencingToken"`
	Ack     int    `json:"ackSeq"`
	WaitMS  int64  `json:"waitMs"`
}

// order returns the handler of one kind of order. The handler is called with the lock held
// once the id and the fencing token have been checked, and returns the status and the body.
func (w *worker) order(handle func(*http.Request, orderBody) (int, map[string]any)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var o orderBody
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		status, body := http.StatusMisdirectedRequest, map[string]any{}
		switch expected := r.Header.Get("Expected-Instance"); {
		case !w.up || expected != "" && expected != w.id:
		case o.Token < w.token:
			status, body["reason"] = http.StatusConflict, "fence"
		default:
			w.token = o.Token
			status, body = handle(r, o)
		}
		body["clockMs"], body["born"] = w.clock().Milliseconds(), w.bornUnixMS
		answer(rw, status, body)
	}
}

func (w *worker) extendLease(untilMS int64) {
	w.leaseEnd = max(w.leaseEnd, min(time.Duration(untilMS)*time.Millisecond, w.clock()+maxLease))
}

func conflict(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"reason": reason}
}

func (w *worker) handleStart(_ *http.Request, o orderBody) (int, map[string]any) {
	key := runKey{o.Task, o.Attempt}
	if o.UntilMS <= w.clock().Milliseconds() {
		return conflict("late")
	}
	w.extendLease(o.UntilMS)
	if _, ok := w.runs[key]; ok {
		return http.StatusOK, map[string]any{}
	}
	if o.Attempt <= w.highest[o.Task] {
		return conflict("old")
	}
	r := &activeRun{runKey: key, spec: o.Spec, startedAt: time.Now()}
	w.runs[key] = r
	w.site.started(key, w.id)
	if d := directive(o.Spec, "run"); directive(o.Spec, "gang") > 0 {
		w.site.joinGang(w, r, directive(o.Spec, "gang"), time.Duration(d)*time.Millisecond)
	} else if d > 0 {
		w.endLater(r, time.Duration(d)*time.Millisecond, "done")
	}
	return http.StatusOK, map[string]any{}
}

func (w *worker) handleStop(_ *http.Request, o orderBody) (int, map[string]any) {
	w.highest[o.Task] = max(w.highest[o.Task], o.Attempt)
	if r, ok := w.runs[runKey{o.Task, o.Attempt}]; ok && !r.stopping {
		r.stopping = true
		w.endLater(r, stopDuration, "stopped")
	}
	return http.StatusOK, map[string]any{}
}

func (w *worker) handlePace(_ *http.Request, o orderBody) (int, map[string]any) {
	return http.StatusOK, map[string]any{}
}

func (w *worker) handleHold(r *http.Request, o orderBody) (int, map[string]any) {
	if o.UntilMS > 0 {
		w.extendLease(o.UntilMS)
	}
	w.ends = slices.DeleteFunc(w.ends, func(e runEnd) bool { return e.number <= o.Ack })
	boot, timer := w.boot, time.NewTimer(min(2*time.Second, time.Duration(o.WaitMS)*time.Millisecond))
	defer timer.Stop()
	for waiting := o.WaitMS > 0; waiting && len(w.ends) == 0 && w.boot == boot; {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		w.mu.Lock()
	}
	running, ended := [][]any{}, [][]any{}
	for _, run := range w.runs {
		percent, measured := 100, 0
		if d := directive(run.spec, "run"); d > 0 {
			percent = min(99, int(100*time.Since(run.startedAt).Milliseconds())/d)
		}
		if tail := directive(run.spec, "tail"); tail > 0 {
			measured = tail
		}
		running = append(running, []any{run.task, run.attempt, "", percent, measured})
	}
	for _, e := range w.ends[:min(len(w.ends), maxListedEnds)] {
		ended = append(ended, []any{e.number, e.task, e.attempt, e.how, ""})
	}
	return http.StatusOK, map[string]any{"running": running, "ended": ended}
}
