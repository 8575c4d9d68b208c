package saddlesettings

import "strings"

// ReloadError says which settings a running process cannot take over.
type ReloadError struct {
	Keys []string
}

// Error names the keys.
func (e *ReloadError) Error() string {
	return "a restart is needed to change: " + strings.Join(e.Keys, ", ")
}

// CheckReload returns a *ReloadError if the settings differ from those in force in a key
// that a running gateway cannot change. The others are the control replicas, the times of
// the shutdown, the key lease, the memory and the limits of retries and pauses.
func (s Gateway) CheckReload(next Gateway) error {
	var keys []string
	for _, c := range []struct {
		key     string
		changed bool
	}{
		{"node", s.Node != next.Node},
		{"centre", s.Centre != next.Centre},
		{"listen", s.Listen != next.Listen},
		{"admin", s.Admin != next.Admin},
		{"admin_keys", s.AdminKeys != next.AdminKeys},
		{"tls", s.TLS != next.TLS},
		{"log", s.Log != next.Log},
		{"timeline", s.TimelineCapacity != next.TimelineCapacity},
		{"attend.beat", s.Attend.HeartbeatInterval != next.Attend.HeartbeatInterval},
		{"attend.silence", s.Attend.ControlSilenceTimeout != next.Attend.ControlSilenceTimeout},
	} {
		if c.changed {
			keys = append(keys, c.key)
		}
	}
	if len(keys) == 0 {
		return nil
	}
	return &ReloadError{Keys: keys}
}
