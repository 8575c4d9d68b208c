package saddlectl

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// pastRow is one accepted revision of a template or deployment.
type pastRow struct {
	inForce
	TemplateRevision uint64 `json:"template_revision,omitempty"`
	Configuration    uint64 `json:"configuration"`
	AcceptedAt       string `json:"accepted_at"`
	Request          string `json:"request"`
}

func runTemplateHistory(ctx context.Context, s *session, args []string) error {
	return s.showHistory(ctx, kindTemplate, args[0])
}

func runDeploymentHistory(ctx context.Context, s *session, args []string) error {
	return s.showHistory(ctx, kindDeployment, args[0])
}

// showHistory lists the revisions that control still keeps, latest last.
func (s *session) showHistory(ctx context.Context, kind, name string) error {
	past, err := s.past(ctx, kind, name)
	if err != nil {
		return err
	}
	return s.print(past, func(w io.Writer) {
		tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		_, _ = fmt.Fprintln(tw, "REVISION\tCONFIGURATION\tACCEPTED\tREQUEST\tOF")
		for _, p := range past {
			_, _ = fmt.Fprintf(tw, "%d\t%d\t%s\t%s\t%s\n", p.Revision, p.Configuration, p.AcceptedAt, p.Request, p.of())
		}
		_ = tw.Flush()
	})
}

// of says what a revision was made of.
func (p pastRow) of() string {
	if p.Kind == kindTemplate {
		return fmt.Sprintf("%d bytes", len(p.Body))
	}
	return fmt.Sprintf("%s revision %d %s", p.Template, p.TemplateRevision, parameters(p.Parameters))
}

func (s *session) past(ctx context.Context, kind, name string) ([]pastRow, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	state, err := s.client.ReadWith(ctx, &saddlewire.ReadRequest{HistoryKind: kind, HistoryName: name})
	if err != nil {
		return nil, err
	}
	if len(state.GetHistory()) == 0 {
		return nil, &missingError{kind: kind, name: name}
	}
	out := make([]pastRow, 0, len(state.GetHistory()))
	for _, p := range state.GetHistory() {
		out = append(out, pastRow{
			inForce: inForce{
				Kind: kind, Name: name, Revision: p.GetRevision(),
				Template: p.GetTemplate(), Parameters: p.GetParameters(), Body: p.GetBody(),
			},
			TemplateRevision: p.GetTemplateRevision(),
			Configuration:    p.GetIndex(),
			AcceptedAt:       time.Unix(0, p.GetNowNs()).UTC().Format(time.RFC3339),
			Request:          p.GetRequest(),
		})
	}
	return out, nil
}

// pastRevision returns the revision named with -revision.
func (s *session) pastRevision(ctx context.Context, kind, name string) (*inForce, error) {
	past, err := s.past(ctx, kind, name)
	if err != nil {
		return nil, err
	}
	for _, p := range past {
		if p.Revision == s.revision {
			return &p.inForce, nil
		}
	}
	return nil, &missingError{kind: kind, name: fmt.Sprintf("%s revision %d", name, s.revision)}
}
