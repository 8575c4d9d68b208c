package saddlesettings

import "fmt"

// Error says what is wrong with one key of a settings file.
type Error struct {
	File    string
	Key     string
	Value   string
	Allowed string
}

// Error names the file, the key, the value and what is allowed.
func (e *Error) Error() string {
	if e.Key == "" {
		return fmt.Sprintf("%s: %s", e.File, e.Allowed)
	}
	return fmt.Sprintf("%s: %s = %s: %s", e.File, e.Key, e.Value, e.Allowed)
}
