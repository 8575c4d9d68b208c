package saddlecontrol

import (
	"slices"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// knownPeers returns the replicas that messages may be sent to: the members in the log,
// the replicas in the settings that are not in the log, and the leader that is adding
// this replica, so that a joining replica can reply before its log holds the membership.
func (c *core) knownPeers() []*saddlewire.Peer {
	out := slices.Clone(c.replica.Members())
	for id, address := range c.cfg.Replicas {
		known := slices.ContainsFunc(out, func(p *saddlewire.Peer) bool { return p.GetId() == id || p.GetAddress() == address })
		if !known {
			out = append(out, &saddlewire.Peer{Id: id, Address: address})
		}
	}
	isJoinLeader := func(p *saddlewire.Peer) bool { return p.GetId() == c.joinLeader.GetId() }
	if c.joinLeader != nil && !slices.ContainsFunc(out, isJoinLeader) {
		out = append(out, c.joinLeader)
	}
	return out
}

// recordJoinLeader stores the address of the leader that is adding this replica. Only
// messages to learners carry an address.
func (c *core) recordJoinLeader(m *saddlewire.Message) {
	if m.GetAddress() != "" && m.GetTo() == c.cfg.Node {
		c.joinLeader = &saddlewire.Peer{Id: m.GetFrom(), Address: m.GetAddress()}
	}
}

// leaderAddress returns the address of the leader, or an empty string if it is unknown.
func (c *core) leaderAddress() string {
	for _, p := range c.knownPeers() {
		if p.GetId() == c.replica.LeaderID() {
			return p.GetAddress()
		}
	}
	return ""
}
