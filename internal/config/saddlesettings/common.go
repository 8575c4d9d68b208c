package saddlesettings

import "time"

// Common holds the settings that every role has.
type Common struct {
	Node   string `toml:"node"`   // name of the process, unique in the fleet
	Centre string `toml:"centre"` // data centre
	Admin  string `toml:"admin"`  // address of the admin listener
	// AdminKeys is a file with the SHA-256 hashes of the keys that the admin
	// listener takes; without one it takes every caller.
	AdminKeys string `toml:"admin_keys"`
	// TLS protects the connections between the system's own processes.
	TLS TLS `toml:"tls"`
	Log Log `toml:"log"`
	// Timeline is the number of events kept.
	TimelineCapacity int `toml:"timeline"`
	// LameDuck is how long a process that was told to stop still accepts work,
	// so that those who send it can react.
	LameDuck Duration `toml:"lame_duck"`
	// Shutdown bounds the wait for work in progress after that; 0 waits
	// without bound.
	ShutdownTimeout Duration `toml:"shutdown"`
}

// TLS names PEM files; all three or none.
type TLS struct {
	Cert      string `toml:"cert"`      // this process's certificate
	Key       string `toml:"key"`       // its private key
	Authority string `toml:"authority"` // certificate of the fleet's authority
}

// Enabled reports whether the connections are protected.
func (t TLS) Enabled() bool { return t.Cert != "" }

func (t TLS) check(c *checker) {
	given := 0
	for _, file := range []string{t.Cert, t.Key, t.Authority} {
		if file != "" {
			given++
		}
	}
	if given == 1 || given == 2 {
		c.fail("tls", t.Cert, "needs cert, key and authority, or none of them")
	}
}

// Log holds the settings of the log.
type Log struct {
	Level  string `toml:"level"`  // "debug", "info", "warn", "error"
	Format string `toml:"format"` // "json", "console"
}

const (
	defaultTimeline = 4096
	maxTimeline     = 1 << 20
	defaultLameDuck = 2 * time.Second
	maxLameDuck     = 10 * time.Minute
	maxShutdown     = 24 * time.Hour
)

func defaultCommon() Common {
	return Common{
		Log:              Log{Level: "info", Format: "json"},
		TimelineCapacity: defaultTimeline,
		LameDuck:         Duration(defaultLameDuck),
	}
}

func (s *Common) check(c *checker) {
	c.required("node", s.Node)
	c.required("centre", s.Centre)
	c.reachable("admin", s.Admin)
	s.TLS.check(c)
	c.oneOf("log.level", s.Log.Level, "debug", "info", "warn", "error")
	c.oneOf("log.format", s.Log.Format, "json", "console")
	c.count("timeline", s.TimelineCapacity, maxTimeline)
	c.duration("lame_duck", s.LameDuck, 0, maxLameDuck)
	c.duration("shutdown", s.ShutdownTimeout, 0, maxShutdown)
}
