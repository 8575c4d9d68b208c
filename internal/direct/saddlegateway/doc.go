// Package saddlegateway forwards requests to targets that run without agents: it
// matches the route, checks the API key, selects a target or a chain of engines,
// retries requests that may be repeated, and relays answers as they arrive. It is
// independent of the wire format.
//
// An entry is a gateway process in this package. "This entry" is the process that owns
// the Gateway.
package saddlegateway
