package saddlesettings

import "time"

// Agent holds the settings of an agent.
type Agent struct {
	Common
	Listen string `toml:"listen"` // address of the drpc listener for entries and other agents
	// Advertise is the address at which other processes reach the drpc listener;
	// empty means Listen.
	Advertise string `toml:"advertise"`
	Announce  string `toml:"announce"` // address of the HTTP listener for the local target's announcements
	Attend    Attend `toml:"attend"`
	// ProbeInterval is the time between health probes of the target.
	ProbeInterval Duration `toml:"probe"`
	// TargetLostTimeout is the time without an answer after which the target counts as
	// lost.
	TargetLostTimeout Duration `toml:"lost"`
	// StepTimeout limits the time that one token takes through all stages of a chain.
	StepTimeout Duration `toml:"step_timeout"`
	// MaxQueueWait is the maximum predicted queueing time; a request with a longer one
	// is refused.
	MaxQueueWait Duration `toml:"queue_wait"`
}

const (
	defaultProbeInterval     = 500 * time.Millisecond
	defaultTargetLostTimeout = 2 * time.Second
	defaultStepTimeout       = time.Second
	defaultMaxQueueWait      = 30 * time.Second
	minProbeInterval         = 10 * time.Millisecond
	maxProbeInterval         = time.Minute
	limitMaxQueueWait        = time.Hour
)

// DefaultAgent returns the default settings of an agent.
func DefaultAgent() Agent {
	return Agent{
		Common:            defaultCommon(),
		Attend:            defaultAttend(),
		ProbeInterval:     Duration(defaultProbeInterval),
		TargetLostTimeout: Duration(defaultTargetLostTimeout),
		StepTimeout:       Duration(defaultStepTimeout),
		MaxQueueWait:      Duration(defaultMaxQueueWait),
	}
}

// Check returns every error of the settings.
func (s *Agent) Check(file string) error {
	c := &checker{file: file}
	s.check(c)
	s.Attend.check(c)
	c.address("announce", s.Announce)
	if s.Advertise == "" {
		c.dialableAddress("listen", s.Listen)
	} else {
		c.address("listen", s.Listen)
		c.dialableAddress("advertise", s.Advertise)
	}
	c.duration("probe", s.ProbeInterval, minProbeInterval, maxProbeInterval)
	c.duration("lost", s.TargetLostTimeout, s.ProbeInterval.Std(), time.Minute)
	c.duration("step_timeout", s.StepTimeout, minTimeout, time.Minute)
	c.duration("queue_wait", s.MaxQueueWait, 0, limitMaxQueueWait)
	return c.err()
}
