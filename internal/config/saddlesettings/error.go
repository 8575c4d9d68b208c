package saddlesettings

import "fmt"

// Error describes an invalid key of a settings file, or, with an empty Key, a
// file that cannot be read or parsed.
type Error struct {
	File    string
	Key     string
	Value   string
	Allowed string // allowed values, or why the file cannot be read or parsed
}

// Error states the file, the key, the value and the allowed values.
func (e *Error) Error() string {
	if e.Key == "" {
		return fmt.Sprintf("%s: %s", e.File, e.Allowed)
	}
	return fmt.Sprintf("%s: %s = %s: %s", e.File, e.Key, e.Value, e.Allowed)
}
