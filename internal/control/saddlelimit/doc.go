// Package saddlelimit divides the limits that targets state among the entries. Its table is
// soft state, built from heartbeats. The package reads no clock and does no I/O.
package saddlelimit
