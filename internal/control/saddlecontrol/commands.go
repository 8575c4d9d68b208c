package saddlecontrol

import (
	"errors"
	"net"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/control/saddlequarantine"
	"github.com/fireflysaddle/fireflysaddle/internal/control/saddlereplica"
	"github.com/fireflysaddle/fireflysaddle/internal/control/saddlestate"
	"github.com/fireflysaddle/fireflysaddle/internal/trace/saddletimeline"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// submit proposes a command. It refuses the command if this replica holds no valid
// lease, or if the command cannot be encoded or proposed. A refusal means that nothing
// was proposed.
func (c *core) submit(now time.Time, e submitEvent) {
	if !c.replica.LeaseValid(now) {
		e.reply <- &saddlewire.SubmitResponse{Refused: true, Leader: c.leaderAddress()}
		return
	}
	e.command.NowNs = e.at.UnixNano()
	e.command.Term = c.replica.Term()
	data, err := proto.Marshal(e.command)
	if err != nil {
		e.reply <- &saddlewire.SubmitResponse{Refused: true}
		return
	}
	index, err := c.replica.Propose(now, data)
	if err != nil {
		e.reply <- &saddlewire.SubmitResponse{Refused: true, Leader: c.leaderAddress()}
		return
	}
	countCommands.Add(1)
	c.pending[index] = pendingCommand{term: c.replica.Term(), reply: e.reply}
}

// applyCommitted applies the committed snapshot and entries and answers the callers
// that wait for those entries.
func (c *core) applyCommitted(now time.Time, rd saddlereplica.Ready) error {
	oldRevision := c.state.Revision()
	if rd.Snapshot != nil {
		if err := c.applySnapshot(rd.Snapshot); err != nil {
			return err
		}
	}
	for _, e := range rd.Committed {
		c.applyEntry(now, e)
	}
	if c.state.Revision() != oldRevision {
		c.cfg.Timeline.Add(now, saddletimeline.Event{Name: "configuration", Revision: c.state.Revision(), Term: c.replica.Term()})
		c.wakeSubscribers()
	}
	return nil
}

func (c *core) applySnapshot(s *saddlewire.Snapshot) error {
	state, err := saddlestate.Decode(s.GetData())
	if err != nil {
		return eris.Wrapf(err, "decode the leader's snapshot at index %d", s.GetIndex())
	}
	c.state = state
	c.applied = s.GetIndex()
	c.appliedBytes = 0
	c.lastSnapshot = s.GetIndex()
	return nil
}

func (c *core) applyEntry(now time.Time, e *saddlewire.LogEntry) {
	c.applied = e.GetIndex()
	c.appliedBytes += int64(len(e.GetData()))
	result := c.applyCommand(e)
	p, ok := c.pending[e.GetIndex()]
	if !ok {
		return
	}
	delete(c.pending, e.GetIndex())
	if p.term != e.GetTerm() {
		result = nil // another leader's entry was committed at this index
	}
	p.reply <- &saddlewire.SubmitResponse{Result: result, Stamp: c.cfg.Timeline.Stamp(now)}
}

func (c *core) applyCommand(e *saddlewire.LogEntry) *saddlewire.Result {
	if e.GetMembership() != nil {
		c.cfg.Log.Info().Uint64("index", e.GetIndex()).Str("replicas", formatMembership(e.GetMembership())).Msg("control replicas changed")
		return &saddlewire.Result{Accepted: true, Index: e.GetIndex()}
	}
	if len(e.GetData()) == 0 {
		return nil
	}
	command := &saddlewire.Command{}
	if err := proto.Unmarshal(e.GetData(), command); err != nil {
		c.cfg.Log.Error().Err(err).Uint64("index", e.GetIndex()).Msg("failed to decode a committed command")
		return nil
	}
	return c.state.Apply(e.GetIndex(), command)
}

// snapshotIfDue stores a snapshot of the applied state and compacts the log up to the
// index of the snapshot. It does nothing until SnapshotEvery entries, or commands of
// snapshotBytes, have been applied since the previous snapshot.
func (c *core) snapshotIfDue() error {
	if c.applied-c.lastSnapshot < uint64(c.cfg.SnapshotEvery) && c.appliedBytes < snapshotBytes {
		return nil
	}
	data, err := c.state.Encode()
	if err != nil {
		return err
	}
	s := c.replica.MakeSnapshot(data)
	if s == nil {
		return nil
	}
	if err := c.store.SetSnapshot(s); err != nil {
		return err
	}
	c.replica.Compact(s)
	c.appliedBytes = 0
	c.lastSnapshot = c.applied
	countSnapshots.Add(1)
	return nil
}

// changeMembership proposes to add, remove or replace a replica.
func (c *core) changeMembership(now time.Time, e changeEvent) {
	index, err := c.proposeChange(now, e.change)
	var notLeader *fireflysaddle.NotLeaderError
	switch {
	case errors.As(err, &notLeader):
		e.reply <- &saddlewire.SubmitResponse{Refused: true, Leader: c.leaderAddress()}
	case err != nil:
		e.reply <- &saddlewire.SubmitResponse{Result: &saddlewire.Result{Code: string(fireflysaddle.CodeInvalid), Message: err.Error()}}
	case index == 0: // the latest membership already contains the change
		e.reply <- &saddlewire.SubmitResponse{Result: &saddlewire.Result{Accepted: true}}
	default:
		c.pending[index] = pendingCommand{term: c.replica.Term(), reply: e.reply}
	}
}

// proposeChange returns the log index of the proposed membership, or 0 if the latest
// membership already contains the change.
func (c *core) proposeChange(now time.Time, change *saddlewire.ReplicaChange) (uint64, error) {
	switch {
	case change.GetAdd() != "":
		if _, _, err := net.SplitHostPort(change.GetAddress()); err != nil {
			return 0, &saddlereplica.MembershipError{ID: change.GetAdd(), Reason: "needs an address of the form IP:port"}
		}
		replacedID := change.GetRemove()
		if replacedID == "" && c.cfg.DesiredVoters > 0 {
			replacedID = c.replica.ReplicaToReplace(now, change.GetAdd(), change.GetAddress())
		}
		return c.replica.AddReplica(now, change.GetAdd(), change.GetAddress(), replacedID)
	case change.GetRemove() != "" && change.GetSurplus():
		return c.replica.RemoveSurplusReplica(now, change.GetRemove())
	case change.GetRemove() != "":
		return c.replica.RemoveReplica(now, change.GetRemove())
	}
	return 0, &saddlereplica.MembershipError{Reason: "cannot be added or removed: the change names no replica"}
}

// formatMembership lists the replica ids of a membership and marks learners.
func formatMembership(m *saddlewire.Membership) string {
	var out []string
	for _, p := range m.GetReplicas() {
		name := p.GetId()
		if !p.GetVoter() {
			name += " (no vote)"
		}
		out = append(out, name)
	}
	return strings.Join(out, ", ")
}

// read returns the applied state. The response is marked as current only if this replica
// holds a valid lease.
func (c *core) read(now time.Time, in *saddlewire.ReadRequest) *saddlewire.ReadResponse {
	r := &saddlewire.ReadResponse{
		Current:     c.replica.LeaseValid(now),
		Leader:      c.leaderAddress(),
		Revision:    c.state.Revision(),
		Templates:   c.state.Templates(),
		Deployments: c.state.Deployments(),
		Drains:      c.state.Drains(),
		Placements:  c.state.Placements(),
		Members:     c.members.sorted(),
		Term:        c.replica.Term(),
		History:     c.state.History(in.GetHistoryKind(), in.GetHistoryName()),
	}
	for _, p := range c.replica.CommittedMembers() {
		r.Replicas = append(r.Replicas, &saddlewire.Replica{
			Id:      p.GetId(),
			Address: p.GetAddress(),
			Leader:  p.GetId() == c.replica.LeaderID(),
			Match:   c.replica.MatchIndex(p.GetId()),
			Voter:   p.GetVoter(),
		})
	}
	return r
}

// recordHeartbeat updates the load grants and the member table, and wakes the subscribers
// that are to hear of a change of the member. An outdated heartbeat changes nothing.
func (c *core) recordHeartbeat(now time.Time, m *saddlewire.Member, sentNs int64) {
	countHeartbeats.Add(1)
	if c.members.outdated(m, sentNs) {
		countOutdatedHeartbeats.Add(1)
		return
	}
	c.loadGrants.RecordHeartbeat(now, m.GetNode(), m.GetNeedsLoad(), m.GetLoading())
	c.registry.MarkHeard(now, m.GetLoad().GetHeard())
	for _, change := range c.quarantines.Observe(now, m) {
		c.logQuarantine(change, m.GetNode())
	}
	change := c.members.record(now, m, sentNs)
	if change == memberUnchanged {
		return
	}
	c.cfg.Timeline.Add(now, saddletimeline.Event{Name: "member", Subject: m.GetNode(), Target: m.GetTarget().GetId()})
	if change == memberReportChanged && !c.sendsReports(now) {
		c.wakeControls()
		return
	}
	c.wakeSubscribers()
}

// logQuarantine logs that a quarantine of requests began or was lifted because of the report
// of a node.
func (c *core) logQuarantine(change saddlequarantine.Change, node string) {
	e := c.cfg.Log.Warn().Strs("traits", change.Quarantine.GetTraits()).Str("reported_by", node)
	if change.Lifted {
		e.Msg("quarantine of requests lifted: a target has answered one with these traits")
		return
	}
	e.Strs("targets", change.Targets).Time("until", time.UnixMilli(change.Quarantine.GetUntilMs())).
		Msg("requests quarantined: targets ended whenever they were to answer one with these traits")
}
