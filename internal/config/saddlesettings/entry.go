package saddlesettings

import "time"

// Entry holds the settings of an entry.
type Entry struct {
	Common
	Listen string `toml:"listen"` // address of the HTTP listener for callers
	Attend Attend `toml:"attend"`
	// BodyLimit is the largest request body in bytes.
	BodyLimit int `toml:"body_limit"`
	// MaxTimeout is the longest timeout that a caller may request.
	MaxTimeout Duration `toml:"max_timeout"`
	// CallSilenceTimeout is the time without an event from the agent after which a
	// call in progress fails.
	CallSilenceTimeout Duration `toml:"silence"`
}

const (
	defaultBodyLimit          = 4 << 20
	maxBodyLimit              = 64 << 20
	defaultMaxTimeout         = 10 * time.Minute
	limitMaxTimeout           = time.Hour
	defaultCallSilenceTimeout = time.Second
	minTimeout                = 100 * time.Millisecond
	maxCallSilenceTimeout     = time.Minute
)

// DefaultEntry returns the default settings of an entry.
func DefaultEntry() Entry {
	return Entry{
		Common:             defaultCommon(),
		Attend:             defaultAttend(),
		BodyLimit:          defaultBodyLimit,
		MaxTimeout:         Duration(defaultMaxTimeout),
		CallSilenceTimeout: Duration(defaultCallSilenceTimeout),
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
	c.duration("silence", s.CallSilenceTimeout, minTimeout, maxCallSilenceTimeout)
	return c.err()
}
