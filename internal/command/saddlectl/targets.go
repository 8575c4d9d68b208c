package saddlectl

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
)

// targetRow describes a target in the output of the targets command.
type targetRow struct {
	Target  string `json:"target"`
	Kind    string `json:"kind"`
	Group   string `json:"group"`
	Version string `json:"version"`
	Layers  string `json:"layers,omitempty"`
	Centre  string `json:"centre"`
	State   string `json:"state"` // "serving", "leaving", or "drained" while an operator's drain is active
	Running uint32 `json:"running"`
	Queued  uint32 `json:"queued"`
	Agent   string `json:"agent"`
}

func runTargets(ctx context.Context, s *session, _ []string) error {
	state, err := s.read(ctx)
	if err != nil {
		return err
	}
	drained := map[string]bool{}
	for _, d := range state.GetDrains() {
		drained[d.GetTarget()] = d.GetActive()
	}
	rows := []targetRow{}
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
		if drained[t.GetId()] {
			row.State = "drained"
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
