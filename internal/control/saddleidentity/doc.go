// Package saddleidentity keeps the identity of a control replica beside its log.
// A replica whose disk was lost must not go on under its old identity, because it
// may have voted and stored entries that it no longer knows of.
package saddleidentity
