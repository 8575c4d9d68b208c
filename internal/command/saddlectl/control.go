package saddlectl

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
)

// replicaRow describes a control replica in the output of the control command.
type replicaRow struct {
	Node    string `json:"node"`
	Address string `json:"address"`
	Leader  bool   `json:"leader"`
	Voter   bool   `json:"voter"` // false while the replica catches up
	Match   uint64 `json:"match"` // highest log index known to be stored on the replica
}

// runControl prints the control replicas.
func runControl(ctx context.Context, s *session, _ []string) error {
	state, err := s.read(ctx)
	if err != nil {
		return err
	}
	rows := []replicaRow{}
	for _, r := range state.GetReplicas() {
		rows = append(rows, replicaRow{Node: r.GetId(), Address: r.GetAddress(), Leader: r.GetLeader(), Voter: r.GetVoter(), Match: r.GetMatch()})
	}
	return s.print(rows, func(w io.Writer) {
		tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		_, _ = fmt.Fprintln(tw, "REPLICA\tADDRESS\tLEADER\tVOTER\tSTORED")
		for _, r := range rows {
			_, _ = fmt.Fprintf(tw, "%s\t%s\t%t\t%t\t%d\n", r.Node, r.Address, r.Leader, r.Voter, r.Match)
		}
		_ = tw.Flush()
	})
}
