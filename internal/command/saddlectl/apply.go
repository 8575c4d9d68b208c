package saddlectl

import (
	"context"
	"maps"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// runApply submits the templates, and then the deployments, that differ from those in
// force. It is idempotent.
func runApply(ctx context.Context, s *session, args []string) error {
	f, templates, err := readFleet(args[0])
	if err != nil {
		return &usageError{reason: err.Error()}
	}
	state, err := s.read(ctx)
	if err != nil {
		return err
	}
	var accepted []change
	for _, t := range templates {
		if err := s.applyTemplate(ctx, state, t, &accepted); err != nil {
			return err
		}
	}
	if len(accepted) > 0 { // a new template revision also creates new revisions of its deployments
		if state, err = s.read(ctx); err != nil {
			return err
		}
	}
	for _, d := range f.Deployments {
		if err := s.applyDeployment(ctx, state, d, &accepted); err != nil {
			return err
		}
	}
	if len(accepted) == 0 {
		s.printProgress("nothing to change")
	}
	return s.waitAndPrint(ctx, state.GetRevision(), accepted)
}

func (s *session) applyTemplate(ctx context.Context, state *saddlewire.ReadResponse, t fleetTemplate, accepted *[]change) error {
	old := findTemplate(state, t.name)
	if old.GetBody() == t.body {
		return nil
	}
	c, err := s.putTemplate(ctx, t, old.GetRevision(), s.derivedRequestID(kindTemplate, t.name))
	if err != nil {
		return err
	}
	*accepted = append(*accepted, c)
	return nil
}

func (s *session) applyDeployment(ctx context.Context, state *saddlewire.ReadResponse, d fleetDeployment, accepted *[]change) error {
	old := findDeployment(state, d.Workspace)
	if old != nil && old.GetTemplate() == d.Template && maps.Equal(old.GetParameters(), d.Parameters) {
		return nil
	}
	c, err := s.putDeployment(ctx, d, old.GetRevision(), s.derivedRequestID(kindDeployment, d.Workspace))
	if err != nil {
		return err
	}
	*accepted = append(*accepted, c)
	return nil
}

// derivedRequestID returns the request id of one change of a command, derived from
// -request, or "" if -request is not set. Each change needs its own request id, because
// control would treat a second change with the same id as a resend of the first.
func (s *session) derivedRequestID(kind, name string) string {
	if s.requestID == "" {
		return ""
	}
	return s.requestID + "/" + kind + "/" + name
}
