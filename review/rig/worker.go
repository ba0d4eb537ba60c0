package main

// This file defines a stand-in of a worker, which runs as a process of its own: it serves
// the orders of the process beside it, sends check-ins to it, and writes what happens to
// an event file. What a task does stands in its spec, as words NAME=VALUE:
//
//	ms=N       it ends "done" after N ms of work; without it, it runs until it is stopped
//	tail=N     its tail latency in ms, if it serves users
//	cpu=N      the cpu that it uses, in thousandths of a core
//
// On SIGUSR1 the worker leaves as PROTOCOL.md says: it reports that it drains, goes on for
// drainMs after the ack, deregisters, and ends; without an ack it ends --linger-ms later.

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the site.
const (
	stopTime       = 300 * time.Millisecond // of at most stopMs, 900 ms
	holdMax        = 10 * time.Second
	checkInTimeout = time.Second
	heartbeatEvery = 1100 * time.Millisecond
	drainTime      = 2500 * time.Millisecond
	startupTime    = 400 * time.Millisecond // of a task that lasts
	maxListedEnds  = 500
)

type event struct {
	AtUS   int64  `json:"us"` // Unix microseconds
	Worker string `json:"worker"`
	Kind   string `json:"event"`
	Task   string `json:"task,omitempty"`
	Run    int    `json:"run,omitempty"`
	How    string `json:"how,omitempty"`
	Token  int64  `json:"token,omitempty"`
}

type activeRun struct {
	task     string
	attempt  int
	spec     string
	began    time.Time
	stopping bool
	percent  int // pace
}

type endedRun struct {
	number int64
	row    []any
	task   string
	run    int
	how    string
	lapsed bool // the lease lapsed after it was listed
}

type worker struct {
	id, service, zone string
	address           string
	labels            []string
	cpu, memory       int64
	control           string
	born              int64
	linger            time.Duration
	events            *os.File

	mu       sync.Mutex
	started  time.Time
	token    int64
	leaseEnd time.Duration
	timer    *time.Timer
	runs     map[string]*activeRun
	highest  map[string]int
	ended    []*endedRun
	number   int64
	changed  chan struct{}
	draining bool
	leaving  bool // it has sent its deregistration
	sequence int64
}

func (w *worker) log(e event) {
	e.AtUS, e.Worker = time.Now().UnixMicro(), w.id
	data, _ := json.Marshal(e)
	_, _ = w.events.Write(append(data, '\n'))
}

func (w *worker) clock() time.Duration { return time.Since(w.started) }

func specNumber(spec, name string) (int, bool) {
	for word := range strings.FieldsSeq(spec) {
		if value, ok := strings.CutPrefix(word, name+"="); ok {
			n, err := strconv.Atoi(value)
			return n, err == nil
		}
	}
	return 0, false
}

// endRun ends a run. The caller holds w.mu.
func (w *worker) endRun(r *activeRun, how string) {
	if w.runs[r.task] != r {
		return
	}
	delete(w.runs, r.task)
	w.highest[r.task] = max(w.highest[r.task], r.attempt)
	w.number++
	w.ended = append(w.ended, &endedRun{number: w.number, row: []any{w.number, r.task, r.attempt, how, ""}, task: r.task, run: r.attempt, how: how})
	w.log(event{Kind: "end", Task: r.task, Run: r.attempt, How: how})
	close(w.changed)
	w.changed = make(chan struct{})
}

// extendLease extends the lease to a reading of the worker's clock. The caller holds w.mu.
func (w *worker) extendLease(untilMS int64) {
	end := min(time.Duration(untilMS)*time.Millisecond, w.clock()+holdMax)
	if end <= w.leaseEnd {
		return
	}
	w.leaseEnd = end
	if w.timer != nil {
		w.timer.Stop()
	}
	w.timer = time.AfterFunc(end-w.clock(), func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.clock() < w.leaseEnd {
			return
		}
		w.log(event{Kind: "lease lapsed"})
		for _, r := range w.runs {
			w.endRun(r, "lapsed")
		}
		for _, e := range w.ended {
			e.lapsed = true
		}
	})
}

func (w *worker) answer(rw http.ResponseWriter, status int, fields map[string]any) {
	fields["clockMs"] = w.clock().Milliseconds()
	fields["born"] = w.born
	reply(rw, status, fields)
}

type order struct {
	Task    string `json:"task"`
	Attempt int    `json:"attempt"`
	Spec    string `json:"spec"`
	UntilMS int64  `json:"untilMs"`
	Token   int64  `json:"fencingToken"`
	AckSeq  int64  `json:"ackSeq"`
	WaitMS  int    `json:"waitMs"`
	Percent int    `json:"percent"`
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		rw.WriteHeader(http.StatusOK)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var o order
	if json.Unmarshal(body, &o) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if o.Token < w.token {
		w.answer(rw, http.StatusConflict, map[string]any{"reason": "fence"})
		return
	}
	w.token = o.Token
	switch r.URL.Path {
	case "/run-start":
		w.start(rw, o)
	case "/run-stop":
		w.highest[o.Task] = max(w.highest[o.Task], o.Attempt)
		if run := w.runs[o.Task]; run != nil && run.attempt <= o.Attempt && !run.stopping {
			run.stopping = true
			w.log(event{Kind: "stop ordered", Task: o.Task, Run: o.Attempt, Token: o.Token})
			time.AfterFunc(stopTime, func() {
				w.mu.Lock()
				defer w.mu.Unlock()
				w.endRun(run, "stopped")
			})
		}
		w.answer(rw, http.StatusOK, map[string]any{})
	case "/pace":
		if run := w.runs[o.Task]; run != nil {
			run.percent = o.Percent
		}
		w.answer(rw, http.StatusOK, map[string]any{})
	case "/hold":
		w.hold(rw, r, o)
	default:
		rw.WriteHeader(http.StatusNotFound)
	}
}

func (w *worker) start(rw http.ResponseWriter, o order) {
	if time.Duration(o.UntilMS)*time.Millisecond <= w.clock() {
		w.answer(rw, http.StatusConflict, map[string]any{"reason": "late"})
		return
	}
	w.extendLease(o.UntilMS)
	if run := w.runs[o.Task]; run != nil && run.attempt == o.Attempt {
		w.answer(rw, http.StatusOK, map[string]any{})
		return
	}
	if o.Attempt <= w.highest[o.Task] || w.runs[o.Task] != nil {
		w.answer(rw, http.StatusConflict, map[string]any{"reason": "old"})
		return
	}
	run := &activeRun{task: o.Task, attempt: o.Attempt, spec: o.Spec, began: time.Now(), percent: 100}
	w.runs[o.Task] = run
	w.log(event{Kind: "start", Task: o.Task, Run: o.Attempt, Token: o.Token})
	if ms, ok := specNumber(o.Spec, "ms"); ok {
		time.AfterFunc(time.Duration(ms)*time.Millisecond, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if !run.stopping {
				w.endRun(run, "done")
			}
		})
	}
	w.answer(rw, http.StatusOK, map[string]any{})
}

func (w *worker) hold(rw http.ResponseWriter, r *http.Request, o order) {
	if o.UntilMS > 0 {
		w.extendLease(o.UntilMS)
	}
	for len(w.ended) > 0 && w.ended[0].number <= o.AckSeq {
		if e := w.ended[0]; !e.lapsed {
			w.log(event{Kind: "end noted", Task: e.task, Run: e.run, How: e.how})
		}
		w.ended = w.ended[1:]
	}
	if len(w.ended) == 0 && o.WaitMS > 0 {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond):
		case <-r.Context().Done():
		}
		w.mu.Lock()
	}
	running, ended := []any{}, []any{}
	for _, run := range w.runs {
		percent, figure := 100, 0
		if ms, ok := specNumber(run.spec, "ms"); ok {
			percent = min(99, int(time.Since(run.began).Milliseconds())*100/max(1, ms))
		} else if time.Since(run.began) < startupTime {
			percent = 0
		}
		if cpu, ok := specNumber(run.spec, "cpu"); ok {
			figure = cpu * run.percent / 100
		}
		if tail, ok := specNumber(run.spec, "tail"); ok {
			figure = tail
		}
		running = append(running, []any{run.task, run.attempt, "", percent, figure})
	}
	for _, e := range w.ended[:min(len(w.ended), maxListedEnds)] {
		ended = append(ended, e.row)
	}
	w.answer(rw, http.StatusOK, map[string]any{"running": running, "ended": ended})
}

// checkIn posts a message to the process beside the worker and reports whether it was
// acknowledged in time.
func (w *worker) checkIn(path string, fields map[string]any) bool {
	fields["born"] = w.born
	data, _ := json.Marshal(fields)
	ctx, cancel := context.WithTimeout(context.Background(), checkInTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.control+path+w.id, bytes.NewReader(data))
	if err != nil {
		return false
	}
	request.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	return resp.StatusCode/100 == 2
}

func (w *worker) heartbeat() bool {
	w.mu.Lock()
	w.sequence++
	state := "ready"
	if w.draining {
		state = "draining"
	}
	fields := map[string]any{
		"service": w.service, "addr": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": state, "coldLeftMs": 0,
		"capacity": map[string]any{"cpu": w.cpu, "memMb": w.memory, "gpu": 0}, "labels": w.labels, "clockMs": w.clock().Milliseconds(), "seq": w.sequence,
	}
	if w.draining {
		fields["remainingMs"] = drainTime.Milliseconds()
	}
	w.mu.Unlock()
	return w.checkIn("/Instances.Heartbeat/", fields)
}

// leave drains the worker, deregisters it, and ends the process.
func (w *worker) leave() {
	w.mu.Lock()
	w.draining = true
	w.mu.Unlock()
	w.log(event{Kind: "drains"})
	for !w.heartbeat() {
		time.Sleep(heartbeatEvery / 4)
	}
	w.log(event{Kind: "draining acknowledged"})
	time.Sleep(drainTime + 300*time.Millisecond)
	w.mu.Lock()
	w.leaving = true
	w.sequence++
	sequence := w.sequence
	w.mu.Unlock()
	w.log(event{Kind: "deregisters"})
	sent := time.Now()
	if w.checkIn("/Instances.Deregister/", map[string]any{"service": w.service, "seq": sequence, "clockMs": w.clock().Milliseconds()}) {
		w.log(event{Kind: "deregistration acknowledged"})
	} else {
		w.log(event{Kind: "deregistration not acknowledged"})
		time.Sleep(time.Until(sent.Add(w.linger)))
	}
	w.mu.Lock() // not released: nothing more is answered
	w.log(event{Kind: "ends"})
	os.Exit(0)
}

func workerMain(args []string) {
	f := flag.NewFlagSet("worker", flag.ExitOnError)
	w := &worker{runs: map[string]*activeRun{}, highest: map[string]int{}, changed: make(chan struct{}), started: time.Now()}
	f.StringVar(&w.id, "id", "", "worker id")
	f.StringVar(&w.address, "address", "", "address of the worker's API")
	f.StringVar(&w.control, "control", "", "address for check-ins")
	f.StringVar(&w.service, "service", "huvo11a", "service")
	f.StringVar(&w.zone, "zone", "sur-mvd", "zone")
	labels := f.String("labels", "a,r1-1", "labels, separated by commas")
	f.Int64Var(&w.cpu, "cpu", 32000, "capacity")
	f.Int64Var(&w.memory, "mem", 128000, "capacity")
	f.DurationVar(&w.linger, "linger", 4*time.Second, "time from a deregistration without an ack until the worker ends")
	events := f.String("events", "", "event file")
	_ = f.Parse(args)
	w.labels = strings.Split(*labels, ",")
	w.born = time.Now().UnixMilli()
	var err error
	if w.events, err = os.OpenFile(*events, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	w.log(event{Kind: "boots", How: fmt.Sprintf("born %d", w.born)})
	go func() { _ = http.Serve(listener, w) }()
	leave := make(chan os.Signal, 1)
	signal.Notify(leave, syscall.SIGUSR1)
	go func() {
		<-leave
		w.leave()
	}()
	for {
		w.mu.Lock()
		leaving := w.leaving
		w.mu.Unlock()
		if !leaving {
			w.heartbeat()
		}
		time.Sleep(heartbeatEvery)
	}
}
