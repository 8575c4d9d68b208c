// Package saddleentry implements the entry daemon: it accepts callers' requests
// over HTTP, selects their targets, retries where a retry is safe, and returns to
// each caller the answer to its own request, once.
package saddleentry
