// Package saddlereplica is the replicated log as a pure decider: a message or
// a tick and the present time go in, messages, records to store and committed
// entries come out. It starts no goroutine and reads no clock, file or socket.
//
// It elects one leader a term, with a pre-vote so that a replica that was cut
// off does not disturb the others, commits an entry once a majority stored it,
// and tells the leader until when no other replica can lead.
package saddlereplica
