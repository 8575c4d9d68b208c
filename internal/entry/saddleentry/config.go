package saddleentry

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/trace/saddletimeline"
)

// Config holds the settings of an entry.
type Config struct {
	Node                  fireflysaddle.NodeID
	Incarnation           fireflysaddle.Incarnation
	Centre                fireflysaddle.DataCentre
	Listen                string // callers' HTTP
	Admin                 string
	Controls              []string
	HeartbeatInterval     time.Duration
	ControlSilenceTimeout time.Duration // of control replicas
	CallSilenceTimeout    time.Duration // of an agent on a call in progress
	BodyLimit             int           // bytes
	MaxTimeout            time.Duration // longest deadline a caller may ask for
	LameDuck              time.Duration // time of accepting work after the order to stop
	ShutdownTimeout       time.Duration // bound of the wait for work in progress, 0: none
	Seed                  uint64        // of the choice of targets
	Log                   zerolog.Logger
	Timeline              *saddletimeline.Ring
	Network               fireflysaddle.Network // between own processes; nil: TCP
	CallerNetwork         fireflysaddle.Network // for callers; nil: as Network
}

// outside returns the network for callers.
func (c *Config) outside() fireflysaddle.Network {
	if c.CallerNetwork != nil {
		return c.CallerNetwork
	}
	return c.Network
}
