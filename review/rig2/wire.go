package main

import (
	_ "embed" // for the table of names
	"strings"
)

// wireTable lists names of this program with those of the platform, which code outside the adapter
// does not use: headers, and fields of JSON bodies.
//
//go:embed wire.txt
var wireTable string

// wire returns the platform's name of a header or field.
func wire(name string) string {
	for line := range strings.Lines(wireTable) {
		if own, platform, ok := strings.Cut(strings.TrimSpace(line), " "); ok && own == name {
			return platform
		}
	}
	panic("no platform's name for " + name)
}
