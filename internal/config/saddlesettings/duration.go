package saddlesettings

import (
	"fmt"
	"time"
)

// Duration is a time.Duration that is written with its unit, such as "250ms".
type Duration time.Duration

// UnmarshalText parses a duration with its unit.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a duration such as \"250ms\" or \"3s\"", text)
	}
	*d = Duration(v)
	return nil
}

// Std returns the value as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// String formats the duration with its unit.
func (d Duration) String() string { return time.Duration(d).String() }
