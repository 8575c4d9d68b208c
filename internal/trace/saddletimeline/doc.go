// Package saddletimeline records the events of a process in a ring buffer.
// Messages between processes carry hybrid logical timestamps, so the events of
// all processes can be ordered even when their clocks differ.
package saddletimeline
