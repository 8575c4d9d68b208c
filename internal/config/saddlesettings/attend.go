package saddlesettings

import (
	"net"
	"slices"
	"strconv"
	"time"
)

// Attend holds the settings of a node's touch with control.
type Attend struct {
	Controls []string `toml:"controls"` // drpc addresses of the control replicas
	// Port, if not 0, goes in place of the ports of Controls, which may be known by
	// another of their listeners.
	Port                  int      `toml:"port"`
	HeartbeatInterval     Duration `toml:"beat"`    // time between heartbeats
	ControlSilenceTimeout Duration `toml:"silence"` // a replica silent for longer is dialled anew
}

const (
	defaultBeat    = 500 * time.Millisecond
	defaultSilence = 2 * time.Second
	minBeat        = 10 * time.Millisecond
	maxBeat        = 10 * time.Second
	maxSilence     = time.Minute
)

func defaultAttend() Attend {
	return Attend{HeartbeatInterval: Duration(defaultBeat), ControlSilenceTimeout: Duration(defaultSilence)}
}

// Addresses returns the drpc addresses of the control replicas.
func (s *Attend) Addresses() []string { return withPort(s.Controls, s.Port) }

// withPort returns addresses with another port; 0 leaves them as they are.
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
	c.duration("attend.beat", s.HeartbeatInterval, minBeat, maxBeat)
	c.duration("attend.silence", s.ControlSilenceTimeout, 2*s.HeartbeatInterval.Std(), maxSilence)
}
