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

// usageError says that the command line or a file that it names is wrong.
type usageError struct {
	reason string
}

func (e *usageError) Error() string { return e.reason }

// missingError says that control does not have what was named.
type missingError struct {
	kind string
	name string
}

func (e *missingError) Error() string {
	return fmt.Sprintf("%s %q does not exist", e.kind, e.name)
}

// rejectedError says that control refused a change.
type rejectedError struct {
	code    fireflysaddle.Code
	message string
	winner  *inForce // conflicts: what is in force instead
}

func (e *rejectedError) Error() string {
	text := fmt.Sprintf("refused: %s: %s", e.code, e.message)
	if e.winner != nil {
		text += "; in force: " + e.winner.String()
	}
	return text
}

// slowError says that an accepted change was not in force everywhere in time.
type slowError struct {
	revision uint64
	missing  []string
}

func (e *slowError) Error() string {
	if len(e.missing) == 0 {
		return fmt.Sprintf("accepted as configuration %d; no process was heard to confirm it", e.revision)
	}
	return fmt.Sprintf("accepted as configuration %d, not yet confirmed by: %s", e.revision, strings.Join(e.missing, ", "))
}

// errorView is an error as -json shows it.
type errorView struct {
	Error   string   `json:"error"`
	Exit    int      `json:"exit"`
	Code    string   `json:"code,omitempty"`
	Request string   `json:"request,omitempty"` // to resend with
	InForce *inForce `json:"in_force,omitempty"`
	Missing []string `json:"not_confirmed,omitempty"`
}

func (s *session) printError(w io.Writer, name string, err error) {
	if !s.json {
		_, _ = fmt.Fprintf(w, "saddlectl %s: %v\n", name, err)
		return
	}
	view := errorView{Error: err.Error(), Exit: exitCode(err)}
	var rejected *rejectedError
	var unknown *saddleclient.UnknownOutcomeError
	var slow *slowError
	var refused *fireflysaddle.RefusedError
	switch {
	case errors.As(err, &rejected):
		view.Code = string(rejected.code)
		view.InForce = rejected.winner
	case errors.As(err, &unknown):
		view.Request = unknown.Request
	case errors.As(err, &slow):
		view.Missing = slow.missing
	case errors.As(err, &refused):
		view.Code = string(refused.Code)
	}
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	_ = enc.Encode(view)
}
