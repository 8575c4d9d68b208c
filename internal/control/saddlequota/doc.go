// Package saddlequota grants retries to the entries within a limit per group. Its table
// is soft state of the leader. The package reads no clock and does no I/O.
package saddlequota
