package saddlesettings

import (
	"slices"
	"time"
)

// Control holds the settings of a control replica.
type Control struct {
	Common
	Listen string `toml:"listen"` // drpc, for all other processes
	// Data is the data folder. A process of a group that looks after itself may do
	// without: it holds no replica then and tells callers where the replicas are.
	Data string `toml:"data"`
	// Replicas are those of a new group; this one's node must be among them.
	// Once the group has started, its log says who they are.
	Replicas []Replica `toml:"replicas"`
	// Join lets a new replica wait for the leader of a group that has started;
	// see saddlectl control-replace.
	Join bool `toml:"join"`
	// Heartbeat is the time between a leader's heartbeats.
	Heartbeat Duration `toml:"heartbeat"`
	// Election is the silence after which a new leader is sought.
	Election Duration `toml:"election"`
	// Lost is how long a node may stay silent before it is taken for lost.
	Lost Duration `toml:"lost"`
	// Silence is how long the connection of a silent node is kept.
	Silence Duration `toml:"silence"`
	// SnapshotEvery is the number of log entries between snapshots.
	SnapshotEvery int `toml:"snapshot_every"`
	// Group lets the replicas look after their group; it goes in place of Replicas
	// and Join.
	Group Group `toml:"group"`
	// API, if given, serves operators and targets without agents over HTTP.
	API string `toml:"api"`
	// Unregister is how long a target without an agent may send no heartbeat
	// before it is no longer registered.
	Unregister Duration `toml:"unregister"`
	// Loads is the number of engines that load at the same time, so that they
	// share the weight store's rate; 0 sets no bound.
	Loads int `toml:"loads"`
}

// Replica names one control replica.
type Replica struct {
	Node    string `toml:"node"`
	Address string `toml:"address"` // its drpc listener
}

const (
	defaultHeartbeat     = 100 * time.Millisecond
	defaultElection      = 600 * time.Millisecond
	defaultNodeLost      = 2 * time.Second
	defaultNodeSilence   = 30 * time.Second // three times the longest time between beats
	defaultSnapshotEvery = 4096
	defaultLoads         = 8
	defaultUnregister    = 5 * time.Second // four heartbeats of a target
	maxLoads             = 1 << 16
	minHeartbeat         = 5 * time.Millisecond
	maxElection          = time.Minute
	maxSnapshotEvery     = 1 << 20
	maxReplicas          = 12
)

// DefaultControl returns the settings before the file is read.
func DefaultControl() Control {
	return Control{
		Common:        defaultCommon(),
		Heartbeat:     Duration(defaultHeartbeat),
		Election:      Duration(defaultElection),
		Lost:          Duration(defaultNodeLost),
		Silence:       Duration(defaultNodeSilence),
		SnapshotEvery: defaultSnapshotEvery,
		Loads:         defaultLoads,
		Group:         defaultGroup(),
		Unregister:    Duration(defaultUnregister),
	}
}

// Check returns every error of the settings.
func (s *Control) Check(file string) error {
	c := &checker{file: file}
	s.check(c)
	c.address("listen", s.Listen)
	if !s.Group.On() {
		c.required("data", s.Data)
	}
	c.duration("heartbeat", s.Heartbeat, minHeartbeat, time.Second)
	c.duration("election", s.Election, 3*s.Heartbeat.Std(), maxElection)
	c.duration("lost", s.Lost, minCallSilence, time.Minute)
	c.duration("silence", s.Silence, s.Lost.Std(), maxSilence)
	c.count("snapshot_every", s.SnapshotEvery, maxSnapshotEvery)
	if s.Loads != 0 {
		c.count("loads", s.Loads, maxLoads)
	}
	c.duration("unregister", s.Unregister, minCallSilence, time.Hour)
	if s.API != "" {
		c.address("api", s.API)
	}
	if s.Group.On() {
		s.Group.check(c)
		return c.err()
	}
	c.count("replicas (count)", len(s.Replicas), maxReplicas)
	for i, r := range s.Replicas {
		c.required("replicas.node", r.Node)
		c.address("replicas.address", r.Address)
		if slices.ContainsFunc(s.Replicas[:i], func(o Replica) bool { return o.Node == r.Node || o.Address == r.Address }) {
			c.fail("replicas", r.Node, "stands there twice, by node or address")
		}
	}
	if !slices.ContainsFunc(s.Replicas, func(r Replica) bool { return r.Node == s.Node }) {
		c.fail("replicas", s.Node, "must name this node")
	}
	return c.err()
}
