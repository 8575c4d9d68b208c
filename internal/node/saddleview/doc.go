// Package saddleview merges the updates that a node receives from the control
// replicas into one immutable view. It does no I/O and reads no clock.
package saddleview
