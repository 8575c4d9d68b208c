package saddlecontrol

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/fireflysaddle/fireflysaddle/internal/control/saddlereplica"
	"github.com/fireflysaddle/fireflysaddle/internal/control/saddlestate"
	"github.com/fireflysaddle/fireflysaddle/internal/trace/saddletimeline"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// submit proposes a command. Without a valid lease it is refused at once: the
// caller learns that nothing was proposed.
func (c *core) submit(now time.Time, e submitEvent) {
	if !c.replica.LeaseValid(now) {
		e.reply <- &saddlewire.SubmitResponse{Refused: true, Leader: c.leaderAddress()}
		return
	}
	e.command.NowNs = now.UnixNano()
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

// applyAll applies what was committed and answers those who wait for it.
func (c *core) applyAll(now time.Time, rd saddlereplica.Ready) {
	before := c.state.Revision()
	if rd.Snapshot != nil {
		c.applySnapshot(rd.Snapshot)
	}
	for _, e := range rd.Committed {
		c.applyEntry(now, e)
	}
	if c.state.Revision() != before {
		c.cfg.Timeline.Add(now, saddletimeline.Event{Name: "configuration", Revision: c.state.Revision(), Term: c.replica.Term()})
		c.wakeAttendees()
	}
}

func (c *core) applySnapshot(s *saddlewire.Snapshot) {
	state, err := saddlestate.Decode(s.GetData())
	if err != nil {
		c.cfg.Log.Error().Err(err).Uint64("index", s.GetIndex()).Msg("snapshot cannot be decoded")
		return
	}
	c.state = state
	c.applied = s.GetIndex()
	c.lastSnapshot = s.GetIndex()
}

func (c *core) applyEntry(now time.Time, e *saddlewire.LogEntry) {
	c.applied = e.GetIndex()
	result := c.applyCommand(e)
	p, ok := c.pending[e.GetIndex()]
	if !ok {
		return
	}
	delete(c.pending, e.GetIndex())
	if p.term != e.GetTerm() {
		result = nil // another leader's entry took the place
	}
	p.reply <- &saddlewire.SubmitResponse{Result: result, Stamp: c.cfg.Timeline.Stamp(now)}
}

func (c *core) applyCommand(e *saddlewire.LogEntry) *saddlewire.Result {
	if len(e.GetData()) == 0 {
		return nil
	}
	command := &saddlewire.Command{}
	if err := proto.Unmarshal(e.GetData(), command); err != nil {
		c.cfg.Log.Error().Err(err).Uint64("index", e.GetIndex()).Msg("command cannot be decoded")
		return nil
	}
	return c.state.Apply(e.GetIndex(), command)
}

// snapshot stores the applied state and drops the log before it, every
// SnapshotEvery entries.
func (c *core) snapshot() error {
	if c.applied-c.lastSnapshot < uint64(c.cfg.SnapshotEvery) {
		return nil
	}
	data, err := c.state.Encode()
	if err != nil {
		return err
	}
	s := &saddlewire.Snapshot{Index: c.applied, Term: c.replica.TermAt(c.applied), Data: data}
	if err := c.store.SetSnapshot(s); err != nil {
		return err
	}
	c.replica.Compact(s)
	c.lastSnapshot = c.applied
	countSnapshots.Add(1)
	return nil
}

// read returns the state if this replica can vouch that it is current.
func (c *core) read(now time.Time, in *saddlewire.ReadRequest) *saddlewire.ReadResponse {
	r := &saddlewire.ReadResponse{
		Current:     c.replica.LeaseValid(now),
		Leader:      c.leaderAddress(),
		Revision:    c.state.Revision(),
		Templates:   c.state.Templates(),
		Deployments: c.state.Deployments(),
		Drains:      c.state.Drains(),
		Members:     c.members.all(),
		Term:        c.replica.Term(),
		History:     c.state.History(in.GetHistoryKind(), in.GetHistoryName()),
	}
	for id, address := range c.cfg.Replicas {
		r.Replicas = append(r.Replicas, &saddlewire.Replica{
			Id:      id,
			Address: address,
			Leader:  id == c.replica.LeaderID(),
			Match:   c.replica.Match(id),
			Voter:   true,
		})
	}
	return r
}

func (c *core) beat(now time.Time, m *saddlewire.Member) {
	countBeats.Add(1)
	if !c.members.beat(now, m) {
		return
	}
	c.cfg.Timeline.Add(now, saddletimeline.Event{Name: "member", Subject: m.GetNode(), Target: m.GetTarget().GetId()})
	c.wakeAttendees()
}
