// Package saddlereplica implements the Raft consensus algorithm as a
// deterministic state machine. Its inputs are messages, ticks and the current
// time; its outputs are messages, records to persist and committed entries. It
// starts no goroutine and reads no clock, file or socket.
//
// Each term has at most one leader. The pre-vote phase prevents a replica that
// was partitioned from disrupting the others. An entry is committed once a
// majority of the voters stored it. The leader holds a lease, during which no
// other replica can become leader.
package saddlereplica
