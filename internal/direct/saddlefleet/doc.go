// Package saddlefleet tracks the targets without agents: their registrations, their
// health and the load that this process has placed on them. It selects targets and
// chains for requests.
//
// An entry is a gateway process in this package. "This entry" is the process that owns
// the Fleet. "The other entries" are the other gateways that send requests to the same
// targets.
package saddlefleet
