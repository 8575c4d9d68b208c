package saddlesettings

import "time"

// Attend holds the settings of a node's touch with control.
type Attend struct {
	Controls []string `toml:"controls"` // drpc addresses of the control replicas
	Beat     Duration `toml:"beat"`     // time between heartbeats
	Silence  Duration `toml:"silence"`  // a replica silent for longer is dialled anew
}

const (
	defaultBeat    = 500 * time.Millisecond
	defaultSilence = 2 * time.Second
	minBeat        = 10 * time.Millisecond
	maxBeat        = 10 * time.Second
	maxSilence     = time.Minute
)

func defaultAttend() Attend {
	return Attend{Beat: Duration(defaultBeat), Silence: Duration(defaultSilence)}
}

func (s *Attend) check(c *checker) {
	c.addresses("attend.controls", s.Controls)
	c.duration("attend.beat", s.Beat, minBeat, maxBeat)
	c.duration("attend.silence", s.Silence, 2*s.Beat.Std(), maxSilence)
}
