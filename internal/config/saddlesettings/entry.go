package saddlesettings

import "time"

// Entry holds the settings of an entry.
type Entry struct {
	Common
	Listen string `toml:"listen"` // callers' HTTP
	Attend Attend `toml:"attend"`
	// BodyLimit is the largest request body in bytes.
	BodyLimit int `toml:"body_limit"`
	// MaxTimeout is the longest deadline that a caller may ask for.
	MaxTimeout Duration `toml:"max_timeout"`
	// Silence is how long an agent may stay silent on a call in progress.
	CallSilenceTimeout Duration `toml:"silence"`
}

const (
	defaultBodyLimit   = 4 << 20
	maxBodyLimit       = 64 << 20
	defaultMaxTimeout  = 10 * time.Minute
	limitMaxTimeout    = time.Hour
	defaultCallSilence = time.Second
	minCallSilence     = 100 * time.Millisecond
	maxCallSilence     = time.Minute
)

// DefaultEntry returns the settings before the file is read.
func DefaultEntry() Entry {
	return Entry{
		Common:             defaultCommon(),
		Attend:             defaultAttend(),
		BodyLimit:          defaultBodyLimit,
		MaxTimeout:         Duration(defaultMaxTimeout),
		CallSilenceTimeout: Duration(defaultCallSilence),
	}
}

// Check returns every error of the settings.
func (s *Entry) Check(file string) error {
	c := &checker{file: file}
	s.check(c)
	s.Attend.check(c)
	c.address("listen", s.Listen)
	c.count("body_limit", s.BodyLimit, maxBodyLimit)
	c.duration("max_timeout", s.MaxTimeout, time.Second, limitMaxTimeout)
	c.duration("silence", s.CallSilenceTimeout, minCallSilence, maxCallSilence)
	return c.err()
}
