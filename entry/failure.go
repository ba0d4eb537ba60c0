package entry

// This file defines how anything but success is told to callers: an outcome
// and a reason, with the HTTP status that fits them.

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"github.com/ogen-go/ogen/ogenerrors"

	pv "persimmonvalve"
	"persimmonvalve/internal/apigen"
)

// Failure is the end of a call that didn't succeed.
type Failure struct {
	Outcome   pv.Outcome
	Reason    pv.Reason
	Text      string
	RequestID string
	Attempts  int
	Status    int // HTTP status; 0 is derived from outcome and reason
}

// Error implements error, so that a failure can leave a generated handler.
func (f *Failure) Error() string {
	return fmt.Sprintf("%s (%s): %s", f.Outcome, f.Reason, f.Text)
}

func refused(reason pv.Reason, format string, args ...any) *Failure {
	return &Failure{Outcome: pv.Refused, Reason: reason, Text: fmt.Sprintf(format, args...)}
}

func unknown(reason pv.Reason, format string, args ...any) *Failure {
	return &Failure{Outcome: pv.Unknown, Reason: reason, Text: fmt.Sprintf(format, args...)}
}

var statusOf = map[pv.Reason]int{
	pv.ReasonRate:        http.StatusTooManyRequests,
	pv.ReasonQueueFull:   http.StatusTooManyRequests,
	pv.ReasonCeiling:     http.StatusTooManyRequests,
	pv.ReasonNoPlan:      http.StatusNotFound,
	pv.ReasonNoAllowance: http.StatusForbidden,
	pv.ReasonNoKey:       http.StatusBadRequest,
	pv.ReasonKeyReused:   http.StatusConflict,
	pv.ReasonInProgress:  http.StatusConflict,
	pv.ReasonTooLarge:    http.StatusRequestEntityTooLarge,
	pv.ReasonBadInput:    http.StatusBadRequest,
	pv.ReasonNeverFits:   http.StatusUnprocessableEntity,
	pv.ReasonDeadline:    http.StatusGatewayTimeout,
	pv.ReasonTimeout:     http.StatusGatewayTimeout,
}

func (f *Failure) status() int {
	if f.Status != 0 {
		return f.Status
	}
	if s, ok := statusOf[f.Reason]; ok {
		return s
	}
	if f.Outcome == pv.Refused {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}

// NewError implements apigen.Handler.
func (e *Entry) NewError(_ context.Context, err error) *apigen.ErrorStatusCode {
	f := &Failure{Outcome: pv.Failed, Reason: "internal", Text: err.Error(), Status: http.StatusInternalServerError}
	var own *Failure
	var decode *ogenerrors.DecodeParamsError
	var body *ogenerrors.DecodeRequestError
	switch {
	case errors.As(err, &own):
		f = own
	case errors.As(err, &decode), errors.As(err, &body):
		f = refused(pv.ReasonBadInput, "%v", err)
	}
	if f.Outcome == pv.Refused {
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
