// Package saddlepath runs the daemons over loopback before a stand-in engine,
// so that the cost of the path through entry and agent can be compared with
// calls of the engine itself.
package saddlepath
