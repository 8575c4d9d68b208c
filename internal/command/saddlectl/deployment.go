package saddlectl

import (
	"context"
	"fmt"
	"io"
	"maps"
	"text/tabwriter"

	"github.com/fireflysaddle/fireflysaddle/internal/control/saddletemplate"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

func runDeploymentList(ctx context.Context, s *session, _ []string) error {
	state, err := s.read(ctx)
	if err != nil {
		return err
	}
	rows := make([]*configObject, 0, len(state.GetDeployments()))
	for _, d := range state.GetDeployments() {
		rows = append(rows, findObject(state, kindDeployment, d.GetWorkspace()))
	}
	return s.print(rows, func(w io.Writer) {
		tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		_, _ = fmt.Fprintln(tw, "WORKSPACE\tREVISION\tTEMPLATE")
		for _, r := range rows {
			_, _ = fmt.Fprintf(tw, "%s\t%d\t%s\n", r.Name, r.Revision, r.Template)
		}
		_ = tw.Flush()
	})
}

func runDeploymentShow(ctx context.Context, s *session, args []string) error {
	state, err := s.read(ctx)
	if err != nil {
		return err
	}
	d := findDeployment(state, args[0])
	if d == nil {
		return &notFoundError{kind: kindDeployment, name: args[0]}
	}
	view := newRenderedDeployment(d)
	return s.print(view, view.write)
}

// runDeploymentDiff renders the deployment with the new parameters locally and
// compares it with the one in force. It submits nothing.
func runDeploymentDiff(ctx context.Context, s *session, args []string) error {
	state, err := s.read(ctx)
	if err != nil {
		return err
	}
	old := findDeployment(state, args[0])
	revised := s.revisedDeployment(old, args[0])
	t := findTemplate(state, revised.Template)
	if t == nil {
		return &notFoundError{kind: kindTemplate, name: revised.Template}
	}
	parsed, err := saddletemplate.Parse(t.GetName(), t.GetBody())
	if err != nil {
		return err
	}
	rendered, err := parsed.Render(revised.Workspace, revised.Parameters)
	if err != nil {
		return &usageError{reason: err.Error()}
	}
	var before []string
	if old != nil {
		before = newRenderedDeployment(old).lines()
	}
	d := newDiff(kindDeployment, args[0], old.GetRevision(), before, newRenderedDeployment(rendered).lines())
	return s.print(d, d.write)
}

// runDeploymentSubmit creates a deployment. With base 0, control refuses it if the
// deployment exists.
func runDeploymentSubmit(ctx context.Context, s *session, args []string) error {
	if s.template == "" {
		return &usageError{reason: "-template must name a template"}
	}
	return s.submitDeployment(ctx, fleetDeployment{Workspace: args[0], Template: s.template, Parameters: s.setParameters}, 0)
}

// runDeploymentRevise applies the flags to the parameters in force. Control refuses the
// change if the revision in force is not the base revision.
func runDeploymentRevise(ctx context.Context, s *session, args []string) error {
	if s.base == 0 {
		return errBaseRequired()
	}
	state, err := s.read(ctx)
	if err != nil {
		return err
	}
	old := findDeployment(state, args[0])
	if old == nil {
		return &notFoundError{kind: kindDeployment, name: args[0]}
	}
	return s.submitDeployment(ctx, s.revisedDeployment(old, args[0]), s.base)
}

// revisedDeployment returns a copy of a deployment with the flags applied. It starts
// from an empty deployment if old is nil.
func (s *session) revisedDeployment(old *saddlewire.Deployment, workspace string) fleetDeployment {
	revised := fleetDeployment{Workspace: workspace, Template: s.template, Parameters: map[string]string{}}
	if revised.Template == "" {
		revised.Template = old.GetTemplate()
	}
	maps.Copy(revised.Parameters, old.GetParameters())
	for _, name := range s.unsetParameters {
		delete(revised.Parameters, name)
	}
	maps.Copy(revised.Parameters, s.setParameters)
	return revised
}

func (s *session) submitDeployment(ctx context.Context, d fleetDeployment, base uint64) error {
	c, err := s.putDeployment(ctx, d, base, s.requestID)
	if err != nil {
		return err
	}
	return s.waitAndPrint(ctx, 0, []change{c})
}

func (s *session) putDeployment(ctx context.Context, d fleetDeployment, base uint64, request string) (change, error) {
	return s.submit(ctx, kindDeployment, d.Workspace, request, &saddlewire.Command{Change: &saddlewire.Command_PutDeployment{
		PutDeployment: &saddlewire.PutDeployment{Workspace: d.Workspace, Base: base, Template: d.Template, Parameters: d.Parameters},
	}})
}
