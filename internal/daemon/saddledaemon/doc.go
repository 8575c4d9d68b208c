// Package saddledaemon builds and runs the daemons (control, entry, agent and gateway)
// from their settings, each with its admin listener, log and timeline.
package saddledaemon
