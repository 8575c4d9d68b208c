package saddlesettings

import "time"

// Agent holds the settings of an agent.
type Agent struct {
	Common
	Listen string `toml:"listen"` // drpc, for entries and other agents
	// Advertise is the address at which others reach the drpc listener; empty
	// means Listen.
	Advertise string `toml:"advertise"`
	Announce  string `toml:"announce"` // HTTP, for the target beside it
	Attend    Attend `toml:"attend"`
	// Probe is the time between checks that the target answers.
	ProbeInterval Duration `toml:"probe"`
	// Lost is how long the target may stay silent before it is taken for lost.
	TargetLostTimeout Duration `toml:"lost"`
	// StepTimeout bounds one token's way through a chain.
	StepTimeout Duration `toml:"step_timeout"`
	// MaxQueueWait is the longest wait in the queue that is accepted.
	MaxQueueWait Duration `toml:"queue_wait"`
}

const (
	defaultProbe       = 500 * time.Millisecond
	defaultLost        = 2 * time.Second
	defaultStepTimeout = time.Second
	defaultQueueWait   = 30 * time.Second
	minProbe           = 10 * time.Millisecond
	maxProbe           = time.Minute
	maxQueueWait       = time.Hour
)

// DefaultAgent returns the settings before the file is read.
func DefaultAgent() Agent {
	return Agent{
		Common:            defaultCommon(),
		Attend:            defaultAttend(),
		ProbeInterval:     Duration(defaultProbe),
		TargetLostTimeout: Duration(defaultLost),
		StepTimeout:       Duration(defaultStepTimeout),
		MaxQueueWait:      Duration(defaultQueueWait),
	}
}

// Check returns every error of the settings.
func (s *Agent) Check(file string) error {
	c := &checker{file: file}
	s.check(c)
	s.Attend.check(c)
	c.address("announce", s.Announce)
	if s.Advertise == "" {
		c.reachable("listen", s.Listen)
	} else {
		c.address("listen", s.Listen)
		c.reachable("advertise", s.Advertise)
	}
	c.duration("probe", s.ProbeInterval, minProbe, maxProbe)
	c.duration("lost", s.TargetLostTimeout, s.ProbeInterval.Std(), time.Minute)
	c.duration("step_timeout", s.StepTimeout, minCallSilence, time.Minute)
	c.duration("queue_wait", s.MaxQueueWait, 0, maxQueueWait)
	return c.err()
}
