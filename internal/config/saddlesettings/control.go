package saddlesettings

import (
	"slices"
	"time"
)

// Control holds the settings of a control replica.
type Control struct {
	Common
	Listen string `toml:"listen"` // address of the drpc listener for all other processes
	// DataDir is the data folder. With Group set it may be empty: the process then
	// runs no replica and redirects callers to the replicas.
	DataDir string `toml:"data"`
	// Replicas are the members of a new group, including this node. Once the group
	// has started, its log determines the members.
	Replicas []Replica `toml:"replicas"`
	// Join makes a new replica wait until the leader of a running group adds it;
	// see saddlectl control-replace.
	Join bool `toml:"join"`
	// HeartbeatInterval is the time between a leader's heartbeats.
	HeartbeatInterval Duration `toml:"heartbeat"`
	// ElectionTimeout is the time without a heartbeat from the leader after which a
	// replica starts an election.
	ElectionTimeout Duration `toml:"election"`
	// NodeLostTimeout is the time without a heartbeat after which a node counts as
	// lost.
	NodeLostTimeout Duration `toml:"lost"`
	// NodeSilenceTimeout is the time without a heartbeat after which a node's
	// connection is closed.
	NodeSilenceTimeout Duration `toml:"silence"`
	// SnapshotEvery is the number of log entries between snapshots.
	SnapshotEvery int `toml:"snapshot_every"`
	// Group makes the replicas manage their membership; it replaces Replicas and
	// Join.
	Group Group `toml:"group"`
	// API, if set, is the address of the HTTP API for operators and for targets
	// without agents.
	API string `toml:"api"`
	// UnregisterTimeout is the time without a heartbeat after which the registration
	// of a target without an agent is removed.
	UnregisterTimeout Duration `toml:"unregister"`
	// MaxLoads limits the number of engines that load weights at the same time, because
	// they share the throughput of the weight store; 0 sets no limit.
	MaxLoads int `toml:"loads"`
}

// Replica names one control replica.
type Replica struct {
	Node    string `toml:"node"`
	Address string `toml:"address"` // address of the replica's drpc listener
}

const (
	defaultLeaderHeartbeatInterval = 100 * time.Millisecond
	defaultElectionTimeout         = 600 * time.Millisecond
	defaultNodeLostTimeout         = 2 * time.Second
	defaultNodeSilenceTimeout      = 30 * time.Second // three times maxHeartbeatInterval
	defaultSnapshotEvery           = 4096
	defaultMaxLoads                = 8
	defaultUnregisterTimeout       = 5 * time.Second // four heartbeat intervals of a target
	limitMaxLoads                  = 1 << 16
	minLeaderHeartbeatInterval     = 5 * time.Millisecond
	maxElectionTimeout             = time.Minute
	maxSnapshotEvery               = 1 << 20
	maxReplicas                    = 12
)

// DefaultControl returns the default settings of a control replica.
func DefaultControl() Control {
	return Control{
		Common:             defaultCommon(),
		HeartbeatInterval:  Duration(defaultLeaderHeartbeatInterval),
		ElectionTimeout:    Duration(defaultElectionTimeout),
		NodeLostTimeout:    Duration(defaultNodeLostTimeout),
		NodeSilenceTimeout: Duration(defaultNodeSilenceTimeout),
		SnapshotEvery:      defaultSnapshotEvery,
		MaxLoads:           defaultMaxLoads,
		Group:              defaultGroup(),
		UnregisterTimeout:  Duration(defaultUnregisterTimeout),
	}
}

// Check returns every error of the settings.
func (s *Control) Check(file string) error {
	c := &checker{file: file}
	s.check(c)
	c.address("listen", s.Listen)
	if !s.Group.Enabled() {
		c.required("data", s.DataDir)
	}
	c.duration("heartbeat", s.HeartbeatInterval, minLeaderHeartbeatInterval, time.Second)
	c.duration("election", s.ElectionTimeout, 3*s.HeartbeatInterval.Std(), maxElectionTimeout)
	c.duration("lost", s.NodeLostTimeout, minTimeout, time.Minute)
	c.duration("silence", s.NodeSilenceTimeout, s.NodeLostTimeout.Std(), maxSilenceTimeout)
	c.count("snapshot_every", s.SnapshotEvery, maxSnapshotEvery)
	if s.MaxLoads != 0 {
		c.count("loads", s.MaxLoads, limitMaxLoads)
	}
	c.duration("unregister", s.UnregisterTimeout, minTimeout, time.Hour)
	if s.API != "" {
		c.address("api", s.API)
	}
	if s.Group.Enabled() {
		s.Group.check(c)
		return c.err()
	}
	c.count("replicas (count)", len(s.Replicas), maxReplicas)
	for i, r := range s.Replicas {
		c.required("replicas.node", r.Node)
		c.address("replicas.address", r.Address)
		if slices.ContainsFunc(s.Replicas[:i], func(o Replica) bool { return o.Node == r.Node || o.Address == r.Address }) {
			c.add("replicas", r.Node, "appears twice, by node or address")
		}
	}
	if !slices.ContainsFunc(s.Replicas, func(r Replica) bool { return r.Node == s.Node }) {
		c.add("replicas", s.Node, "must name this node")
	}
	return c.err()
}
