// Package saddlesubscriber maintains a node's streams to the control replicas: it
// sends heartbeats to each replica and merges the updates that it receives.
package saddlesubscriber
