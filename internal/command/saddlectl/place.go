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

// placing is what the place command is given.
type placing struct {
	group    string
	version  string
	role     string
	adapters string
}

func placeFlags(s *session, fs *flag.FlagSet) {
	reviseFlags(s, fs)
	fs.StringVar(&s.placing.group, "group", "", "model that the engine is to hold; default the one it is wanted to hold")
	fs.StringVar(&s.placing.version, "version", "", "version of the model; empty: as it is")
	fs.StringVar(&s.placing.role, "role", "", "role of the engine; empty: as it is")
	fs.StringVar(&s.placing.adapters, "adapters", "", "adapters, comma-separated; others are dropped")
}

// runPlace says what an engine is wanted to hold. Without -base it replaces the
// revision in force.
func runPlace(ctx context.Context, s *session, args []string) error {
	state, err := s.read(ctx)
	if err != nil {
		return err
	}
	put := &saddlewire.PutPlacement{
		Target:   args[0],
		Base:     s.base,
		Group:    s.placing.group,
		Version:  s.placing.version,
		Role:     s.placing.role,
		Adapters: splitNames(s.placing.adapters),
	}
	old := placementOf(state, args[0])
	if put.GetBase() == 0 {
		put.Base = old.GetRevision()
	}
	if put.GetGroup() == "" {
		put.Group = old.GetGroup()
	}
	if put.GetGroup() == "" {
		return &usageError{reason: "-group is required: nothing is wanted of the target yet"}
	}
	c, err := s.submit(ctx, kindPlacement, args[0], s.request, &saddlewire.Command{Change: &saddlewire.Command_PutPlacement{PutPlacement: put}})
	if err != nil {
		return err
	}
	s.noteUnheard(ctx, args[0])
	return s.finish(ctx, 0, []change{c})
}

func placementOf(state *saddlewire.ReadResponse, target string) *saddlewire.Placement {
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

// placementRow is one placement as the command shows it.
type placementRow struct {
	Target   string   `json:"target"`
	Revision uint64   `json:"revision"`
	Group    string   `json:"group"`
	Version  string   `json:"version"`
	Role     string   `json:"role,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
	State    string   `json:"state"` // "held", "loading", "waiting", "unheard"
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

// placementState says how far an engine is, as its agent reports it.
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
