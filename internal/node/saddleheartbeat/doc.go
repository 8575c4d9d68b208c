// Package saddleheartbeat encodes and decodes compact heartbeats: the first one
// of a stream carries the whole member, later ones only its load unless more has
// changed. It does no I/O.
package saddleheartbeat
