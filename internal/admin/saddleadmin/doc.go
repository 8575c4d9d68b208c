// Package saddleadmin serves the admin listener of a process: liveness,
// readiness, counters and timeline.
package saddleadmin
