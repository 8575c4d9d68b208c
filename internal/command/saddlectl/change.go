package saddlectl

import (
	"context"
	"io"
	"time"

	"github.com/google/uuid"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// change is the JSON form of an accepted change.
type change struct {
	Kind          string `json:"kind"`
	Name          string `json:"name"`
	Request       string `json:"request"`
	Revision      uint64 `json:"revision"`      // revision of the changed object
	Configuration uint64 `json:"configuration"` // log index of the change; the change is in force on a process that reports this index or a higher one
	AcceptedAt    string `json:"accepted_at"`
	Resent        bool   `json:"resent,omitempty"` // an answer was lost and the change was resent; the result is that of its first execution
}

// changeReport is the JSON output of the commands that submit changes.
type changeReport struct {
	Changes       []change       `json:"changes"`            // empty if nothing had to be changed
	Configuration uint64         `json:"configuration"`      // highest configuration of the changes; for apply, at least the configuration that it read
	InForce       *rolloutStatus `json:"in_force,omitempty"` // set with -wait
}

// submit submits a command to control and returns the accepted change. It generates a
// request id if none is given.
func (s *session) submit(ctx context.Context, kind, name, request string, c *saddlewire.Command) (change, error) {
	callCtx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	c.Request = request
	if request == "" {
		c.Request = uuid.NewString()
	}
	outcome, err := s.client.SubmitOutcome(callCtx, c)
	if err != nil {
		return change{}, err
	}
	result := outcome.Result
	if !result.GetAccepted() {
		return change{}, s.newRejectedError(ctx, kind, name, result)
	}
	accepted := change{
		Kind:          kind,
		Name:          name,
		Request:       c.GetRequest(),
		Revision:      result.GetRevision(),
		Configuration: result.GetIndex(),
		AcceptedAt:    time.Unix(0, result.GetNowNs()).UTC().Format(time.RFC3339Nano),
		Resent:        outcome.Resent,
	}
	s.printProgress("%s %s: revision %d accepted as configuration %d", kind, name, accepted.Revision, accepted.Configuration)
	if accepted.Resent {
		s.printProgress("  an answer was lost; resent with request id %s, which was accepted at %s", accepted.Request, accepted.AcceptedAt)
	}
	return accepted, nil
}

// newRejectedError returns the error for a refused change. For a conflict it includes the
// revision in force.
func (s *session) newRejectedError(ctx context.Context, kind, name string, result *saddlewire.Result) error {
	e := &rejectedError{code: fireflysaddle.Code(result.GetCode()), message: result.GetMessage()}
	if e.code != fireflysaddle.CodeRevisionConflict {
		return e
	}
	if state, err := s.read(ctx); err == nil {
		e.current = findObject(state, kind, name)
	}
	return e
}

// waitAndPrint prints the accepted changes. With -wait it first waits until they are in
// force on every member. It waits for minConfiguration even if there are no changes.
func (s *session) waitAndPrint(ctx context.Context, minConfiguration uint64, accepted []change) error {
	out := changeReport{Changes: accepted, Configuration: minConfiguration}
	for _, c := range accepted {
		out.Configuration = max(out.Configuration, c.Configuration)
	}
	var waitErr error
	if s.wait {
		out.InForce, waitErr = s.awaitInForce(ctx, out.Configuration)
	}
	if err := s.print(out, func(io.Writer) {}); err != nil {
		return err
	}
	return waitErr
}
