// Package saddleorder decides which orders an engine is given, until it holds
// what it is wanted to hold. It is pure: it compares wanted and actual state
// each time it is asked, so that a lost order, a restart of the engine or of
// the agent needs no special case.
package saddleorder
