package saddlecontrol

import (
	"slices"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// knownPeers returns the replicas that messages may be sent to: those of the log,
// those of the settings that the log does not hold, and the leader that adds this
// replica, so that a joining replica can reply before its log holds the membership.
func (c *core) knownPeers() []*saddlewire.Peer {
	out := slices.Clone(c.replica.Members())
	for id, address := range c.cfg.Replicas {
		known := slices.ContainsFunc(out, func(p *saddlewire.Peer) bool { return p.GetId() == id || p.GetAddress() == address })
		if !known {
			out = append(out, &saddlewire.Peer{Id: id, Address: address})
		}
	}
	known := func(p *saddlewire.Peer) bool { return p.GetId() == c.joinLeader.GetId() }
	if c.joinLeader != nil && !slices.ContainsFunc(out, known) {
		out = append(out, c.joinLeader)
	}
	return out
}

// recordJoinLeader stores the address of the leader that adds this replica.
func (c *core) recordJoinLeader(m *saddlewire.Message) {
	if m.GetAddress() != "" && m.GetTo() == c.cfg.Node {
		c.joinLeader = &saddlewire.Peer{Id: m.GetFrom(), Address: m.GetAddress()}
	}
}

func (c *core) leaderAddress() string {
	for _, p := range c.knownPeers() {
		if p.GetId() == c.replica.LeaderID() {
			return p.GetAddress()
		}
	}
	return ""
}
