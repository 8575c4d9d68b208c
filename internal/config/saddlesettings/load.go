package saddlesettings

import (
	"os"

	"github.com/BurntSushi/toml"
)

// LoadEntry reads the settings of an entry at a place.
func LoadEntry(file string, place Overrides) (Entry, error) {
	s := DefaultEntry()
	if err := load(file, &s); err != nil {
		return Entry{}, err
	}
	place.common(&s.Common)
	place.addresses(&s.Listen)
	return s, s.Check(file)
}

// LoadAgent reads the settings of an agent at a place.
func LoadAgent(file string, place Overrides) (Agent, error) {
	s := DefaultAgent()
	if err := load(file, &s); err != nil {
		return Agent{}, err
	}
	place.common(&s.Common)
	place.addresses(&s.Listen, &s.Announce)
	return s, s.Check(file)
}

// LoadControl reads the settings of a control replica at a place.
func LoadControl(file string, place Overrides) (Control, error) {
	s := DefaultControl()
	if err := load(file, &s); err != nil {
		return Control{}, err
	}
	place.common(&s.Common)
	place.addresses(&s.Listen)
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
		c.fail(key.String(), "", "unknown key")
	}
	return c.err()
}
