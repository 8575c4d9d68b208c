package saddleagent

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/trace/saddletimeline"
)

// Config holds the settings of an agent.
type Config struct {
	Node              fireflysaddle.NodeID
	Incarnation       fireflysaddle.Incarnation
	Centre            fireflysaddle.DataCentre
	Listen            string   // listen address for dRPC
	Advertise         string   // address that other processes connect to
	AnnounceAddress   string   // listen address for the target's HTTP announcements
	Admin             string   // address of the admin listener, as reported to control
	Settings          string   // digest of the settings in force, for the heartbeats
	Controls          []string // addresses of the control replicas
	HeartbeatInterval time.Duration
	SilenceTimeout    time.Duration // time without a message after which the connection to a control replica or another agent is closed
	ProbeInterval     time.Duration // time between health probes of the target
	TargetLostTimeout time.Duration // time without an answer after which the target counts as lost
	StepTimeout       time.Duration // time without progress after which the head of a chain probes its stages
	MaxQueueWait      time.Duration // longest predicted wait with which a request is admitted
	ShutdownTimeout   time.Duration // limit of the wait for requests in progress at shutdown; 0: unlimited
	Log               zerolog.Logger
	Timeline          *saddletimeline.Ring
	Network           fireflysaddle.Network // network for connections between fireflysaddle processes; nil: TCP
	TargetNetwork     fireflysaddle.Network // network for connections to and from the target; nil: Network
	Adapters          Adapters              // nil: adapters over HTTP
}

// targetNetwork returns the network on which the target is served.
func (c *Config) targetNetwork() fireflysaddle.Network {
	if c.TargetNetwork != nil {
		return c.TargetNetwork
	}
	return c.Network
}
