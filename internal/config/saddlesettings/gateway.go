package saddlesettings

import "time"

// Gateway holds the settings of a gateway: an entry for targets without agents.
type Gateway struct {
	Common
	Listen string `toml:"listen"` // address of the HTTP listener for callers
	Attend Attend `toml:"attend"`
	// Grace is the time from the stop signal until the supervisor kills the process;
	// 0 means that the supervisor never kills it. While the process stops, it refuses
	// drafts that may take longer than the time left.
	Grace Duration `toml:"grace"`
	// KeyLease is how long API keys remain valid after the last confirmation by a
	// majority; 0 sets no limit.
	KeyLease Duration `toml:"key_lease"`
	// RetryShare and RetryReserve limit the retries that all entries together send to
	// one group. The limit is RetryShare times the number of first attempts, plus
	// RetryReserve.
	RetryShare   float64 `toml:"retry_share"`
	RetryReserve float64 `toml:"retry_reserve"`
	// MaxPause limits the pause for which a target can ask.
	MaxPause Duration `toml:"max_pause"`
	// MemoryMB is the memory of the process in MiB. It bounds the requests in progress and
	// what is held of the answers of targets.
	MemoryMB float64 `toml:"memory"`
}

const (
	defaultKeyLease     = 4 * time.Second
	maxKeyLease         = time.Hour
	defaultRetryShare   = 0.2
	defaultRetryReserve = 100
	maxRetryReserve     = 1 << 20
	defaultMaxPause     = 10 * time.Minute
	minMaxPause         = time.Second
	maxMaxPause         = 24 * time.Hour
	defaultMemoryMB     = 160 // the memory of an entry at most sites
	minMemoryMB         = 16  // what a process without requests takes
	maxMemoryMB         = 1 << 20
)

// DefaultGateway returns the default settings of a gateway.
func DefaultGateway() Gateway {
	return Gateway{
		Common:       defaultCommon(),
		Attend:       defaultAttend(),
		KeyLease:     Duration(defaultKeyLease),
		RetryShare:   defaultRetryShare,
		RetryReserve: defaultRetryReserve,
		MaxPause:     Duration(defaultMaxPause),
		MemoryMB:     defaultMemoryMB,
	}
}

// Check returns every error of the settings.
func (s *Gateway) Check(file string) error {
	c := &checker{file: file}
	s.check(c)
	s.Attend.check(c)
	c.address("listen", s.Listen)
	c.duration("grace", s.Grace, 0, maxShutdownTimeout)
	c.duration("key_lease", s.KeyLease, 0, maxKeyLease)
	c.fraction("retry_share", s.RetryShare)
	if s.RetryReserve < 0 || s.RetryReserve > maxRetryReserve {
		c.add("retry_reserve", s.RetryReserve, "must be from 0 to 1048576")
	}
	c.duration("max_pause", s.MaxPause, minMaxPause, maxMaxPause)
	if !(s.MemoryMB >= minMemoryMB && s.MemoryMB <= maxMemoryMB) {
		c.add("memory", s.MemoryMB, "must be from 16 to 1048576 MiB")
	}
	return c.err()
}

// LoadGateway reads the settings of a gateway, applies the overrides and checks
// the result.
func LoadGateway(file string, overrides Overrides) (Gateway, error) {
	s := DefaultGateway()
	if err := load(file, &s); err != nil {
		return Gateway{}, err
	}
	overrides.applyTo(&s.Common)
	overrides.setHosts(&s.Listen)
	return s, s.Check(file)
}
