// Package saddleheartbeat encodes and decodes compact heartbeats. The first
// heartbeat of a stream carries the whole member. A later heartbeat carries only the
// member's load, unless anything else of the member has changed. The package does
// no I/O.
package saddleheartbeat
