package saddlesettings

import "time"

// Common holds the settings that all roles share.
type Common struct {
	Node   string `toml:"node"`   // name of the process, unique in the fleet
	Centre string `toml:"centre"` // data centre
	Admin  string `toml:"admin"`  // address of the admin listener
	// AdminKeys is a file with the SHA-256 hashes of the keys that the admin
	// listener accepts; without a file it accepts every caller.
	AdminKeys string `toml:"admin_keys"`
	// TLS protects the connections between the processes of the fleet.
	TLS TLS `toml:"tls"`
	Log Log `toml:"log"`
	// TimelineCapacity is the number of timeline events that a process retains.
	TimelineCapacity int `toml:"timeline"`
	// LameDuck is how long a process that was told to stop still accepts work,
	// so that senders can move to other processes.
	LameDuck Duration `toml:"lame_duck"`
	// ShutdownTimeout limits the wait for work in progress after LameDuck; 0 sets no
	// limit.
	ShutdownTimeout Duration `toml:"shutdown"`
}

// TLS names PEM files: either all three are set or none.
type TLS struct {
	Cert      string `toml:"cert"`      // this process's certificate
	Key       string `toml:"key"`       // private key of this process
	Authority string `toml:"authority"` // certificate of the fleet's certificate authority
}

// Enabled reports whether TLS is configured.
func (t TLS) Enabled() bool { return t.Cert != "" }

func (t TLS) check(c *checker) {
	set := 0
	for _, file := range []string{t.Cert, t.Key, t.Authority} {
		if file != "" {
			set++
		}
	}
	if set == 1 || set == 2 {
		c.add("tls", t.Cert, "needs cert, key and authority, or none of them")
	}
}

// Log holds the settings of the log.
type Log struct {
	Level  string `toml:"level"`  // "debug", "info", "warn", "error"
	Format string `toml:"format"` // "json", "console"
}

const (
	defaultTimelineCapacity = 4096
	maxTimelineCapacity     = 1 << 20
	defaultLameDuck         = 2 * time.Second
	maxLameDuck             = 10 * time.Minute
	maxShutdownTimeout      = 24 * time.Hour
)

func defaultCommon() Common {
	return Common{
		Log:              Log{Level: "info", Format: "json"},
		TimelineCapacity: defaultTimelineCapacity,
		LameDuck:         Duration(defaultLameDuck),
	}
}

func (s *Common) check(c *checker) {
	c.required("node", s.Node)
	c.required("centre", s.Centre)
	c.dialableAddress("admin", s.Admin)
	s.TLS.check(c)
	c.oneOf("log.level", s.Log.Level, "debug", "info", "warn", "error")
	c.oneOf("log.format", s.Log.Format, "json", "console")
	c.count("timeline", s.TimelineCapacity, maxTimelineCapacity)
	c.duration("lame_duck", s.LameDuck, 0, maxLameDuck)
	c.duration("shutdown", s.ShutdownTimeout, 0, maxShutdownTimeout)
}
