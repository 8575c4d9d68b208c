package saddlecontrol

import (
	"slices"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// neighbours returns the replicas to send to: those of the log, and while it
// holds none those of the settings, so that a joining one can answer.
func (c *core) neighbours() []*saddlewire.Peer {
	out := slices.Clone(c.replica.Members())
	for id, address := range c.cfg.Replicas {
		known := slices.ContainsFunc(out, func(p *saddlewire.Peer) bool { return p.GetId() == id || p.GetAddress() == address })
		if !known {
			out = append(out, &saddlewire.Peer{Id: id, Address: address})
		}
	}
	known := func(p *saddlewire.Peer) bool { return p.GetId() == c.sender.GetId() }
	if c.sender != nil && !slices.ContainsFunc(out, known) {
		out = append(out, c.sender)
	}
	return out
}

// noteSender notes where the leader that lets this replica in is reached.
func (c *core) noteSender(m *saddlewire.Message) {
	if m.GetAddress() != "" && m.GetTo() == c.cfg.Node {
		c.sender = &saddlewire.Peer{Id: m.GetFrom(), Address: m.GetAddress()}
	}
}

func (c *core) leaderAddress() string {
	for _, p := range c.neighbours() {
		if p.GetId() == c.replica.LeaderID() {
			return p.GetAddress()
		}
	}
	return ""
}
