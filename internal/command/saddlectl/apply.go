package saddlectl

import (
	"context"
	"maps"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// runApply submits what differs from what is in force: templates first, then
// deployments. Run again, it changes nothing.
func runApply(ctx context.Context, s *session, args []string) error {
	f, templates, err := readFleet(args[0])
	if err != nil {
		return &usageError{reason: err.Error()}
	}
	state, err := s.read(ctx)
	if err != nil {
		return err
	}
	var done []change
	for _, t := range templates {
		if err := s.applyTemplate(ctx, state, t, &done); err != nil {
			return err
		}
	}
	if len(done) > 0 { // a template's revision raises its deployments' revisions
		if state, err = s.read(ctx); err != nil {
			return err
		}
	}
	for _, d := range f.Deployments {
		if err := s.applyDeployment(ctx, state, d, &done); err != nil {
			return err
		}
	}
	if len(done) == 0 {
		s.progress("nothing to change")
	}
	return s.finish(ctx, state.GetRevision(), done)
}

func (s *session) applyTemplate(ctx context.Context, state *saddlewire.ReadResponse, t fleetTemplate, done *[]change) error {
	old := findTemplate(state, t.name)
	if old.GetBody() == t.body {
		return nil
	}
	c, err := s.putTemplate(ctx, t, old.GetRevision(), s.requestFor(kindTemplate, t.name))
	if err != nil {
		return err
	}
	*done = append(*done, c)
	return nil
}

func (s *session) applyDeployment(ctx context.Context, state *saddlewire.ReadResponse, d fleetDeployment, done *[]change) error {
	old := findDeployment(state, d.Workspace)
	if old != nil && old.GetTemplate() == d.Template && maps.Equal(old.GetParameters(), d.Parameters) {
		return nil
	}
	c, err := s.putDeployment(ctx, d, old.GetRevision(), s.requestFor(kindDeployment, d.Workspace))
	if err != nil {
		return err
	}
	*done = append(*done, c)
	return nil
}

// requestFor derives the request id of one of several changes, so that each is
// carried out once under the id given with -request.
func (s *session) requestFor(kind, name string) string {
	if s.request == "" {
		return ""
	}
	return s.request + "/" + kind + "/" + name
}
