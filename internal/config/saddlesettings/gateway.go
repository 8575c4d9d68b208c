package saddlesettings

import "time"

// Gateway holds the settings of an entry to targets without agents.
type Gateway struct {
	Common
	Listen string `toml:"listen"` // callers' HTTP
	Attend Attend `toml:"attend"`
	// Grace is how long after it was told to stop the process is ended by force; 0:
	// it is not. Drafts that may take longer are refused meanwhile.
	Grace Duration `toml:"grace"`
	// KeyLease is how long API keys are good after the last word of a majority; 0
	// sets no bound.
	KeyLease Duration `toml:"key_lease"`
	// RetryShare and RetryReserve bound the requests that all entries together
	// send again to one group: a part of the first ones, and a number beyond it.
	RetryShare   float64 `toml:"retry_share"`
	RetryReserve float64 `toml:"retry_reserve"`
}

const (
	defaultKeyLease     = 4 * time.Second
	maxKeyLease         = time.Hour
	defaultRetryShare   = 0.2
	defaultRetryReserve = 100
	maxRetryReserve     = 1 << 20
)

// DefaultGateway returns the settings before the file is read.
func DefaultGateway() Gateway {
	return Gateway{
		Common:       defaultCommon(),
		Attend:       defaultAttend(),
		KeyLease:     Duration(defaultKeyLease),
		RetryShare:   defaultRetryShare,
		RetryReserve: defaultRetryReserve,
	}
}

// Check returns every error of the settings.
func (s *Gateway) Check(file string) error {
	c := &checker{file: file}
	s.check(c)
	s.Attend.check(c)
	c.address("listen", s.Listen)
	c.duration("grace", s.Grace, 0, maxShutdown)
	c.duration("key_lease", s.KeyLease, 0, maxKeyLease)
	c.part("retry_share", s.RetryShare)
	if s.RetryReserve < 0 || s.RetryReserve > maxRetryReserve {
		c.fail("retry_reserve", s.RetryReserve, "must be from 0 to 1048576")
	}
	return c.err()
}

// LoadGateway reads the settings of a gateway at a place.
func LoadGateway(file string, place Overrides) (Gateway, error) {
	s := DefaultGateway()
	if err := load(file, &s); err != nil {
		return Gateway{}, err
	}
	place.common(&s.Common)
	place.addresses(&s.Listen)
	return s, s.Check(file)
}
