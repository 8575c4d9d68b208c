// Package saddlestate is the replicated state machine of the control replicas:
// templates, deployments, drains, placements, routing, departures, claims, and
// the results of past commands. Applying a command is deterministic and has no
// side effects outside the state.
package saddlestate
