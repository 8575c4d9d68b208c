// Package saddlequeue decides which request a target runs next. Workspaces share
// the target by start-time fair queueing (Goyal, Vin and Cheng 1996). Within a
// workspace, requests are ordered by priority, then by earliest deadline. The
// package does no I/O and reads no clock: callers pass the time.
package saddlequeue
