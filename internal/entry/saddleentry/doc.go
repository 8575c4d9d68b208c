// Package saddleentry runs an entry: it takes callers' requests over HTTP,
// chooses their targets, retries what may be retried, and gives each caller
// its own answer once.
package saddleentry
