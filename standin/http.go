package standin

// This file defines the fakes' HTTP servers and their control endpoints, where
// a test or an operator sets faults.

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

// maxBody bounds what a fake reads of one request.
const maxBody = 32 << 20

func readJSON[T any](w http.ResponseWriter, r *http.Request) (T, bool) {
	var value T
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&value)
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

// LogHandler serves a log: /streams/{name} and /control.
func LogHandler(l *Log) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /streams/{name}", func(w http.ResponseWriter, r *http.Request) {
		body, ok := readJSON[connector.AppendBody](w, r)
		if !ok {
			return
		}
		offset, err := l.Append(r.Context(), pv.StreamName(r.PathValue("name")), body.Records)
		writeJSON(w, connector.AppendAnswer{Offset: offset}, err)
	})
	mux.HandleFunc("GET /streams/{name}", func(w http.ResponseWriter, r *http.Request) {
		from, errFrom := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
		limit, errLimit := strconv.Atoi(r.URL.Query().Get("limit"))
		if err := errors.Join(errFrom, errLimit); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		b, err := l.Read(r.Context(), pv.StreamName(r.PathValue("name")), pv.Offset(from), limit)
		writeJSON(w, connector.ReadAnswer{First: b.First, Records: b.Records, Next: b.Next, Horizon: b.Horizon}, err)
	})
	mux.HandleFunc("PUT /control", func(w http.ResponseWriter, r *http.Request) {
		if faults, ok := readJSON[LogFaults](w, r); ok {
			l.SetFaults(faults)
			writeJSON(w, faults, nil)
		}
	})
	return mux
}

// Workers are fake workers that share one server.
type Workers struct {
	mu      sync.Mutex
	workers map[pv.WorkerID]*WorkerCore
	down    map[pv.WorkerID]bool
	order   []pv.WorkerID
}

// NewWorkers returns no workers.
func NewWorkers() *Workers {
	return &Workers{workers: map[pv.WorkerID]*WorkerCore{}, down: map[pv.WorkerID]bool{}}
}

// Add adds a worker.
func (ws *Workers) Add(w *WorkerCore) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	ws.workers[w.Info.ID] = w
	ws.order = append(ws.order, w.Info.ID)
}

// WorkerFaults are the faults of one fake worker.
type WorkerFaults struct {
	Crash   bool          `json:"crash"`   // it comes back empty
	Down    bool          `json:"down"`    // it can't be reached, and so lapses
	FailAll bool          `json:"failAll"` // every task fails
	Lag     time.Duration `json:"lag"`     // between measurements of use and slowdown
}

// SetFaults sets the faults of a worker.
func (ws *Workers) SetFaults(id pv.WorkerID, f WorkerFaults) error {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	w, ok := ws.workers[id]
	if !ok {
		return fmt.Errorf("no worker %q", id)
	}
	w.FailAll = f.FailAll
	w.Lag = f.Lag
	ws.down[id] = f.Down
	if f.Crash {
		w.Restart(time.Now())
	}
	return nil
}

// Running returns where each task runs now.
func (ws *Workers) Running() map[pv.TaskID][]pv.WorkerID {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	places := map[pv.TaskID][]pv.WorkerID{}
	for _, id := range ws.order {
		for _, a := range ws.workers[id].Running(time.Now()) {
			places[a.Task] = append(places[a.Task], id)
		}
	}
	return places
}

func (ws *Workers) list() []pv.WorkerInfo {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	infos := make([]pv.WorkerInfo, 0, len(ws.order))
	for _, id := range ws.order {
		infos = append(infos, ws.workers[id].Info)
	}
	return infos
}

// with runs f on a worker that can be reached.
func (ws *Workers) with(id pv.WorkerID, f func(*WorkerCore) (any, error)) (any, error) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	w, ok := ws.workers[id]
	if !ok || ws.down[id] {
		return nil, pv.ErrUnavailable
	}
	return f(w)
}

// handle serves one verb of a worker.
func handle[Q any](ws *Workers, f func(*WorkerCore, Q) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		question, ok := readJSON[Q](w, r)
		if !ok {
			return
		}
		answer, err := ws.with(pv.WorkerID(r.PathValue("id")), func(c *WorkerCore) (any, error) {
			return f(c, question)
		})
		writeJSON(w, answer, err)
	}
}

// WorkersHandler serves the workers, their list, and /workers/{id}/control.
func WorkersHandler(ws *Workers) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /workers", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, ws.list(), nil)
	})
	mux.HandleFunc("POST /workers/{id}/lease", handle(ws, func(c *WorkerCore, q pv.LeaseRequest) (any, error) {
		return c.Lease(time.Now(), q)
	}))
	mux.HandleFunc("POST /workers/{id}/start", handle(ws, func(c *WorkerCore, q pv.StartCommand) (any, error) {
		return connector.Empty{}, c.Start(time.Now(), q)
	}))
	mux.HandleFunc("POST /workers/{id}/stop", handle(ws, func(c *WorkerCore, q pv.RunCommand) (any, error) {
		return c.Stop(time.Now(), q)
	}))
	mux.HandleFunc("POST /workers/{id}/throttle", handle(ws, func(c *WorkerCore, q pv.RunCommand) (any, error) {
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
