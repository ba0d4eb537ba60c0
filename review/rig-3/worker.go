package main

// This file defines a stand-in of a worker: a sound one, or one that fails all that it starts. It
// guards no capacity.

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of the platform, as under `bounds` in the settings.
const (
	heartbeatTime = 1100 * time.Millisecond
	maxLease      = 10 * time.Second // holdMaxMs
	stopTime      = 200 * time.Millisecond
	gangTime      = 3 * time.Second // gangMs
	maxEnds       = 500
)

// fleet holds what the workers share: the tasks that requesters have submitted, and the gangs.
type fleet struct {
	log *recorder

	mu    sync.Mutex
	jobs  map[string]job
	gangs map[string]map[*activeRun]bool // members that are present, by step and attempt
	// starts and doneTasks are judged at the end.
	starts    map[string]int // by task
	done      map[string]bool
	lastRunAt map[string]time.Time // by job: when a run of it was last at work
	open      map[string]int       // by job: runs at work
	ends      map[string][]string  // by job: how its runs have ended
}

func newFleet(log *recorder) *fleet {
	return &fleet{log: log, jobs: map[string]job{}, gangs: map[string]map[*activeRun]bool{}, starts: map[string]int{}, done: map[string]bool{}, lastRunAt: map[string]time.Time{}, open: map[string]int{}, ends: map[string][]string{}}
}

// stepOf returns the step of a task, whose name is ID.K.STEP.INDEX.
func (f *fleet) stepOf(task string) (phase, bool) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return phase{}, false
	}
	n, err := strconv.Atoi(parts[2])
	j, ok := f.jobs[parts[0]]
	if err != nil || !ok || n < 0 || n >= len(j.Phases) {
		return phase{}, false
	}
	return j.Phases[n], true
}

func jobOf(task string) string { return strings.SplitN(task, ".", 2)[0] }

func gangOf(task string, attempt int) string {
	return task[:strings.LastIndexByte(task, '.')] + "#" + strconv.Itoa(attempt)
}

type activeRun struct {
	worker    *worker
	task      string
	attempt   int
	step      phase
	startedAt time.Time
	stopping  bool
	timer     *time.Timer
}

type ended struct {
	number  int64
	task    string
	attempt int
	how     string
}

// worker is one machine's worker. Its fields are guarded by fleet.mu.
type worker struct {
	fleet   *fleet
	name    string // in the record
	address string
	control string // of the supervisor beside it
	zone    string
	labels  []string
	cores   int64
	grey    bool // it fails all that it starts

	server    *http.Server
	up        bool
	id        string
	boot      int // counts boots; timers of former ones are ignored
	born      int64
	startedAt time.Time
	sequence  int64
	fence     int64
	leaseEnd  time.Duration
	runs      map[string]*activeRun
	highest   map[string]int // attempts that were stopped or have ended here
	ended     []ended
	lastEnd   int64
	changed   chan struct{}
}

func newWorker(f *fleet, name, id, ip, zone string, labels []string, cores int64) *worker {
	l, address := listen(ip)
	_ = l.Close()
	return &worker{fleet: f, name: name, id: id, address: address, zone: zone, labels: labels, cores: cores}
}

// start boots the worker, with the time of day that its machine shows.
func (w *worker) start(timeOfDay time.Time) {
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		fail("worker %s: %v", w.name, err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", w.handle(w.runStart))
	mux.HandleFunc("POST /run-stop", w.handle(w.runStop))
	mux.HandleFunc("POST /pace", w.handle(func(order) (int, string) { return http.StatusOK, "" }))
	mux.HandleFunc("POST /hold", w.hold)
	w.fleet.mu.Lock()
	w.server = &http.Server{Handler: mux}
	w.up, w.boot, w.born, w.startedAt = true, w.boot+1, timeOfDay.UnixMilli(), time.Now()
	w.sequence, w.fence, w.leaseEnd, w.lastEnd = 0, 0, 0, 0
	w.runs, w.highest, w.ended, w.changed = map[string]*activeRun{}, map[string]int{}, nil, make(chan struct{})
	server, boot := w.server, w.boot
	w.fleet.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	w.fleet.log.note(w.name, "worker %s starts, born %d", w.id, w.born)
	go w.beat(boot)
}

// crash ends the worker at once, with all its runs and connections.
func (w *worker) crash() {
	w.fleet.mu.Lock()
	w.up = false
	w.boot++
	for _, r := range w.runs {
		w.fleet.log.note(w.name, "run %s#%d is lost with its worker", r.task, r.attempt)
		w.drop(r, "lost")
		w.breakGang(r)
	}
	w.runs = map[string]*activeRun{}
	server := w.server
	w.fleet.mu.Unlock()
	_ = server.Close()
	w.fleet.log.note(w.name, "worker %s crashes", w.id)
}

func (w *worker) clock() time.Duration { return time.Since(w.startedAt) }

// beat sends check-ins until the boot ends.
func (w *worker) beat(boot int) {
	client := &http.Client{Timeout: time.Second}
	for first := true; ; first = false {
		w.fleet.mu.Lock()
		if w.boot != boot {
			w.fleet.mu.Unlock()
			return
		}
		w.sequence++
		body, err := json.Marshal(map[string]any{
			"service": service, "addr": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
			"capacity": map[string]int64{"cpu": w.cores * 1000, "memMb": 128000, "gpu": 0}, "labels": w.labels,
			"clockMs": w.clock().Milliseconds(), "seq": w.sequence, "born": w.born,
		})
		id, sequence := w.id, w.sequence
		w.fleet.mu.Unlock()
		if err != nil {
			fail("cannot encode a check-in: %v", err)
		}
		status := 0
		if resp, err := client.Post("http://"+w.control+"/Instances.Heartbeat/"+id, "application/json", bytes.NewReader(body)); err == nil {
			status = resp.StatusCode
			_ = resp.Body.Close()
		}
		if first {
			w.fleet.log.note(w.name, "first check-in of the boot (seq %d): status %d", sequence, status)
		}
		time.Sleep(heartbeatTime)
	}
}

type order struct {
	Task         string `json:"task"`
	Attempt      int    `json:"attempt"`
	Spec         string `json:"spec"`
	UntilMS      int64  `json:"untilMs"`
	FencingToken int64  `json:"fencingToken"`
	AckSequence  int64  `json:"ackSeq"`
	WaitMS       int64  `json:"waitMs"`
}

// accept decodes an order and refuses one for another worker or with a lower fencing token. The
// caller holds fleet.mu.
func (w *worker) accept(rw http.ResponseWriter, r *http.Request) (order, bool) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return o, false
	}
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	if wanted := r.Header.Get("Expected-Instance"); wanted != "" && wanted != w.id {
		respond(rw, http.StatusMisdirectedRequest, map[string]any{"clockMs": w.clock().Milliseconds(), "born": w.born})
		return o, false
	}
	if o.FencingToken < w.fence {
		respond(rw, http.StatusConflict, map[string]any{"clockMs": w.clock().Milliseconds(), "born": w.born, "reason": "fence"})
		return o, false
	}
	w.fence = o.FencingToken
	return o, true
}

func (w *worker) handle(do func(order) (int, string)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		o, ok := w.accept(rw, r)
		if !ok {
			return
		}
		w.fleet.mu.Lock()
		status, reason := do(o)
		answer := map[string]any{"clockMs": w.clock().Milliseconds(), "born": w.born}
		w.fleet.mu.Unlock()
		if reason != "" {
			answer["reason"] = reason
		}
		respond(rw, status, answer)
	}
}

func (w *worker) extendLease(untilMS int64) {
	end := min(time.Duration(untilMS)*time.Millisecond, w.clock()+maxLease)
	if end <= w.leaseEnd {
		return
	}
	w.leaseEnd = end
	boot := w.boot
	time.AfterFunc(end-w.clock(), func() {
		w.fleet.mu.Lock()
		defer w.fleet.mu.Unlock()
		if w.boot != boot || w.clock() < w.leaseEnd {
			return
		}
		for _, r := range w.runs {
			w.end(r, "lapsed")
		}
	})
}

func (w *worker) runStart(o order) (int, string) {
	step, known := w.fleet.stepOf(o.Task)
	w.extendLease(o.UntilMS)
	if r, running := w.runs[o.Task]; running && r.attempt == o.Attempt {
		return http.StatusOK, ""
	}
	if o.Attempt <= w.highest[o.Task] {
		return http.StatusConflict, "old"
	}
	if w.leaseEnd <= w.clock() {
		return http.StatusConflict, "late"
	}
	w.fleet.starts[o.Task]++
	w.fleet.log.note(w.name, "run-start %s#%d token %d%s", o.Task, o.Attempt, o.FencingToken, map[bool]string{false: ", which no requester sent"}[known])
	r := &activeRun{worker: w, task: o.Task, attempt: o.Attempt, step: step, startedAt: time.Now()}
	w.runs[o.Task] = r
	w.fleet.open[jobOf(o.Task)]++
	switch {
	case w.grey:
		w.end(r, "failed")
	case step.Gang:
		w.joinGang(r)
	case !step.Persistent:
		w.endAfter(r, time.Duration(step.EstimateMS)*time.Millisecond, "done")
	}
	return http.StatusOK, ""
}

func (w *worker) endAfter(r *activeRun, d time.Duration, how string) {
	boot := w.boot
	r.timer = time.AfterFunc(d, func() {
		w.fleet.mu.Lock()
		defer w.fleet.mu.Unlock()
		if w.boot == boot {
			w.end(r, how)
		}
	})
}

// joinGang adds a run to its gang, whose members work once all are present.
func (w *worker) joinGang(r *activeRun) {
	key := gangOf(r.task, r.attempt)
	if w.fleet.gangs[key] == nil {
		w.fleet.gangs[key] = map[*activeRun]bool{}
	}
	w.fleet.gangs[key][r] = true
	if len(w.fleet.gangs[key]) < r.step.Count {
		w.endAfter(r, gangTime, "alone")
		return
	}
	for member := range w.fleet.gangs[key] {
		if member.timer != nil {
			member.timer.Stop()
		}
		member.worker.endAfter(member, time.Duration(r.step.EstimateMS)*time.Millisecond, "done")
	}
}

// breakGang ends the other members of the gang of a run that has ended otherwise than done.
func (w *worker) breakGang(r *activeRun) {
	key := gangOf(r.task, r.attempt)
	members := w.fleet.gangs[key]
	delete(w.fleet.gangs, key)
	for member := range members {
		if member != r {
			member.worker.end(member, "broken")
		}
	}
}

func (w *worker) drop(r *activeRun, how string) {
	if r.timer != nil {
		r.timer.Stop()
	}
	id := jobOf(r.task)
	w.fleet.open[id]--
	w.fleet.lastRunAt[id] = time.Now()
	w.fleet.ends[id] = append(w.fleet.ends[id], how)
}

func (w *worker) end(r *activeRun, how string) {
	if w.runs[r.task] != r {
		return
	}
	delete(w.runs, r.task)
	w.drop(r, how)
	w.highest[r.task] = max(w.highest[r.task], r.attempt)
	if how == "done" {
		w.fleet.done[r.task] = true
	}
	w.fleet.log.note(w.name, "run %s#%d ends: %s", r.task, r.attempt, how)
	w.lastEnd++
	w.ended = append(w.ended, ended{w.lastEnd, r.task, r.attempt, how})
	close(w.changed)
	w.changed = make(chan struct{})
	if r.step.Gang && how != "done" {
		w.breakGang(r)
	}
}

func (w *worker) runStop(o order) (int, string) {
	w.highest[o.Task] = max(w.highest[o.Task], o.Attempt)
	if r, running := w.runs[o.Task]; running && r.attempt <= o.Attempt && !r.stopping {
		w.fleet.log.note(w.name, "run-stop %s#%d", o.Task, o.Attempt)
		r.stopping = true
		if r.timer != nil {
			r.timer.Stop()
		}
		w.endAfter(r, stopTime, "stopped")
	}
	return http.StatusOK, ""
}

func (w *worker) hold(rw http.ResponseWriter, r *http.Request) {
	o, ok := w.accept(rw, r)
	if !ok {
		return
	}
	w.fleet.mu.Lock()
	w.extendLease(o.UntilMS)
	w.ended = slices.DeleteFunc(w.ended, func(e ended) bool { return e.number <= o.AckSequence })
	if len(w.ended) == 0 && o.WaitMS > 0 {
		changed := w.changed
		w.fleet.mu.Unlock()
		ctx, cancel := context.WithTimeout(r.Context(), time.Duration(o.WaitMS)*time.Millisecond)
		select {
		case <-changed:
		case <-ctx.Done():
		}
		cancel()
		w.fleet.mu.Lock()
	}
	running, ends := [][]any{}, [][]any{}
	for _, run := range w.runs {
		percent := 100
		if !run.step.Persistent {
			percent = int(min(99, 100*time.Since(run.startedAt).Milliseconds()/max(1, run.step.EstimateMS)))
		}
		running = append(running, []any{run.task, run.attempt, "", percent, run.step.CPU})
	}
	for _, e := range w.ended[:min(len(w.ended), maxEnds)] {
		ends = append(ends, []any{e.number, e.task, e.attempt, e.how, ""})
	}
	answer := map[string]any{"clockMs": w.clock().Milliseconds(), "born": w.born, "running": running, "ended": ends}
	w.fleet.mu.Unlock()
	respond(rw, http.StatusOK, answer)
}
