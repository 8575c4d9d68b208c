// Package saddlequeue decides which request a target runs next. It is a pure
// decider: weighted fair queues between workspaces (start-time fair queueing,
// Goyal, Vin and Cheng 1996), priorities and earliest deadline first within one.
package saddlequeue
