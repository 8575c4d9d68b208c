package saddlectl

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
)

// status is what the command shows.
type status struct {
	Revision     uint64   `json:"revision"`
	Term         uint64   `json:"term"`
	Members      int      `json:"members"`
	InForce      int      `json:"in_force"`
	NotConfirmed []string `json:"not_confirmed,omitempty"`
	Unconfirmed  []string `json:"unconfirmed_views,omitempty"` // serve by a view that no majority confirmed
	Templates    int      `json:"templates"`
	Deployments  int      `json:"deployments"`
}

func runStatus(ctx context.Context, s *session, _ []string) error {
	state, err := s.read(ctx)
	if err != nil {
		return err
	}
	out := status{
		Revision:     state.GetRevision(),
		Term:         state.GetTerm(),
		Members:      len(state.GetMembers()),
		NotConfirmed: notConfirmed(state, state.GetRevision()),
		Templates:    len(state.GetTemplates()),
		Deployments:  len(state.GetDeployments()),
	}
	out.InForce = out.Members - len(out.NotConfirmed)
	for _, m := range state.GetMembers() {
		if !m.GetConfirmed() {
			out.Unconfirmed = append(out.Unconfirmed, m.GetNode())
		}
	}
	return s.print(out, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "configuration %d accepted (term %d), in force on %d of %d\n", out.Revision, out.Term, out.InForce, out.Members)
		for _, node := range out.NotConfirmed {
			_, _ = fmt.Fprintf(w, "  not confirmed: %s\n", node)
		}
		for _, node := range out.Unconfirmed {
			_, _ = fmt.Fprintf(w, "  unconfirmed view: %s\n", node)
		}
		_, _ = fmt.Fprintf(w, "%d templates, %d deployments\n", out.Templates, out.Deployments)
	})
}

// targetRow is one target as the command shows it.
type targetRow struct {
	Target  string `json:"target"`
	Kind    string `json:"kind"`
	Group   string `json:"group"`
	Version string `json:"version"`
	Layers  string `json:"layers,omitempty"`
	Centre  string `json:"centre"`
	State   string `json:"state"`
	Running uint32 `json:"running"`
	Queued  uint32 `json:"queued"`
	Agent   string `json:"agent"`
}

func runTargets(ctx context.Context, s *session, _ []string) error {
	state, err := s.read(ctx)
	if err != nil {
		return err
	}
	var rows []targetRow
	for _, m := range state.GetMembers() {
		t := m.GetTarget()
		if t == nil {
			continue
		}
		row := targetRow{
			Target: t.GetId(), Kind: t.GetKind(), Group: t.GetGroup(), Version: t.GetVersion(),
			Centre: m.GetCentre(), State: "serving", Agent: m.GetNode(),
			Running: m.GetLoad().GetRunning(), Queued: m.GetLoad().GetQueued(),
		}
		if l := t.GetLayers(); l.GetOf() > 0 {
			row.Layers = fmt.Sprintf("[%d,%d) of %d", l.GetFrom(), l.GetTo(), l.GetOf())
		}
		if m.GetLeaving() {
			row.State = "leaving"
		}
		rows = append(rows, row)
	}
	return s.print(rows, func(w io.Writer) {
		tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		_, _ = fmt.Fprintln(tw, "TARGET\tKIND\tGROUP\tVERSION\tLAYERS\tCENTRE\tSTATE\tRUNNING\tQUEUED\tAGENT")
		for _, r := range rows {
			_, _ = fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t%s\n",
				r.Target, r.Kind, r.Group, r.Version, r.Layers, r.Centre, r.State, r.Running, r.Queued, r.Agent)
		}
		_ = tw.Flush()
	})
}

// replicaRow is one control replica as the command shows it.
type replicaRow struct {
	Node    string `json:"node"`
	Address string `json:"address"`
	Leader  bool   `json:"leader"`
	Match   uint64 `json:"match"` // log index known to be stored there
}

func runControl(ctx context.Context, s *session, _ []string) error {
	state, err := s.read(ctx)
	if err != nil {
		return err
	}
	var rows []replicaRow
	for _, r := range state.GetReplicas() {
		rows = append(rows, replicaRow{Node: r.GetId(), Address: r.GetAddress(), Leader: r.GetLeader(), Match: r.GetMatch()})
	}
	return s.print(rows, func(w io.Writer) {
		tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		_, _ = fmt.Fprintln(tw, "REPLICA\tADDRESS\tLEADER\tSTORED")
		for _, r := range rows {
			_, _ = fmt.Fprintf(tw, "%s\t%s\t%t\t%d\n", r.Node, r.Address, r.Leader, r.Match)
		}
		_ = tw.Flush()
	})
}
