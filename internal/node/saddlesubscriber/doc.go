// Package saddlesubscriber keeps a node in touch with the control replicas: it
// sends heartbeats to each and takes in their updates.
package saddlesubscriber
