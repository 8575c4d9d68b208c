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
	rows := make([]*inForce, 0, len(state.GetDeployments()))
	for _, d := range state.GetDeployments() {
		rows = append(rows, find(state, kindDeployment, d.GetWorkspace()))
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
		return &missingError{kind: kindDeployment, name: args[0]}
	}
	view := renderedOf(d)
	return s.print(view, view.write)
}

// runDeploymentDiff renders what new parameters would give, here, and compares
// it with what is in force. Nothing is sent.
func runDeploymentDiff(ctx context.Context, s *session, args []string) error {
	state, err := s.read(ctx)
	if err != nil {
		return err
	}
	old := findDeployment(state, args[0])
	next := s.revised(old, args[0])
	t := findTemplate(state, next.Template)
	if t == nil {
		return &missingError{kind: kindTemplate, name: next.Template}
	}
	parsed, err := saddletemplate.Parse(t.GetName(), t.GetBody())
	if err != nil {
		return err
	}
	rendered, err := parsed.Render(next.Workspace, next.Parameters)
	if err != nil {
		return &usageError{reason: err.Error()}
	}
	var before []string
	if old != nil {
		before = renderedOf(old).lines()
	}
	d := compare(kindDeployment, args[0], old.GetRevision(), before, renderedOf(rendered).lines())
	return s.print(d, d.write)
}

// runDeploymentSubmit creates a deployment: base 0 says that there must be
// none.
func runDeploymentSubmit(ctx context.Context, s *session, args []string) error {
	if s.template == "" {
		return &usageError{reason: "-template must name a template"}
	}
	return s.sendDeployment(ctx, fleetDeployment{Workspace: args[0], Template: s.template, Parameters: s.set}, 0)
}

// runDeploymentRevise starts from the parameters in force; where they are not
// those of the base, control refuses the change.
func runDeploymentRevise(ctx context.Context, s *session, args []string) error {
	if s.base == 0 {
		return errNoBase()
	}
	state, err := s.read(ctx)
	if err != nil {
		return err
	}
	old := findDeployment(state, args[0])
	if old == nil {
		return &missingError{kind: kindDeployment, name: args[0]}
	}
	return s.sendDeployment(ctx, s.revised(old, args[0]), s.base)
}

// revised returns a deployment with the parameters that the flags change.
func (s *session) revised(old *saddlewire.Deployment, workspace string) fleetDeployment {
	next := fleetDeployment{Workspace: workspace, Template: s.template, Parameters: map[string]string{}}
	if next.Template == "" {
		next.Template = old.GetTemplate()
	}
	maps.Copy(next.Parameters, old.GetParameters())
	for _, name := range s.unset {
		delete(next.Parameters, name)
	}
	maps.Copy(next.Parameters, s.set)
	return next
}

func (s *session) sendDeployment(ctx context.Context, d fleetDeployment, base uint64) error {
	c, err := s.putDeployment(ctx, d, base, s.request)
	if err != nil {
		return err
	}
	return s.finish(ctx, 0, []change{c})
}

func (s *session) putDeployment(ctx context.Context, d fleetDeployment, base uint64, request string) (change, error) {
	return s.submit(ctx, kindDeployment, d.Workspace, request, &saddlewire.Command{Change: &saddlewire.Command_PutDeployment{
		PutDeployment: &saddlewire.PutDeployment{Workspace: d.Workspace, Base: base, Template: d.Template, Parameters: d.Parameters},
	}})
}
