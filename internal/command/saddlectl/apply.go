package saddlectl

import (
	"context"
	"maps"
	"time"

	"github.com/google/uuid"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// runApply submits what differs from what is in force: templates first, then
// deployments.
func runApply(ctx context.Context, s *session, args []string) error {
	if len(args) != 1 {
		return &usageError{reason: "apply takes one file"}
	}
	f, templates, err := readFleet(args[0])
	if err != nil {
		return err
	}
	var index uint64
	for _, t := range templates {
		if err := s.applyTemplate(ctx, t, &index); err != nil {
			return err
		}
	}
	for _, d := range f.Deployments {
		if err := s.applyDeployment(ctx, d, &index); err != nil {
			return err
		}
	}
	if index == 0 {
		s.progress("nothing to change")
	}
	if !s.wait {
		return nil
	}
	return s.awaitInForce(ctx, index)
}

func (s *session) applyTemplate(ctx context.Context, t fleetTemplate, index *uint64) error {
	state, err := s.read(ctx)
	if err != nil {
		return err
	}
	var base uint64
	for _, old := range state.GetTemplates() {
		if old.GetName() != t.name {
			continue
		}
		if old.GetBody() == t.body {
			return nil
		}
		base = old.GetRevision()
	}
	result, err := s.submit(ctx, &saddlewire.Command{Change: &saddlewire.Command_PutTemplate{
		PutTemplate: &saddlewire.PutTemplate{Name: t.name, Base: base, Body: t.body},
	}})
	if err != nil {
		return err
	}
	*index = max(*index, result.GetIndex())
	s.progress("template %s: revision %d accepted", t.name, result.GetRevision())
	return nil
}

func (s *session) applyDeployment(ctx context.Context, d fleetDeployment, index *uint64) error {
	state, err := s.read(ctx)
	if err != nil {
		return err
	}
	var base uint64
	for _, old := range state.GetDeployments() {
		if old.GetWorkspace() != d.Workspace {
			continue
		}
		if old.GetTemplate() == d.Template && maps.Equal(old.GetParameters(), d.Parameters) {
			return nil
		}
		base = old.GetRevision()
	}
	result, err := s.submit(ctx, &saddlewire.Command{Change: &saddlewire.Command_PutDeployment{
		PutDeployment: &saddlewire.PutDeployment{Workspace: d.Workspace, Base: base, Template: d.Template, Parameters: d.Parameters},
	}})
	if err != nil {
		return err
	}
	*index = max(*index, result.GetIndex())
	s.progress("deployment %s: revision %d accepted", d.Workspace, result.GetRevision())
	return nil
}

// submit has a command carried out under a request id of its own, or the one
// given with -request.
func (s *session) submit(ctx context.Context, c *saddlewire.Command) (*saddlewire.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	c.Request = s.request
	if c.GetRequest() == "" {
		c.Request = uuid.NewString()
	}
	result, err := s.client.Submit(ctx, c)
	if err != nil {
		return nil, err
	}
	if !result.GetAccepted() {
		return nil, &rejectedError{code: fireflysaddle.Code(result.GetCode()), message: result.GetMessage(), revision: result.GetRevision()}
	}
	return result, nil
}

func (s *session) read(ctx context.Context) (*saddlewire.ReadResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	return s.client.Read(ctx)
}

const waitPoll = 200 * time.Millisecond // between looks at who has confirmed

// awaitInForce waits until every member has confirmed a configuration.
func (s *session) awaitInForce(ctx context.Context, index uint64) error {
	until := time.Now().Add(s.waitFor)
	for {
		state, err := s.read(ctx)
		if err != nil {
			return err
		}
		missing := notConfirmed(state, index)
		if len(missing) == 0 {
			s.progress("in force on %d of %d", len(state.GetMembers()), len(state.GetMembers()))
			return nil
		}
		if time.Now().After(until) {
			return &slowError{revision: index, missing: missing}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(waitPoll):
		}
	}
}

// notConfirmed returns the members that have not said that a configuration is
// in force with them.
func notConfirmed(state *saddlewire.ReadResponse, index uint64) []string {
	var out []string
	for _, m := range state.GetMembers() {
		if m.GetRevision() < index {
			out = append(out, m.GetNode())
		}
	}
	return out
}
