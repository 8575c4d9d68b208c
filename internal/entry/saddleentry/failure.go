package saddleentry

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/fireflysaddle/fireflysaddle"
)

// failure is the final answer to a request that gets no other.
type failure struct {
	Code            fireflysaddle.Code
	Message         string
	ExecutionStatus fireflysaddle.ExecutionStatus
	RetryAfter      time.Duration // 0: waiting does not help
}

// Error returns the code and the message.
func (f *failure) Error() string {
	return string(f.Code) + ": " + f.Message
}

// failureBody is a failure as callers see it.
type failureBody struct {
	Error failureDetail `json:"error"`
}

type failureDetail struct {
	Code            string `json:"code"`
	Message         string `json:"message"`
	ExecutionStatus string `json:"ran"` // "no", "yes", "unknown"
	RetryAfterMs    int64  `json:"retry_after_ms,omitempty"`
}

func (f *failure) body() failureBody {
	return failureBody{Error: failureDetail{
		Code:            string(f.Code),
		Message:         f.Message,
		ExecutionStatus: string(f.ExecutionStatus),
		RetryAfterMs:    f.RetryAfter.Milliseconds(),
	}}
}

// notRun returns a failure that says that the request was not run.
func notRun(code fireflysaddle.Code, message string, retry time.Duration) *failure {
	return &failure{Code: code, Message: message, ExecutionStatus: fireflysaddle.NotExecuted, RetryAfter: retry}
}

// notRunBy turns a refusal into the caller's answer. It says when to come back
// wherever waiting helps.
func notRunBy(err *fireflysaddle.RefusedError) *failure {
	f := notRun(err.Code, err.Message, err.RetryAfter)
	if f.RetryAfter == 0 && waitingHelps(err.Code) {
		f.RetryAfter = noTargetRetry
	}
	return f
}

func waitingHelps(code fireflysaddle.Code) bool {
	switch code {
	case fireflysaddle.CodeDeadline, fireflysaddle.CodeDuplicate, fireflysaddle.CodeWrongIncarnation,
		fireflysaddle.CodeLeaving, fireflysaddle.CodeNoMajority, fireflysaddle.CodeNoTarget,
		fireflysaddle.CodeNotReady, fireflysaddle.CodeOverloaded, fireflysaddle.CodeSealed,
		fireflysaddle.CodeStaleRevision, fireflysaddle.CodeUnreachable, fireflysaddle.CodeWrongTarget:
		return true
	}
	return false
}

// status returns the HTTP status of a failure.
func (f *failure) status() int {
	switch f.Code {
	case fireflysaddle.CodeBadRequest:
		return http.StatusBadRequest
	case fireflysaddle.CodeTooLarge:
		return http.StatusRequestEntityTooLarge
	case fireflysaddle.CodeUnauthorized:
		return http.StatusUnauthorized
	case fireflysaddle.CodeNotGranted:
		return http.StatusForbidden
	case fireflysaddle.CodeNotFound:
		return http.StatusNotFound
	case fireflysaddle.CodeKeyReused:
		return http.StatusUnprocessableEntity
	case fireflysaddle.CodeInProgress:
		return http.StatusConflict
	case fireflysaddle.CodeOverloaded:
		return http.StatusTooManyRequests
	case fireflysaddle.CodeDeadline, fireflysaddle.CodeOutcomeUnknown:
		return http.StatusGatewayTimeout
	case fireflysaddle.CodeTargetFailed:
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}

// write answers the caller with the failure.
func (f *failure) write(c echo.Context) error {
	if f.ExecutionStatus == fireflysaddle.ExecutionUnknown {
		countUnknown.Add(1)
	} else {
		countRefused.Add(1)
	}
	if f.RetryAfter > 0 {
		seconds := int64((f.RetryAfter + time.Second - 1) / time.Second)
		c.Response().Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	return c.JSON(f.status(), f.body())
}

// asFailure returns the failure in an error; any other error is one whose
// outcome is unknown.
func asFailure(err error) *failure {
	var f *failure
	if errors.As(err, &f) {
		return f
	}
	var refused *fireflysaddle.RefusedError
	if errors.As(err, &refused) {
		return notRunBy(refused)
	}
	return &failure{Code: fireflysaddle.CodeOutcomeUnknown, Message: err.Error(), ExecutionStatus: fireflysaddle.ExecutionUnknown}
}
