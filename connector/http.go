package connector

// This file defines the JSON calls that the adapters share, and the paths and
// bodies of the platform's protocol.

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

// dialTimeout bounds the opening of a connection.
const dialTimeout = 2 * time.Second

// maxAnswerBytes bounds what is read of one answer.
const maxAnswerBytes = 32 << 20

// NewHTTPClient returns a client whose calls are bounded by the timeout and
// counted by the meter, which may be nil.
func NewHTTPClient(timeout time.Duration, m *meter.Meter) *http.Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport.DialContext = func(ctx context.Context, _, address string) (net.Conn, error) {
		return m.Dial(ctx, dialer, address)
	}
	transport.Proxy = nil
	transport.MaxIdleConnsPerHost = 64
	return &http.Client{Timeout: timeout, Transport: transport}
}

// call sends a value as JSON and reads the answer as another. Status 409 is
// the platform's refusal; it guarantees that nothing was done.
func call[Q, A any](ctx context.Context, client *http.Client, method, url string, question Q) (A, error) {
	var answer A
	body, err := json.Marshal(question)
	if err != nil {
		return answer, Error.Wrap(err)
	}
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return answer, Error.Wrap(err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return answer, Error.Wrap(fmt.Errorf("%w: %w", pv.ErrUnavailable, err))
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return answer, Error.Wrap(fmt.Errorf("%w: %w", pv.ErrUnavailable, err))
	}
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusConflict:
		return answer, Error.Wrap(pv.ErrRefused)
	default:
		return answer, Error.Wrap(fmt.Errorf("%w: status %d", pv.ErrUnavailable, response.StatusCode))
	}
	return answer, Error.Wrap(json.Unmarshal(data, &answer))
}

// AppendBody is the body of POST /streams/{name}.
type AppendBody struct {
	Records [][]byte `json:"records"`
}

// AppendAnswer is the answer to it.
type AppendAnswer struct {
	Offset pv.Offset `json:"offset"`
}

// ReadAnswer is the answer to GET /streams/{name}?from=&limit=.
type ReadAnswer struct {
	First   pv.Offset `json:"first"`
	Records [][]byte  `json:"records"`
	Next    pv.Offset `json:"next"`
	Horizon pv.Offset `json:"horizon"`
}

// Empty is a body or answer without content.
type Empty struct{}
