package saddlecontrol

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/control/saddlestore"
	"github.com/fireflysaddle/fireflysaddle/internal/trace/saddletimeline"
)

// Config holds the settings of a control replica.
type Config struct {
	Node               string
	Incarnation        uint64
	Centre             string // data centre of this replica
	Listen             string // drpc address of this replica
	Admin              string // address of the admin listener
	DataDir            string
	Files              saddlestore.FS    // nil: the files in DataDir
	Replicas           map[string]string // drpc addresses of the replicas of a new group, by id
	Join               bool              // this replica joins an existing group
	Contacts           []string          // drpc addresses to which this replica sends join requests
	DesiredVoters      int               // number of voters that the group maintains by automatic replacement, 0: only operators change the replicas
	ReplaceAfter       time.Duration     // time without messages after which a replica may be replaced automatically, if DesiredVoters is set
	NodeSilenceTimeout time.Duration     // time without heartbeats after which the connection of a node is closed
	HeartbeatInterval  time.Duration     // time between the Raft heartbeats of the leader
	ElectionTimeout    time.Duration
	NodeLostTimeout    time.Duration // time without heartbeats after which a node counts as lost
	UnregisterTimeout  time.Duration // time after which a target without an agent is removed if it sends no registration
	RegistryFile       string        // file in which the registrations are saved; empty: they are not saved
	SnapshotEvery      int           // log entries between snapshots
	MaxLoads           int           // engines that may load weights at the same time, 0: no limit
	Log                zerolog.Logger
	Timeline           *saddletimeline.Ring
	Network            fireflysaddle.Network // nil: TCP
}
