package saddlectl

import (
	"context"
	"fmt"
	"io"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// status is the output of the status command. It counts only members that report
// to control.
type status struct {
	Revision           uint64         `json:"revision"`
	Term               uint64         `json:"term"`
	InForce            *rolloutStatus `json:"in_force"`
	UnconfirmedMembers []string       `json:"unconfirmed_views,omitempty"` // members whose view no majority has confirmed recently
	NotReporting       []string       `json:"not_heard,omitempty"`         // control replicas missing from the member list
	Settings           []roleSettings `json:"settings,omitempty"`          // settings in force, by role
	Templates          int            `json:"templates"`
	Deployments        int            `json:"deployments"`
}

func runStatus(ctx context.Context, s *session, _ []string) error {
	state, err := s.read(ctx)
	if err != nil {
		return err
	}
	out := status{
		Revision:     state.GetRevision(),
		Term:         state.GetTerm(),
		InForce:      newRolloutStatus(state, state.GetRevision()),
		NotReporting: replicasNotReporting(state),
		Settings:     settingsByRole(state.GetMembers()),
		Templates:    len(state.GetTemplates()),
		Deployments:  len(state.GetDeployments()),
	}
	for _, m := range state.GetMembers() {
		if !m.GetConfirmed() {
			out.UnconfirmedMembers = append(out.UnconfirmedMembers, m.GetNode())
		}
	}
	return s.print(out, out.write)
}

// replicasNotReporting returns the control replicas that are missing from the member
// list.
func replicasNotReporting(state *saddlewire.ReadResponse) []string {
	reporting := map[string]bool{}
	for _, m := range state.GetMembers() {
		reporting[m.GetNode()] = true
	}
	var out []string
	for _, r := range state.GetReplicas() {
		if !reporting[r.GetId()] {
			out = append(out, r.GetId())
		}
	}
	return out
}

func (st status) write(w io.Writer) {
	_, _ = fmt.Fprintf(w, "configuration %d accepted (term %d), in force on %d of %d\n", st.Revision, st.Term, st.InForce.Confirmed, st.InForce.Members)
	for _, m := range st.InForce.NotConfirmed {
		_, _ = fmt.Fprintf(w, "  not confirmed: %s, at %d", m.Node, m.Revision)
		if m.Since != "" {
			_, _ = fmt.Fprintf(w, " since %s", m.Since)
		}
		_, _ = fmt.Fprintln(w)
	}
	for _, node := range st.UnconfirmedMembers {
		_, _ = fmt.Fprintf(w, "  unconfirmed view: %s\n", node)
	}
	for _, node := range st.NotReporting {
		_, _ = fmt.Fprintf(w, "  control replica not heard: %s\n", node)
	}
	for _, s := range st.Settings {
		s.write(w)
	}
	_, _ = fmt.Fprintf(w, "%d templates, %d deployments\n", st.Templates, st.Deployments)
}
