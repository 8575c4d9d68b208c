// Package saddletimeline records what a process does as events in a bounded
// ring. Hybrid logical timestamps, carried on the system's own messages, order
// the events of all processes even where their clocks differ.
package saddletimeline
