package standin

// This file defines the HTTP handlers of the fakes, with the control paths at
// which a test or an operator sets faults.

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	pv "persimmonvalve"
	"persimmonvalve/connector"
)

// maxBodyBytes limits the body of one request.
const maxBodyBytes = 32 << 20

func readJSON[T any](w http.ResponseWriter, r *http.Request) (T, bool) {
	var value T
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return value, err == nil
}

func writeJSON(w http.ResponseWriter, value any, err error) {
	switch {
	case errors.Is(err, pv.ErrRefused):
		http.Error(w, err.Error(), http.StatusConflict)
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(value)
	}
}

// LogHandler serves a log: POST /streams/{name} appends, GET /streams/{name}
// reads, and PUT /control sets faults.
func LogHandler(l *Log) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /streams/{name}", func(w http.ResponseWriter, r *http.Request) {
		body, ok := readJSON[connector.AppendRequest](w, r)
		if !ok {
			return
		}
		offset, err := l.Append(r.Context(), pv.StreamName(r.PathValue("name")), body.Records)
		writeJSON(w, connector.AppendResponse{Offset: offset}, err)
	})
	mux.HandleFunc("GET /streams/{name}", func(w http.ResponseWriter, r *http.Request) {
		from, fromErr := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
		limit, limitErr := strconv.Atoi(r.URL.Query().Get("limit"))
		if err := errors.Join(fromErr, limitErr); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		b, err := l.Read(r.Context(), pv.StreamName(r.PathValue("name")), pv.Offset(from), limit)
		writeJSON(w, connector.ReadResponse{First: b.First, Records: b.Records, Next: b.Next, OldestOffset: b.OldestOffset}, err)
	})
	mux.HandleFunc("PUT /control", func(w http.ResponseWriter, r *http.Request) {
		if faults, ok := readJSON[LogFaults](w, r); ok {
			l.SetFaults(faults)
			writeJSON(w, faults, nil)
		}
	})
	return mux
}

// Workers is a set of fake workers that share one HTTP server. It is safe for
// concurrent use.
type Workers struct {
	mu          sync.Mutex
	workers     map[pv.WorkerID]*WorkerCore
	unreachable map[pv.WorkerID]bool
	ids         []pv.WorkerID
}

// NewWorkers returns an empty set.
func NewWorkers() *Workers {
	return &Workers{workers: map[pv.WorkerID]*WorkerCore{}, unreachable: map[pv.WorkerID]bool{}}
}

// Add adds a worker.
func (ws *Workers) Add(w *WorkerCore) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	ws.workers[w.Info.ID] = w
	ws.ids = append(ws.ids, w.Info.ID)
}

// WorkerFaults are the faults that one fake worker injects.
type WorkerFaults struct {
	Crash               bool          `json:"crash"`   // the worker restarts once, with an empty state
	Unreachable         bool          `json:"down"`    // calls fail with ErrUnavailable, so its lease lapses
	FailAll             bool          `json:"failAll"` // every task fails soon after its start
	MeasurementInterval time.Duration `json:"lag"`     // minimum time between measurements of use and slowdown; nanoseconds in JSON
}

// SetFaults replaces the injected faults of a worker, and restarts the worker if
// f.Crash is set.
func (ws *Workers) SetFaults(id pv.WorkerID, f WorkerFaults) error {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	w, ok := ws.workers[id]
	if !ok {
		return fmt.Errorf("cannot set faults: no worker %q", id)
	}
	w.FailAll = f.FailAll
	w.MeasurementInterval = f.MeasurementInterval
	ws.unreachable[id] = f.Unreachable
	if f.Crash {
		w.Restart(time.Now())
	}
	return nil
}

// Placements returns the workers on which each task runs now.
func (ws *Workers) Placements() map[pv.TaskID][]pv.WorkerID {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	locations := map[pv.TaskID][]pv.WorkerID{}
	for _, id := range ws.ids {
		for _, a := range ws.workers[id].Running(time.Now()) {
			locations[a.Task] = append(locations[a.Task], id)
		}
	}
	return locations
}

func (ws *Workers) list() []pv.WorkerInfo {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	infos := make([]pv.WorkerInfo, 0, len(ws.ids))
	for _, id := range ws.ids {
		infos = append(infos, ws.workers[id].Info)
	}
	return infos
}

// withWorker calls f with the worker, or returns ErrUnavailable if the worker
// is unknown or unreachable.
func (ws *Workers) withWorker(id pv.WorkerID, f func(*WorkerCore) (any, error)) (any, error) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	w, ok := ws.workers[id]
	if !ok || ws.unreachable[id] {
		return nil, pv.ErrUnavailable
	}
	return f(w)
}

// workerHandler serves one operation of a worker.
func workerHandler[Q any](ws *Workers, f func(*WorkerCore, Q) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		request, ok := readJSON[Q](w, r)
		if !ok {
			return
		}
		answer, err := ws.withWorker(pv.WorkerID(r.PathValue("id")), func(c *WorkerCore) (any, error) {
			return f(c, request)
		})
		writeJSON(w, answer, err)
	}
}

// WorkersHandler serves the list of workers at GET /workers, their operations
// under POST /workers/{id}/, and faults at PUT /workers/{id}/control.
func WorkersHandler(ws *Workers) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /workers", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, ws.list(), nil)
	})
	mux.HandleFunc("POST /workers/{id}/lease", workerHandler(ws, func(c *WorkerCore, q pv.LeaseRequest) (any, error) {
		return c.Lease(time.Now(), q)
	}))
	mux.HandleFunc("POST /workers/{id}/start", workerHandler(ws, func(c *WorkerCore, q pv.StartCommand) (any, error) {
		return connector.Empty{}, c.Start(time.Now(), q)
	}))
	mux.HandleFunc("POST /workers/{id}/stop", workerHandler(ws, func(c *WorkerCore, q pv.RunCommand) (any, error) {
		return c.Stop(time.Now(), q)
	}))
	mux.HandleFunc("POST /workers/{id}/throttle", workerHandler(ws, func(c *WorkerCore, q pv.RunCommand) (any, error) {
		return connector.Empty{}, c.Throttle(time.Now(), q)
	}))
	mux.HandleFunc("PUT /workers/{id}/control", func(w http.ResponseWriter, r *http.Request) {
		faults, ok := readJSON[WorkerFaults](w, r)
		if !ok {
			return
		}
		if err := ws.SetFaults(pv.WorkerID(r.PathValue("id")), faults); err != nil {
			http.Error(w, err.Error(), http.StatusNotFound)
			return
		}
		writeJSON(w, faults, nil)
	})
	return mux
}
