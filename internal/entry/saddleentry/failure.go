package saddleentry

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/fireflysaddle/fireflysaddle"
)

// failure is an error as it is returned to the caller.
type failure struct {
	Code            fireflysaddle.Code
	Message         string
	ExecutionStatus fireflysaddle.ExecutionStatus
	RetryAfter      time.Duration // 0: a retry does not help
}

// Error returns the code and the message.
func (f *failure) Error() string {
	return string(f.Code) + ": " + f.Message
}

// failureBody is the JSON body of a failure.
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

// notRunFailure returns a failure of a request that was not run.
func notRunFailure(code fireflysaddle.Code, message string, retryAfter time.Duration) *failure {
	return &failure{Code: code, Message: message, ExecutionStatus: fireflysaddle.NotExecuted, RetryAfter: retryAfter}
}

// refusalFailure converts a refusal into a failure for the caller. RetryAfter is set
// for each transient refusal.
func refusalFailure(err *fireflysaddle.RefusedError) *failure {
	f := notRunFailure(err.Code, err.Message, err.RetryAfter)
	if f.RetryAfter == 0 && isTransient(err.Code) {
		f.RetryAfter = defaultRetryAfter
	}
	return f
}

func isTransient(code fireflysaddle.Code) bool {
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
	case fireflysaddle.CodeLeaving:
		if f.ExecutionStatus != fireflysaddle.NotExecuted {
			return http.StatusBadGateway
		}
	case fireflysaddle.CodeTargetFailed:
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}

// write sends the failure to the caller.
func (f *failure) write(c echo.Context) error {
	if f.ExecutionStatus == fireflysaddle.ExecutionUnknown {
		countUnknownOutcomes.Add(1)
	} else {
		countRefusals.Add(1)
	}
	if f.RetryAfter > 0 {
		seconds := int64((f.RetryAfter + time.Second - 1) / time.Second)
		c.Response().Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	return c.JSON(f.status(), f.body())
}

// asFailure converts an error into a failure for the caller. An error that is neither
// a *failure nor a *RefusedError leaves the outcome of the request unknown.
func asFailure(err error) *failure {
	var f *failure
	if errors.As(err, &f) {
		return f
	}
	var refused *fireflysaddle.RefusedError
	if errors.As(err, &refused) {
		return refusalFailure(refused)
	}
	return &failure{Code: fireflysaddle.CodeOutcomeUnknown, Message: err.Error(), ExecutionStatus: fireflysaddle.ExecutionUnknown}
}
