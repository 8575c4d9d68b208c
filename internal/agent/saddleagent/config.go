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
	Listen            string // drpc
	Advertise         string // address at which others reach it
	AnnounceAddress   string // HTTP for the target
	Admin             string
	Controls          []string
	HeartbeatInterval time.Duration
	SilenceTimeout    time.Duration // of control replicas and of other agents
	ProbeInterval     time.Duration // between checks that the target answers
	TargetLostTimeout time.Duration // silence after which the target is taken for lost
	StepTimeout       time.Duration // after which the head of a chain asks after its stages
	MaxQueueWait      time.Duration // longest predicted wait accepted
	ShutdownTimeout   time.Duration // bound of the wait for work in progress, 0: none
	Log               zerolog.Logger
	Timeline          *saddletimeline.Ring
	Network           fireflysaddle.Network // between own processes; nil: TCP
	TargetNetwork     fireflysaddle.Network // for targets; nil: as Network
	Adapters          Adapters              // nil: over HTTP
}

// outside returns the network for targets.
func (c *Config) outside() fireflysaddle.Network {
	if c.TargetNetwork != nil {
		return c.TargetNetwork
	}
	return c.Network
}
