// Package saddleclient talks to the control replicas: it finds the leader and
// resends a command under the same request id after a lost answer.
package saddleclient
