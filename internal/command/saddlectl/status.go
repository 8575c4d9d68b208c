package saddlectl

import (
	"context"
	"fmt"
	"io"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// status is what the command shows. It counts only what was heard.
type status struct {
	Revision    uint64   `json:"revision"`
	Term        uint64   `json:"term"`
	InForce     *spread  `json:"in_force"`
	Unconfirmed []string `json:"unconfirmed_views,omitempty"` // serve by a view that no majority confirmed
	NotHeard    []string `json:"not_heard,omitempty"`         // control replicas that do not report
	Templates   int      `json:"templates"`
	Deployments int      `json:"deployments"`
}

func runStatus(ctx context.Context, s *session, _ []string) error {
	state, err := s.read(ctx)
	if err != nil {
		return err
	}
	out := status{
		Revision:    state.GetRevision(),
		Term:        state.GetTerm(),
		InForce:     spreadOf(state, state.GetRevision()),
		NotHeard:    notHeard(state),
		Templates:   len(state.GetTemplates()),
		Deployments: len(state.GetDeployments()),
	}
	for _, m := range state.GetMembers() {
		if !m.GetConfirmed() {
			out.Unconfirmed = append(out.Unconfirmed, m.GetNode())
		}
	}
	return s.print(out, out.write)
}

// notHeard returns the control replicas that are not among the members.
func notHeard(state *saddlewire.ReadResponse) []string {
	heard := map[string]bool{}
	for _, m := range state.GetMembers() {
		heard[m.GetNode()] = true
	}
	var out []string
	for _, r := range state.GetReplicas() {
		if !heard[r.GetId()] {
			out = append(out, r.GetId())
		}
	}
	return out
}

func (st status) write(w io.Writer) {
	_, _ = fmt.Fprintf(w, "configuration %d accepted (term %d), in force on %d of %d\n", st.Revision, st.Term, st.InForce.Confirmed, st.InForce.Members)
	for _, b := range st.InForce.Missing {
		_, _ = fmt.Fprintf(w, "  not confirmed: %s, at %d", b.Node, b.Revision)
		if b.Since != "" {
			_, _ = fmt.Fprintf(w, " since %s", b.Since)
		}
		_, _ = fmt.Fprintln(w)
	}
	for _, node := range st.Unconfirmed {
		_, _ = fmt.Fprintf(w, "  unconfirmed view: %s\n", node)
	}
	for _, node := range st.NotHeard {
		_, _ = fmt.Fprintf(w, "  control replica not heard: %s\n", node)
	}
	_, _ = fmt.Fprintf(w, "%d templates, %d deployments\n", st.Templates, st.Deployments)
}
