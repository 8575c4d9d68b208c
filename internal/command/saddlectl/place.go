package saddlectl

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// placementFlags holds the flags of the place command.
type placementFlags struct {
	group    string
	version  string
	role     string
	adapters string
}

func placeFlags(s *session, fs *flag.FlagSet) {
	reviseFlags(s, fs)
	fs.StringVar(&s.placement.group, "group", "", "model that the engine should hold; default the model of its current placement")
	fs.StringVar(&s.placement.version, "version", "", "version of the model; empty leaves the version of the engine as it is")
	fs.StringVar(&s.placement.role, "role", "", "role of the engine; empty leaves it as it is")
	fs.StringVar(&s.placement.adapters, "adapters", "", "adapters, comma-separated; those not listed are dropped")
}

// runPlace sets the placement of an engine. Without -base it replaces the revision that
// it has read.
func runPlace(ctx context.Context, s *session, args []string) error {
	state, err := s.read(ctx)
	if err != nil {
		return err
	}
	put := &saddlewire.PutPlacement{
		Target:   args[0],
		Base:     s.base,
		Group:    s.placement.group,
		Version:  s.placement.version,
		Role:     s.placement.role,
		Adapters: splitNames(s.placement.adapters),
	}
	old := findPlacement(state, args[0])
	if put.GetBase() == 0 {
		put.Base = old.GetRevision()
	}
	if put.GetGroup() == "" {
		put.Group = old.GetGroup()
	}
	if put.GetGroup() == "" {
		return &usageError{reason: "-group is required: the target has no placement yet"}
	}
	c, err := s.submit(ctx, kindPlacement, args[0], s.requestID, &saddlewire.Command{Change: &saddlewire.Command_PutPlacement{PutPlacement: put}})
	if err != nil {
		return err
	}
	s.warnUnknownTarget(ctx, args[0])
	return s.waitAndPrint(ctx, 0, []change{c})
}

func findPlacement(state *saddlewire.ReadResponse, target string) *saddlewire.Placement {
	for _, p := range state.GetPlacements() {
		if p.GetTarget() == target {
			return p
		}
	}
	return nil
}

func splitNames(text string) []string {
	var out []string
	for name := range strings.SplitSeq(text, ",") {
		if name = strings.TrimSpace(name); name != "" {
			out = append(out, name)
		}
	}
	return out
}

// placementRow describes a placement in the output of the placements command.
type placementRow struct {
	Target   string   `json:"target"`
	Revision uint64   `json:"revision"`
	Group    string   `json:"group"`
	Version  string   `json:"version"`
	Role     string   `json:"role,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
	State    string   `json:"state"` // as returned by placementState
}

func runPlacements(ctx context.Context, s *session, _ []string) error {
	state, err := s.read(ctx)
	if err != nil {
		return err
	}
	rows := []placementRow{}
	for _, p := range state.GetPlacements() {
		rows = append(rows, placementRow{
			Target: p.GetTarget(), Revision: p.GetRevision(), Group: p.GetGroup(), Version: p.GetVersion(),
			Role: p.GetRole(), Adapters: p.GetAdapters(), State: placementState(state, p.GetTarget()),
		})
	}
	return s.print(rows, func(w io.Writer) {
		tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		_, _ = fmt.Fprintln(tw, "TARGET\tREVISION\tGROUP\tVERSION\tROLE\tADAPTERS\tSTATE")
		for _, r := range rows {
			_, _ = fmt.Fprintf(tw, "%s\t%d\t%s\t%s\t%s\t%s\t%s\n",
				r.Target, r.Revision, r.Group, r.Version, r.Role, strings.Join(r.Adapters, ","), r.State)
		}
		_ = tw.Flush()
	})
}

// placementState returns the state of an engine's placement as reported by its agent:
// "loading" during a load, "waiting" if the engine has a load to start, and otherwise
// "held". It returns "unheard" if no member reports the target.
func placementState(state *saddlewire.ReadResponse, target string) string {
	for _, m := range state.GetMembers() {
		switch {
		case m.GetTarget().GetId() != target:
		case m.GetLoading():
			return "loading"
		case m.GetNeedsLoad():
			return "waiting"
		default:
			return "held"
		}
	}
	return "unheard"
}
