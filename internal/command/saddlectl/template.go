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
	rows := make([]*inForce, 0, len(state.GetTemplates()))
	for _, t := range state.GetTemplates() {
		rows = append(rows, find(state, kindTemplate, t.GetName()))
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
	t, err := s.showable(ctx, args[0])
	if err != nil {
		return err
	}
	return s.print(t, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "# revision %d\n%s", t.Revision, t.Body)
	})
}

// showable returns the template in force, or the revision asked for.
func (s *session) showable(ctx context.Context, name string) (*inForce, error) {
	if s.revision > 0 {
		return s.pastRevision(ctx, kindTemplate, name)
	}
	state, err := s.read(ctx)
	if err != nil {
		return nil, err
	}
	t := find(state, kindTemplate, name)
	if t == nil {
		return nil, &missingError{kind: kindTemplate, name: name}
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
	d := compare(kindTemplate, t.name, old.GetRevision(), lines(old.GetBody()), lines(t.body))
	return s.print(d, d.write)
}

// runTemplateSubmit creates a template: base 0 says that there must be none.
func runTemplateSubmit(ctx context.Context, s *session, args []string) error {
	return s.sendTemplate(ctx, args[0], 0)
}

func runTemplateRevise(ctx context.Context, s *session, args []string) error {
	if s.base == 0 {
		return errNoBase()
	}
	return s.sendTemplate(ctx, args[0], s.base)
}

func errNoBase() error {
	return &usageError{reason: "-base must name the revision that was read, from 1"}
}

func (s *session) sendTemplate(ctx context.Context, path string, base uint64) error {
	t, err := readTemplateFile(path)
	if err != nil {
		return err
	}
	c, err := s.putTemplate(ctx, t, base, s.request)
	if err != nil {
		return err
	}
	return s.finish(ctx, 0, []change{c})
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
