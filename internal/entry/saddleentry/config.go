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
	Listen                string   // address of the callers' HTTP interface
	Admin                 string   // address of the admin listener
	Settings              string   // digest of the settings in force, for the heartbeats
	Controls              []string // addresses of the control replicas
	HeartbeatInterval     time.Duration
	ControlSilenceTimeout time.Duration // a control replica that sends nothing for this long counts as lost
	CallSilenceTimeout    time.Duration // an attempt fails when its agent sends no event for this long
	BodyLimit             int           // bytes
	MaxTimeout            time.Duration // longest timeout that a caller may request
	LameDuck              time.Duration // time for which requests are still accepted after the stop signal
	ShutdownTimeout       time.Duration // limit of the wait for requests in progress at shutdown; 0: no limit
	Seed                  uint64        // seeds the random target selection
	Log                   zerolog.Logger
	Timeline              *saddletimeline.Ring
	Network               fireflysaddle.Network // network for connections between fireflysaddle processes; nil: TCP
	CallerNetwork         fireflysaddle.Network // network for the callers' HTTP interface; nil: same as Network
}

// callerNetwork returns the network on which callers are served.
func (c *Config) callerNetwork() fireflysaddle.Network {
	if c.CallerNetwork != nil {
		return c.CallerNetwork
	}
	return c.Network
}
