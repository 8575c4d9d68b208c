// Package saddlesettings reads the settings of each role from TOML. Unknown
// keys, missing and contradictory values are errors that name file, key, value
// and what is allowed.
package saddlesettings
