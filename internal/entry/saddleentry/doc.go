// Package saddleentry implements the entry daemon: it accepts callers' requests
// over HTTP, selects their targets, retries where a retry is safe, and returns
// each answer exactly once, to the caller that asked for it.
package saddleentry
