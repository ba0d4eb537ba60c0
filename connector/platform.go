package connector

// This file defines the adapters for the platform's services.

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"

	pv "persimmonvalve"
	"persimmonvalve/internal/jsonprune"
)

// Log is a client of the log service.
type Log struct {
	client *http.Client
	base   string
}

var _ pv.Log = (*Log)(nil)

// NewLog returns a client of the log service at a base URL.
func NewLog(client *http.Client, base string) *Log {
	return &Log{client: client, base: base}
}

func (l *Log) url(stream pv.StreamName) string {
	return l.base + "/streams/" + url.PathEscape(string(stream))
}

// Append implements pv.Log.
func (l *Log) Append(ctx context.Context, stream pv.StreamName, records [][]byte) (pv.Offset, error) {
	answer, err := callJSON[AppendRequest, AppendResponse](ctx, l.client, http.MethodPost, l.url(stream), AppendRequest{Records: records})
	return answer.Offset, err
}

// Read implements pv.Log.
func (l *Log) Read(ctx context.Context, stream pv.StreamName, from pv.Offset, limit int) (pv.Batch, error) {
	target := fmt.Sprintf("%s?from=%d&limit=%d", l.url(stream), from, limit)
	a, err := callJSON[Empty, ReadResponse](ctx, l.client, http.MethodGet, target, Empty{})
	return pv.Batch{First: a.First, Records: a.Records, Next: a.Next, OldestOffset: a.OldestOffset}, err
}

// Fleet is a client of the fleet service, which lists the workers.
type Fleet struct {
	client *http.Client
	base   string
}

var _ pv.Fleet = (*Fleet)(nil)

// NewFleet returns a client of the fleet service at a base URL.
func NewFleet(client *http.Client, base string) *Fleet {
	return &Fleet{client: client, base: base}
}

// Workers implements pv.Fleet. It leaves out entries that name no worker.
func (f *Fleet) Workers(ctx context.Context) ([]pv.WorkerInfo, error) {
	data, err := call(ctx, f.client, http.MethodGet, f.base+"/workers", Empty{})
	if err != nil {
		return nil, err
	}
	return decodeWorkers(data)
}

// Limits of an entry in the list of workers.
const (
	workerListDepth    = 8 // of nesting
	maxWorkerCapacity  = 1 << 30
	maxIdentifierBytes = 200
)

// decodeWorkers decodes the list of workers. It leaves out the entries that can't be
// decoded, have an address or amounts that no worker has, or an id that an earlier one
// has: the list has other writers than this system, and the other entries hold.
func decodeWorkers(data []byte) ([]pv.WorkerInfo, error) {
	var entries []json.RawMessage
	if err := json.Unmarshal(jsonprune.Prune(data, workerListDepth), &entries); err != nil {
		return nil, Error.Wrap(err)
	}
	out := make([]pv.WorkerInfo, 0, len(entries))
	listed := map[pv.WorkerID]bool{}
	for _, e := range entries {
		var w pv.WorkerInfo
		if err := json.Unmarshal(e, &w); err != nil || listed[w.ID] || !usable(w) {
			continue
		}
		listed[w.ID] = true
		out = append(out, w)
	}
	return out, nil
}

func usable(w pv.WorkerInfo) bool {
	c := w.Capacity
	return w.ID != "" && len(w.ID) <= maxIdentifierBytes && w.Address.IsValid() && w.Address.Port() != 0 && !w.Address.Addr().IsUnspecified() &&
		!c.Negative() && max(c.MilliCores, c.MemoryMB, c.Accelerators, c.Slots) <= maxWorkerCapacity
}

// Workers creates clients of workers.
type Workers struct {
	client *http.Client
}

var _ pv.Workers = (*Workers)(nil)

// NewWorkers returns a factory of worker clients.
func NewWorkers(client *http.Client) *Workers { return &Workers{client: client} }

// Worker implements pv.Workers.
func (w *Workers) Worker(info pv.WorkerInfo) pv.Worker {
	base := fmt.Sprintf("http://%s/workers/%s", info.Address, url.PathEscape(string(info.ID)))
	return &worker{client: w.client, base: base}
}

type worker struct {
	client *http.Client
	base   string
}

var _ pv.Worker = (*worker)(nil)

func (w *worker) Lease(ctx context.Context, q pv.LeaseRequest) (pv.WorkerReport, error) {
	return callJSON[pv.LeaseRequest, pv.WorkerReport](ctx, w.client, http.MethodPost, w.base+"/lease", q)
}

func (w *worker) Start(ctx context.Context, c pv.StartCommand) error {
	_, err := callJSON[pv.StartCommand, Empty](ctx, w.client, http.MethodPost, w.base+"/start", c)
	return err
}

func (w *worker) Stop(ctx context.Context, c pv.RunCommand) (pv.AttemptStatus, error) {
	return callJSON[pv.RunCommand, pv.AttemptStatus](ctx, w.client, http.MethodPost, w.base+"/stop", c)
}

func (w *worker) Throttle(ctx context.Context, c pv.RunCommand) error {
	_, err := callJSON[pv.RunCommand, Empty](ctx, w.client, http.MethodPost, w.base+"/throttle", c)
	return err
}

// Endpoint is a client of an agent's endpoint.
type Endpoint struct {
	client *http.Client
	base   string
}

var _ pv.Endpoint = (*Endpoint)(nil)

// NewEndpoint returns a client of the endpoint at a base URL.
func NewEndpoint(client *http.Client, base string) *Endpoint {
	return &Endpoint{client: client, base: base}
}

// Do implements pv.Endpoint. It returns pv.ErrRefused if the connection couldn't be
// opened. If the connection breaks or the response is too large, it returns an
// error and no partial response.
func (e *Endpoint) Do(ctx context.Context, q pv.ServiceRequest) (pv.ServiceAnswer, error) {
	target := e.base + "/" + url.PathEscape(q.Service)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(q.Body))
	if err != nil {
		return pv.ServiceAnswer{}, Error.Wrap(err)
	}
	// Without GetBody the transport can't resend the body, so it never sends a
	// request twice.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/octet-stream")
	request.Header.Set("Request-Id", q.ID)
	response, err := e.client.Do(request)
	if err != nil {
		return pv.ServiceAnswer{}, Error.Wrap(asRefusalIfDialFailed(err))
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil {
		return pv.ServiceAnswer{}, Error.Wrap(err)
	}
	if len(body) > maxResponseBytes {
		return pv.ServiceAnswer{}, Error.New("endpoint response exceeds the limit of %d bytes", maxResponseBytes)
	}
	return pv.ServiceAnswer{Status: response.StatusCode, Body: body}, nil
}

// asRefusalIfDialFailed wraps an error of the dial in pv.ErrRefused, because the
// request wasn't sent. It returns other errors unchanged.
func asRefusalIfDialFailed(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %w", pv.ErrRefused, err)
	}
	return err
}
