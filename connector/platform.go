package connector

// This file defines the adapters to the platform's services.

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"

	pv "persimmonvalve"
)

// Log is the log service over HTTP.
type Log struct {
	client *http.Client
	base   string
}

var _ pv.Log = (*Log)(nil)

// NewLog returns the adapter of the log service at a base URL.
func NewLog(client *http.Client, base string) *Log {
	return &Log{client: client, base: base}
}

func (l *Log) url(stream pv.StreamName) string {
	return l.base + "/streams/" + url.PathEscape(string(stream))
}

// Append implements pv.Log.
func (l *Log) Append(ctx context.Context, stream pv.StreamName, records [][]byte) (pv.Offset, error) {
	answer, err := call[AppendBody, AppendAnswer](ctx, l.client, http.MethodPost, l.url(stream), AppendBody{Records: records})
	return answer.Offset, err
}

// Read implements pv.Log.
func (l *Log) Read(ctx context.Context, stream pv.StreamName, from pv.Offset, limit int) (pv.Batch, error) {
	target := fmt.Sprintf("%s?from=%d&limit=%d", l.url(stream), from, limit)
	a, err := call[Empty, ReadAnswer](ctx, l.client, http.MethodGet, target, Empty{})
	return pv.Batch{First: a.First, Records: a.Records, Next: a.Next, Horizon: a.Horizon}, err
}

// Fleet is the platform's list of workers over HTTP.
type Fleet struct {
	client *http.Client
	base   string
}

var _ pv.Fleet = (*Fleet)(nil)

// NewFleet returns the adapter of the fleet service at a base URL.
func NewFleet(client *http.Client, base string) *Fleet {
	return &Fleet{client: client, base: base}
}

// Workers implements pv.Fleet.
func (f *Fleet) Workers(ctx context.Context) ([]pv.WorkerInfo, error) {
	return call[Empty, []pv.WorkerInfo](ctx, f.client, http.MethodGet, f.base+"/workers", Empty{})
}

// Workers makes clients of workers over HTTP.
type Workers struct {
	client *http.Client
}

var _ pv.Workers = (*Workers)(nil)

// NewWorkers returns the maker of worker clients.
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
	return call[pv.LeaseRequest, pv.WorkerReport](ctx, w.client, http.MethodPost, w.base+"/lease", q)
}

func (w *worker) Start(ctx context.Context, c pv.StartCommand) error {
	_, err := call[pv.StartCommand, Empty](ctx, w.client, http.MethodPost, w.base+"/start", c)
	return err
}

func (w *worker) Stop(ctx context.Context, c pv.RunCommand) (pv.Run, error) {
	return call[pv.RunCommand, pv.Run](ctx, w.client, http.MethodPost, w.base+"/stop", c)
}

func (w *worker) Throttle(ctx context.Context, c pv.RunCommand) error {
	_, err := call[pv.RunCommand, Empty](ctx, w.client, http.MethodPost, w.base+"/throttle", c)
	return err
}

// Endpoint is the endpoint beside an agent over HTTP.
type Endpoint struct {
	client *http.Client
	base   string
}

var _ pv.Endpoint = (*Endpoint)(nil)

// NewEndpoint returns the adapter of the endpoint at a base URL.
func NewEndpoint(client *http.Client, base string) *Endpoint {
	return &Endpoint{client: client, base: base}
}

// Do implements pv.Endpoint. A connection that was never made is a refusal;
// an answer that breaks off is an error, never a shorter answer.
func (e *Endpoint) Do(ctx context.Context, q pv.ServiceRequest) (pv.ServiceAnswer, error) {
	target := e.base + "/" + url.PathEscape(q.Service)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(q.Body))
	if err != nil {
		return pv.ServiceAnswer{}, Error.Wrap(err)
	}
	// Without a body that can be sent again the transport repeats nothing.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/octet-stream")
	request.Header.Set("Request-Id", q.ID)
	response, err := e.client.Do(request)
	if err != nil {
		return pv.ServiceAnswer{}, Error.Wrap(classify(err))
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return pv.ServiceAnswer{}, Error.Wrap(err)
	}
	if len(body) > maxAnswerBytes {
		return pv.ServiceAnswer{}, Error.New("the answer is larger than %d bytes", maxAnswerBytes)
	}
	return pv.ServiceAnswer{Status: response.StatusCode, Body: body}, nil
}

func classify(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %w", pv.ErrRefused, err)
	}
	return err
}
