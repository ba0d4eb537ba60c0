package standin

// This file defines the fake endpoint: it echoes the body for every service,
// counts the runs of each request, and can delay, fail or truncate its answers.

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// EndpointFaults are the faults that a fake endpoint injects.
type EndpointFaults struct {
	Delay           time.Duration `json:"delay"`   // before each answer; nanoseconds in JSON
	FailAnswers     bool          `json:"fail"`    // the request runs, and the answer is status 500
	TruncateAnswers bool          `json:"partial"` // the connection closes after half of the answer
	Draining        bool          `json:"leaving"` // the connection of a new request closes before its body is read
}

// Endpoint is a fake endpoint. It is safe for concurrent use.
type Endpoint struct {
	Name          string // prefix of each answer
	mu            sync.Mutex
	faults        EndpointFaults
	runs          map[string]int
	inProgress    int
	maxInProgress int
}

// NewEndpoint returns an endpoint that injects no faults.
func NewEndpoint(name string) *Endpoint {
	return &Endpoint{Name: name, runs: map[string]int{}}
}

// SetFaults replaces the injected faults.
func (e *Endpoint) SetFaults(f EndpointFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// RunCount returns how many times the request with this id ran.
func (e *Endpoint) RunCount(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}

// MaxInProgress returns the highest number of concurrent requests so far.
func (e *Endpoint) MaxInProgress() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.maxInProgress
}

func (e *Endpoint) beginRequest(id string) EndpointFaults {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs[id]++
	e.inProgress++
	e.maxInProgress = max(e.maxInProgress, e.inProgress)
	return e.faults
}

func (e *Endpoint) draining() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults.Draining
}

func (e *Endpoint) endRequest() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inProgress--
}

// EndpointHandler serves an endpoint: POST /{service} runs a request, and
// PUT /control sets faults.
func EndpointHandler(e *Endpoint) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /{service}", func(w http.ResponseWriter, r *http.Request) {
		if e.draining() {
			panic(http.ErrAbortHandler)
		}
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		faults := e.beginRequest(r.Header.Get("Request-Id"))
		defer e.endRequest()
		time.Sleep(faults.Delay)
		if faults.FailAnswers {
			http.Error(w, "endpoint failed: injected fault", http.StatusInternalServerError)
			return
		}
		answer := fmt.Appendf(nil, "%s/%s: %s", e.Name, r.PathValue("service"), body)
		w.Header().Set("Content-Length", fmt.Sprint(len(answer)))
		if faults.TruncateAnswers {
			_, _ = w.Write(answer[:len(answer)/2])
			panic(http.ErrAbortHandler)
		}
		_, _ = w.Write(answer)
	})
	mux.HandleFunc("PUT /control", func(w http.ResponseWriter, r *http.Request) {
		if faults, ok := readJSON[EndpointFaults](w, r); ok {
			e.SetFaults(faults)
			writeJSON(w, faults, nil)
		}
	})
	return mux
}

// TotalRuns returns the number of request runs of this endpoint.
func (e *Endpoint) TotalRuns() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	sum := 0
	for _, n := range e.runs {
		sum += n
	}
	return sum
}
