package standin

// This file defines the fake endpoint: it answers every service with an echo,
// counts how often each request ran, and can be slow, fail or cut its answers.

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// EndpointFaults are the faults of a fake endpoint.
type EndpointFaults struct {
	Delay   time.Duration `json:"delay"`   // before each answer
	Fail    bool          `json:"fail"`    // answers 500 after running
	Partial bool          `json:"partial"` // breaks off in the middle of the answer
	Leaving bool          `json:"leaving"` // takes no new request: the connection closes before it is read
}

// Endpoint is a fake endpoint, safe for concurrent use.
type Endpoint struct {
	Name   string
	mu     sync.Mutex
	faults EndpointFaults
	ran    map[string]int
	now    int
	most   int
}

// NewEndpoint returns an endpoint without faults.
func NewEndpoint(name string) *Endpoint {
	return &Endpoint{Name: name, ran: map[string]int{}}
}

// SetFaults replaces the faults.
func (e *Endpoint) SetFaults(f EndpointFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Ran returns how often a request id ran here.
func (e *Endpoint) Ran(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ran[id]
}

// Most returns the most requests that ever were in progress at once.
func (e *Endpoint) Most() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.most
}

func (e *Endpoint) enter(id string) EndpointFaults {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ran[id]++
	e.now++
	e.most = max(e.most, e.now)
	return e.faults
}

func (e *Endpoint) leaves() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults.Leaving
}

func (e *Endpoint) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.now--
}

// EndpointHandler serves an endpoint: POST /{service} and PUT /control.
func EndpointHandler(e *Endpoint) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /{service}", func(w http.ResponseWriter, r *http.Request) {
		if e.leaves() {
			panic(http.ErrAbortHandler)
		}
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		faults := e.enter(r.Header.Get("Request-Id"))
		defer e.leave()
		time.Sleep(faults.Delay)
		if faults.Fail {
			http.Error(w, "the endpoint failed", http.StatusInternalServerError)
			return
		}
		answer := fmt.Appendf(nil, "%s/%s: %s", e.Name, r.PathValue("service"), body)
		w.Header().Set("Content-Length", fmt.Sprint(len(answer)))
		if faults.Partial {
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

// Total returns how many requests ran here.
func (e *Endpoint) Total() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	sum := 0
	for _, n := range e.ran {
		sum += n
	}
	return sum
}
