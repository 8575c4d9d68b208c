// Package saddleorder reconciles an engine with its desired state. It decides which
// order the engine is sent next, until the actual state equals the desired one. It
// compares both states at each call, so that lost orders and restarts of the engine
// or the agent need no special case. It does no I/O and reads no clock.
package saddleorder
