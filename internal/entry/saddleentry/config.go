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
	Listen                string // address of the callers' HTTP interface
	Admin                 string
	Controls              []string
	HeartbeatInterval     time.Duration
	ControlSilenceTimeout time.Duration // without a message from a control replica before it counts as lost
	CallSilenceTimeout    time.Duration // without an event from an agent before a call in progress fails
	BodyLimit             int           // bytes
	MaxTimeout            time.Duration // longest timeout that a caller may request
	LameDuck              time.Duration // how long requests are still accepted after the stop signal
	ShutdownTimeout       time.Duration // bound of the wait for requests in progress; 0: none
	Seed                  uint64        // of the random numbers for target selection
	Log                   zerolog.Logger
	Timeline              *saddletimeline.Ring
	Network               fireflysaddle.Network // for connections between fireflysaddle processes; nil: TCP
	CallerNetwork         fireflysaddle.Network // for the callers' HTTP interface; nil: same as Network
}

// callerNetwork returns the network on which callers are served.
func (c *Config) callerNetwork() fireflysaddle.Network {
	if c.CallerNetwork != nil {
		return c.CallerNetwork
	}
	return c.Network
}
