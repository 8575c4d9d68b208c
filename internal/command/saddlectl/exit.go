package saddlectl

import (
	"errors"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/control/saddleclient"
)

// Exit codes of saddlectl.
const (
	ExitOK          = 0
	ExitFailed      = 1
	ExitUsage       = 2
	ExitUnknown     = 3
	ExitConflict    = 4
	ExitTimeout     = 5
	ExitUnavailable = 6
)

// exitDescription is the meaning of an exit code, for the help text.
type exitDescription struct {
	code    int
	meaning string
}

func exitDescriptions() []exitDescription {
	return []exitDescription{
		{ExitOK, "done"},
		{ExitFailed, "refused, or a named object does not exist; nothing changed"},
		{ExitUsage, "the command line or a file is invalid; nothing was sent"},
		{ExitUnknown, "the outcome is unknown; resend with the -request that is printed"},
		{ExitConflict, "another revision is in force; it is printed, nothing changed"},
		{ExitTimeout, "accepted, but not confirmed everywhere in time"},
		{ExitUnavailable, "no control majority could be reached; nothing changed, try again"},
	}
}

func exitCode(err error) int {
	var usage *usageError
	var rejected *rejectedError
	var unknown *saddleclient.UnknownOutcomeError
	var timeout *waitTimeoutError
	var refused *fireflysaddle.RefusedError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage):
		return ExitUsage
	case errors.As(err, &unknown):
		return ExitUnknown
	case errors.As(err, &timeout):
		return ExitTimeout
	case errors.As(err, &rejected) && rejected.code == fireflysaddle.CodeRevisionConflict:
		return ExitConflict
	case errors.As(err, &refused) && refused.Code == fireflysaddle.CodeNoMajority:
		return ExitUnavailable
	}
	return ExitFailed
}
