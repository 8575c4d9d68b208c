package saddlesettings

import (
	"net"
	"slices"
	"strconv"
	"time"
)

// Attend holds the settings of a node's streams to the control replicas.
type Attend struct {
	Controls []string `toml:"controls"` // drpc addresses of the control replicas
	// Port, if not 0, replaces the ports of Controls. It serves environments that
	// supply the replicas' addresses with the port of another listener.
	Port                  int      `toml:"port"`
	HeartbeatInterval     Duration `toml:"beat"`    // time between heartbeats
	ControlSilenceTimeout Duration `toml:"silence"` // time without an update after which a replica is dialled again
}

const (
	defaultHeartbeatInterval     = 500 * time.Millisecond
	defaultControlSilenceTimeout = 2 * time.Second
	minHeartbeatInterval         = 10 * time.Millisecond
	maxHeartbeatInterval         = 10 * time.Second
	maxSilenceTimeout            = time.Minute
)

func defaultAttend() Attend {
	return Attend{HeartbeatInterval: Duration(defaultHeartbeatInterval), ControlSilenceTimeout: Duration(defaultControlSilenceTimeout)}
}

// Addresses returns the drpc addresses of the control replicas.
func (s *Attend) Addresses() []string { return withPort(s.Controls, s.Port) }

// withPort returns the addresses with their ports replaced by port. A port of 0 leaves
// them unchanged.
func withPort(addresses []string, port int) []string {
	out := slices.Clone(addresses)
	if port == 0 {
		return out
	}
	for i, a := range out {
		if host, _, err := net.SplitHostPort(a); err == nil {
			out[i] = net.JoinHostPort(host, strconv.Itoa(port))
		}
	}
	return out
}

func (s *Attend) check(c *checker) {
	c.addresses("attend.controls", s.Controls)
	c.duration("attend.beat", s.HeartbeatInterval, minHeartbeatInterval, maxHeartbeatInterval)
	c.duration("attend.silence", s.ControlSilenceTimeout, 2*s.HeartbeatInterval.Std(), maxSilenceTimeout)
}
