package saddlesettings

import (
	"os"

	"github.com/BurntSushi/toml"
)

// LoadEntry reads the settings of an entry, applies the overrides and checks the
// result.
func LoadEntry(file string, overrides Overrides) (Entry, error) {
	s := DefaultEntry()
	if err := load(file, &s); err != nil {
		return Entry{}, err
	}
	overrides.applyTo(&s.Common)
	overrides.setHosts(&s.Listen)
	return s, s.Check(file)
}

// LoadAgent reads the settings of an agent, applies the overrides and checks the
// result.
func LoadAgent(file string, overrides Overrides) (Agent, error) {
	s := DefaultAgent()
	if err := load(file, &s); err != nil {
		return Agent{}, err
	}
	overrides.applyTo(&s.Common)
	overrides.setHosts(&s.Listen, &s.Announce)
	return s, s.Check(file)
}

// LoadControl reads the settings of a control replica, applies the overrides and
// checks the result.
func LoadControl(file string, overrides Overrides) (Control, error) {
	s := DefaultControl()
	if err := load(file, &s); err != nil {
		return Control{}, err
	}
	overrides.applyTo(&s.Common)
	overrides.setHosts(&s.Listen)
	return s, s.Check(file)
}

func load(file string, into any) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return &Error{File: file, Allowed: err.Error()}
	}
	return decode(file, string(text), into)
}

func decode(file, text string, into any) error {
	meta, err := toml.Decode(text, into)
	if err != nil {
		return &Error{File: file, Allowed: err.Error()}
	}
	c := &checker{file: file}
	for _, key := range meta.Undecoded() {
		c.add(key.String(), "", "unknown key")
	}
	return c.err()
}
