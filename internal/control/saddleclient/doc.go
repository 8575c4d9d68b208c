// Package saddleclient is the client of the control replicas. It finds the leader,
// and after a lost answer it resends a command with the same request id.
package saddleclient
