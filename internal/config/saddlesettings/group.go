package saddlesettings

import "time"

// Group holds the settings with which the control replicas manage their own
// membership: a replica that has lost its disk or runs on a new VM joins without
// an operator.
type Group struct {
	// Seeds are addresses of replicas. When the group starts for the first time they
	// must include the addresses of all its replicas, also of this one.
	Seeds []string `toml:"seeds"`
	// Port, if not 0, replaces the ports of Seeds. It serves environments that supply
	// the replicas' addresses with the port of another listener.
	Port int `toml:"port"`
	// Bootstrap has the key "first" because it applies to the first start of a group: the
	// replicas named by Seeds form a new group. All of them must have empty data folders.
	// Without it, a replica with an empty data folder joins the existing group.
	Bootstrap bool `toml:"first"`
	// ToleratedLosses is the number of replicas that may be lost at once while the rest
	// is still a majority.
	ToleratedLosses int `toml:"losses"`
	// ReplaceAfter is the time for which a replica must have been silent, that is, must
	// not have replied to the leader, before another replica may replace it.
	ReplaceAfter Duration `toml:"silent"`
}

const (
	defaultReplaceAfter = 2 * time.Second
	minReplaceAfter     = 100 * time.Millisecond
	maxReplaceAfter     = time.Hour
	maxToleratedLosses  = 5
)

func defaultGroup() Group {
	return Group{ToleratedLosses: 1, ReplaceAfter: Duration(defaultReplaceAfter)}
}

// Enabled reports whether the replicas manage their own membership.
func (s *Group) Enabled() bool { return len(s.Seeds) > 0 }

// DesiredVoters returns the number of voters of which ToleratedLosses may be lost while
// the rest is still a majority.
func (s *Group) DesiredVoters() int { return 2*s.ToleratedLosses + 1 }

// Addresses returns the drpc addresses of the seeds.
func (s *Group) Addresses() []string { return withPort(s.Seeds, s.Port) }

func (s *Group) check(c *checker) {
	c.addresses("group.seeds", s.Seeds)
	c.count("group.losses", s.ToleratedLosses, maxToleratedLosses)
	c.duration("group.silent", s.ReplaceAfter, minReplaceAfter, maxReplaceAfter)
}
