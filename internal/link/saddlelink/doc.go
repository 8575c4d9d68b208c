// Package saddlelink opens and serves the drpc connections between the
// system's own processes.
package saddlelink
