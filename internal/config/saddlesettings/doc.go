// Package saddlesettings reads the settings of each role from TOML. Unknown
// keys, missing values and contradictory values are errors that state the file,
// the key, the value and the allowed values.
package saddlesettings
