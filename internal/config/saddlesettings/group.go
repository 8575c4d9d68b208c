package saddlesettings

import "time"

// Group lets the control replicas look after their group by themselves: a replica
// that lost its disk, or on a new VM, joins without an operator.
type Group struct {
	// Seeds are addresses of replicas. When the group starts for the first time
	// they are all of its replicas, and this one must be among them.
	Seeds []string `toml:"seeds"`
	// Port, if not 0, goes in place of the seeds' ports: they may be known by
	// another of their listeners.
	Port int `toml:"port"`
	// First says that the group starts for the first time, with empty disks.
	Bootstrap bool `toml:"first"`
	// Losses is the number of replicas that may be lost at once.
	Losses int `toml:"losses"`
	// Silent is how long a replica may be silent before a new one takes its place.
	ReplaceAfter Duration `toml:"silent"`
}

const (
	defaultGroupSilent = 2 * time.Second
	minGroupSilent     = 100 * time.Millisecond
	maxGroupSilent     = time.Hour
	maxLosses          = 5
)

func defaultGroup() Group { return Group{Losses: 1, ReplaceAfter: Duration(defaultGroupSilent)} }

// Enabled reports whether the replicas look after their group.
func (s *Group) Enabled() bool { return len(s.Seeds) > 0 }

// DesiredVoters returns the number of replicas of which so many may be lost.
func (s *Group) DesiredVoters() int { return 2*s.Losses + 1 }

// Addresses returns the seeds' addresses.
func (s *Group) Addresses() []string { return withPort(s.Seeds, s.Port) }

func (s *Group) check(c *checker) {
	c.addresses("group.seeds", s.Seeds)
	c.count("group.losses", s.Losses, maxLosses)
	c.duration("group.silent", s.ReplaceAfter, minGroupSilent, maxGroupSilent)
}
