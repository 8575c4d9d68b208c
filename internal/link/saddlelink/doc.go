// Package saddlelink opens and serves the drpc connections between the
// processes of a fleet.
package saddlelink
