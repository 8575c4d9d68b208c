// Package saddledaemon wires the roles from their settings: the role itself,
// its admin listener, its log and its time line.
package saddledaemon
