package connector

// This file defines the HTTP client, the JSON call that the adapters share, and
// the bodies of the platform's protocol.

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/zeebo/errs"

	pv "persimmonvalve"
	"persimmonvalve/internal/meter"
)

// Error is the class of this package's errors.
var Error = errs.Class("platform")

// dialTimeout is the time limit for opening a connection.
const dialTimeout = 2 * time.Second

// maxResponseBytes limits the size of one response body.
const maxResponseBytes = 32 << 20

// NewHTTPClient returns a client whose calls are limited by the timeout; 0 means no
// limit. The meter traffic counts the bytes sent and received, and may be nil.
func NewHTTPClient(timeout time.Duration, traffic *meter.Meter) *http.Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport.DialContext = func(ctx context.Context, _, address string) (net.Conn, error) {
		return traffic.Dial(ctx, dialer, address)
	}
	transport.Proxy = nil
	transport.MaxIdleConnsPerHost = 64
	return &http.Client{Timeout: timeout, Transport: transport}
}

// callJSON sends the input as JSON and decodes the response as JSON; see call for its
// errors.
func callJSON[Q, A any](ctx context.Context, client *http.Client, method, url string, input Q) (A, error) {
	var output A
	data, err := call(ctx, client, method, url, input)
	if err != nil {
		return output, err
	}
	return output, Error.Wrap(json.Unmarshal(data, &output))
}

// call sends the input as JSON and returns the body of the response. Status 409 means
// that the platform refused the call and that the call had no effect; call then returns
// pv.ErrRefused. If there is no response, or one with another status than 200, it returns
// pv.ErrUnavailable.
func call(ctx context.Context, client *http.Client, method, url string, input any) ([]byte, error) {
	body, err := json.Marshal(input)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return nil, Error.Wrap(fmt.Errorf("%w: %w", pv.ErrUnavailable, err))
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, Error.Wrap(fmt.Errorf("%w: %w", pv.ErrUnavailable, err))
	}
	switch response.StatusCode {
	case http.StatusOK:
		return data, nil
	case http.StatusConflict:
		return nil, Error.Wrap(pv.ErrRefused)
	}
	return nil, Error.Wrap(fmt.Errorf("%w: HTTP status %d", pv.ErrUnavailable, response.StatusCode))
}

// AppendRequest is the body of POST /streams/{name}.
type AppendRequest struct {
	Records [][]byte `json:"records"`
}

// AppendResponse is the response to POST /streams/{name}.
type AppendResponse struct {
	Offset pv.Offset `json:"offset"`
}

// ReadResponse is the response to GET /streams/{name}?from=&limit=.
type ReadResponse struct {
	First        pv.Offset `json:"first"` // offset of Records[0]
	Records      [][]byte  `json:"records"`
	Next         pv.Offset `json:"next"`    // offset at which to continue reading
	OldestOffset pv.Offset `json:"horizon"` // oldest offset that is still retained
}

// Empty is the body, {}, of a request or response without fields.
type Empty struct{}
