package saddlectl

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/control/saddleclient"
)

// usageError reports an invalid command line or an invalid file that it names.
type usageError struct {
	reason string
}

func (e *usageError) Error() string { return e.reason }

// notFoundError reports an object that does not exist in control.
type notFoundError struct {
	kind string
	name string
}

func (e *notFoundError) Error() string {
	return fmt.Sprintf("%s %q does not exist", e.kind, e.name)
}

// rejectedError reports a change that the control leader refused. If no leader
// answered, the error is a *fireflysaddle.RefusedError instead.
type rejectedError struct {
	code    fireflysaddle.Code
	message string
	current *configObject // set on conflicts: the revision in force
}

func (e *rejectedError) Error() string {
	text := fmt.Sprintf("refused: %s: %s", e.code, e.message)
	if e.current != nil {
		text += "; in force: " + e.current.String()
	}
	return text
}

// waitTimeoutError reports that a change was accepted, but was not in force everywhere
// before the wait timed out.
type waitTimeoutError struct {
	configuration uint64
	pending       []string // unconfirmed members, or for control-replace the step that is not complete
}

func (e *waitTimeoutError) Error() string {
	if len(e.pending) == 0 {
		return fmt.Sprintf("accepted as configuration %d; no process has confirmed it", e.configuration)
	}
	return fmt.Sprintf("accepted as configuration %d, not yet confirmed by: %s", e.configuration, strings.Join(e.pending, ", "))
}

// errorView is the JSON form of an error.
type errorView struct {
	Error        string        `json:"error"`
	Exit         int           `json:"exit"`
	Code         string        `json:"code,omitempty"`
	Request      string        `json:"request,omitempty"` // id with which to resend the change
	InForce      *configObject `json:"in_force,omitempty"`
	NotConfirmed []string      `json:"not_confirmed,omitempty"`
}

func (s *session) printError(w io.Writer, name string, err error) {
	if !s.json {
		_, _ = fmt.Fprintf(w, "saddlectl %s: %v\n", name, err)
		return
	}
	view := errorView{Error: err.Error(), Exit: exitCode(err)}
	var rejected *rejectedError
	var unknown *saddleclient.UnknownOutcomeError
	var timeout *waitTimeoutError
	var refused *fireflysaddle.RefusedError
	switch {
	case errors.As(err, &rejected):
		view.Code = string(rejected.code)
		view.InForce = rejected.current
	case errors.As(err, &unknown):
		view.Request = unknown.Request
	case errors.As(err, &timeout):
		view.NotConfirmed = timeout.pending
	case errors.As(err, &refused):
		view.Code = string(refused.Code)
	}
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	_ = enc.Encode(view)
}
