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
	Centre             string
	Listen             string
	Admin              string
	DataDir            string
	Files              saddlestore.FS    // nil: the folder Data
	Replicas           map[string]string // drpc addresses of a new group, by id
	Join               bool              // this replica is not one of a new group
	Contacts           []string          // drpc addresses at which a replica that is not in the group asks to be let in
	DesiredVoters      int               // votes that the group keeps itself at, 0: only operators change the replicas
	ReplaceAfter       time.Duration     // silence after which a replica may be replaced, with Voters
	NodeSilenceTimeout time.Duration     // a node that sends no heartbeat for longer is cut off
	HeartbeatInterval  time.Duration
	ElectionTimeout    time.Duration
	NodeLostTimeout    time.Duration // silence after which a node is taken for lost
	UnregisterTimeout  time.Duration // silence after which a target without an agent is no longer registered
	RegistryFile       string        // file for the registrations, empty: they are not saved
	SnapshotEvery      int           // log entries between snapshots
	MaxLoads           int           // engines that load at the same time, 0: without bound
	Log                zerolog.Logger
	Timeline           *saddletimeline.Ring
	Network            fireflysaddle.Network // nil: TCP
}
