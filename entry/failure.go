package entry

// This file defines Failure, the outcome and reason of a call that did not
// succeed, and maps it to an HTTP status and an error body.

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"github.com/ogen-go/ogen/ogenerrors"

	pv "persimmonvalve"
	"persimmonvalve/internal/apigen"
)

// Failure is the result of a call that did not succeed.
type Failure struct {
	Outcome   pv.Outcome
	Reason    pv.Reason
	Text      string
	RequestID string
	Attempts  int
	Status    int // HTTP status; if 0, derived from Outcome and Reason
}

// Error implements error, so that handlers of the generated API can return a
// Failure.
func (f *Failure) Error() string {
	return fmt.Sprintf("%s (%s): %s", f.Outcome, f.Reason, f.Text)
}

func refused(reason pv.Reason, format string, args ...any) *Failure {
	return &Failure{Outcome: pv.OutcomeRefused, Reason: reason, Text: fmt.Sprintf(format, args...)}
}

func unknown(reason pv.Reason, format string, args ...any) *Failure {
	return &Failure{Outcome: pv.OutcomeUnknown, Reason: reason, Text: fmt.Sprintf(format, args...)}
}

// statusByReason maps reasons to HTTP statuses.
var statusByReason = map[pv.Reason]int{
	pv.ReasonRateExceeded:     http.StatusTooManyRequests,
	pv.ReasonQueueFull:        http.StatusTooManyRequests,
	pv.ReasonCeilingReached:   http.StatusTooManyRequests,
	pv.ReasonUnknownPlan:      http.StatusNotFound,
	pv.ReasonNoAllowance:      http.StatusForbidden,
	pv.ReasonMissingKey:       http.StatusBadRequest,
	pv.ReasonKeyReused:        http.StatusConflict,
	pv.ReasonInProgress:       http.StatusConflict,
	pv.ReasonBodyTooLarge:     http.StatusRequestEntityTooLarge,
	pv.ReasonBadInput:         http.StatusBadRequest,
	pv.ReasonNeverFits:        http.StatusUnprocessableEntity,
	pv.ReasonDeadlineTooClose: http.StatusGatewayTimeout,
	pv.ReasonTimeout:          http.StatusGatewayTimeout,
}

func (f *Failure) status() int {
	if f.Status != 0 {
		return f.Status
	}
	if s, ok := statusByReason[f.Reason]; ok {
		return s
	}
	if f.Outcome == pv.OutcomeRefused {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}

// NewError implements apigen.Handler. It counts the failure and returns the
// error response.
func (e *Entry) NewError(_ context.Context, err error) *apigen.ErrorStatusCode {
	f := &Failure{Outcome: pv.OutcomeFailed, Reason: "internal", Text: err.Error(), Status: http.StatusInternalServerError}
	var failure *Failure
	var paramsErr *ogenerrors.DecodeParamsError
	var bodyErr *ogenerrors.DecodeRequestError
	switch {
	case errors.As(err, &failure):
		f = failure
	case errors.As(err, &paramsErr), errors.As(err, &bodyErr):
		f = refused(pv.ReasonBadInput, "%v", err)
	}
	if f.Outcome == pv.OutcomeRefused {
		e.metrics.refusals.WithLabelValues(string(f.Reason)).Inc()
	} else {
		e.metrics.failures.WithLabelValues(string(f.Reason)).Inc()
	}
	response := apigen.Error{Outcome: string(f.Outcome), Reason: string(f.Reason), Message: f.Text}
	if f.RequestID != "" {
		response.RequestId = apigen.NewOptString(f.RequestID)
	}
	if f.Attempts > 0 {
		response.Attempts = apigen.NewOptInt(f.Attempts)
	}
	return &apigen.ErrorStatusCode{StatusCode: f.status(), Response: response}
}
