package saddlectl

import (
	"context"
	"io"
	"time"

	"github.com/google/uuid"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// change is one accepted change as -json shows it.
type change struct {
	Kind          string `json:"kind"`
	Name          string `json:"name"`
	Request       string `json:"request"`
	Revision      uint64 `json:"revision"`      // of the template, deployment or drain
	Configuration uint64 `json:"configuration"` // in force where a process has it or a later one
	AcceptedAt    string `json:"accepted_at"`
	Resent        bool   `json:"resent,omitempty"` // an answer was lost; this is the first result
}

// changes is what the commands that change something show.
type changes struct {
	Changes       []change `json:"changes"` // none: all was as asked for
	Configuration uint64   `json:"configuration"`
	InForce       *spread  `json:"in_force,omitempty"` // with -wait
}

// submit has a command carried out under a request id.
func (s *session) submit(ctx context.Context, kind, name, request string, c *saddlewire.Command) (change, error) {
	submitCtx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	c.Request = request
	if request == "" {
		c.Request = uuid.NewString()
	}
	outcome, err := s.client.SubmitOutcome(submitCtx, c)
	if err != nil {
		return change{}, err
	}
	result := outcome.Result
	if !result.GetAccepted() {
		return change{}, s.rejected(ctx, kind, name, result)
	}
	done := change{
		Kind:          kind,
		Name:          name,
		Request:       c.GetRequest(),
		Revision:      result.GetRevision(),
		Configuration: result.GetIndex(),
		AcceptedAt:    time.Unix(0, result.GetNowNs()).UTC().Format(time.RFC3339Nano),
		Resent:        outcome.Resent,
	}
	s.progress("%s %s: revision %d accepted as configuration %d", kind, name, done.Revision, done.Configuration)
	if done.Resent {
		s.progress("  an answer was lost; resent under request id %s, which was carried out at %s", done.Request, done.AcceptedAt)
	}
	return done, nil
}

// rejected tells who won a race, where there was one.
func (s *session) rejected(ctx context.Context, kind, name string, result *saddlewire.Result) error {
	e := &rejectedError{code: fireflysaddle.Code(result.GetCode()), message: result.GetMessage()}
	if e.code != fireflysaddle.CodeRevisionConflict {
		return e
	}
	if state, err := s.read(ctx); err == nil {
		e.winner = find(state, kind, name)
	}
	return e
}

// finish waits for the changes, if asked to, and shows them. least is a
// configuration that must be in force even without a change.
func (s *session) finish(ctx context.Context, least uint64, done []change) error {
	out := changes{Changes: done, Configuration: least}
	for _, c := range done {
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
