// Package saddleheartbeat makes heartbeats brief: a stream's first one describes the
// member whole, later ones only what changed. It is pure.
package saddleheartbeat
