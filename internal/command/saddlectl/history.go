package saddlectl

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// historyRow is an accepted revision of a template or deployment.
type historyRow struct {
	configObject
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

// showHistory lists the revisions that control retains, oldest first.
func (s *session) showHistory(ctx context.Context, kind, name string) error {
	rows, err := s.loadHistory(ctx, kind, name)
	if err != nil {
		return err
	}
	return s.print(rows, func(w io.Writer) {
		tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		_, _ = fmt.Fprintln(tw, "REVISION\tCONFIGURATION\tACCEPTED\tREQUEST\tOF")
		for _, r := range rows {
			_, _ = fmt.Fprintf(tw, "%d\t%d\t%s\t%s\t%s\n", r.Revision, r.Configuration, r.AcceptedAt, r.Request, r.summary())
		}
		_ = tw.Flush()
	})
}

// summary returns the text of the OF column: the size of a template, or the template
// revision and the parameters of a deployment.
func (r historyRow) summary() string {
	if r.Kind == kindTemplate {
		return fmt.Sprintf("%d bytes", len(r.Body))
	}
	return fmt.Sprintf("%s revision %d %s", r.Template, r.TemplateRevision, parameters(r.Parameters))
}

func (s *session) loadHistory(ctx context.Context, kind, name string) ([]historyRow, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	state, err := s.client.ReadWith(ctx, &saddlewire.ReadRequest{HistoryKind: kind, HistoryName: name})
	if err != nil {
		return nil, err
	}
	if len(state.GetHistory()) == 0 {
		return nil, &notFoundError{kind: kind, name: name}
	}
	out := make([]historyRow, 0, len(state.GetHistory()))
	for _, revision := range state.GetHistory() {
		out = append(out, historyRow{
			configObject: configObject{
				Kind: kind, Name: name, Revision: revision.GetRevision(),
				Template: revision.GetTemplate(), Parameters: revision.GetParameters(), Body: revision.GetBody(),
			},
			TemplateRevision: revision.GetTemplateRevision(),
			Configuration:    revision.GetIndex(),
			AcceptedAt:       time.Unix(0, revision.GetNowNs()).UTC().Format(time.RFC3339),
			Request:          revision.GetRequest(),
		})
	}
	return out, nil
}

// pastRevision returns the revision given with -revision.
func (s *session) pastRevision(ctx context.Context, kind, name string) (*configObject, error) {
	rows, err := s.loadHistory(ctx, kind, name)
	if err != nil {
		return nil, err
	}
	for _, r := range rows {
		if r.Revision == s.revision {
			return &r.configObject, nil
		}
	}
	return nil, &notFoundError{kind: kind, name: fmt.Sprintf("%s revision %d", name, s.revision)}
}
