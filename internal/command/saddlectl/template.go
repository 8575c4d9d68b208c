package saddlectl

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

func runTemplateList(ctx context.Context, s *session, _ []string) error {
	state, err := s.read(ctx)
	if err != nil {
		return err
	}
	rows := make([]*configObject, 0, len(state.GetTemplates()))
	for _, t := range state.GetTemplates() {
		rows = append(rows, findObject(state, kindTemplate, t.GetName()))
	}
	return s.print(rows, func(w io.Writer) {
		tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		_, _ = fmt.Fprintln(tw, "TEMPLATE\tREVISION\tBYTES")
		for _, r := range rows {
			_, _ = fmt.Fprintf(tw, "%s\t%d\t%d\n", r.Name, r.Revision, len(r.Body))
		}
		_ = tw.Flush()
	})
}

func runTemplateShow(ctx context.Context, s *session, args []string) error {
	t, err := s.templateRevision(ctx, args[0])
	if err != nil {
		return err
	}
	return s.print(t, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "# revision %d\n%s", t.Revision, t.Body)
	})
}

// templateRevision returns the revision given with -revision, or else the one in force.
func (s *session) templateRevision(ctx context.Context, name string) (*configObject, error) {
	if s.revision > 0 {
		return s.pastRevision(ctx, kindTemplate, name)
	}
	state, err := s.read(ctx)
	if err != nil {
		return nil, err
	}
	t := findObject(state, kindTemplate, name)
	if t == nil {
		return nil, &notFoundError{kind: kindTemplate, name: name}
	}
	return t, nil
}

func runTemplateDiff(ctx context.Context, s *session, args []string) error {
	t, err := readTemplateFile(args[0])
	if err != nil {
		return err
	}
	state, err := s.read(ctx)
	if err != nil {
		return err
	}
	old := findTemplate(state, t.name)
	d := newDiff(kindTemplate, t.name, old.GetRevision(), splitLines(old.GetBody()), splitLines(t.body))
	return s.print(d, d.write)
}

// runTemplateSubmit creates a template. With base 0, control refuses it if the template
// exists.
func runTemplateSubmit(ctx context.Context, s *session, args []string) error {
	return s.submitTemplate(ctx, args[0], 0)
}

func runTemplateRevise(ctx context.Context, s *session, args []string) error {
	if s.base == 0 {
		return errBaseRequired()
	}
	return s.submitTemplate(ctx, args[0], s.base)
}

func errBaseRequired() error {
	return &usageError{reason: "-base is required: the revision on which the change is based, at least 1"}
}

func (s *session) submitTemplate(ctx context.Context, path string, base uint64) error {
	t, err := readTemplateFile(path)
	if err != nil {
		return err
	}
	c, err := s.putTemplate(ctx, t, base, s.requestID)
	if err != nil {
		return err
	}
	return s.waitAndPrint(ctx, 0, []change{c})
}

func readTemplateFile(path string) (fleetTemplate, error) {
	t, _, err := readTemplate(path)
	if err != nil {
		return t, &usageError{reason: fmt.Sprintf("%s: %v", path, err)}
	}
	return t, nil
}

func (s *session) putTemplate(ctx context.Context, t fleetTemplate, base uint64, request string) (change, error) {
	return s.submit(ctx, kindTemplate, t.name, request, &saddlewire.Command{Change: &saddlewire.Command_PutTemplate{
		PutTemplate: &saddlewire.PutTemplate{Name: t.name, Base: base, Body: t.body},
	}})
}
