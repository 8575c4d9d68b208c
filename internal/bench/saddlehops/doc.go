// Package saddlehops measures chains of stages: direct hops between agents
// against hops through the entry, frames of many requests on one stream against
// a connection for each request, and the cost of each recovery mode. Links are
// in-memory connections with a delay, except in the measurement of streams,
// which uses loopback TCP.
package saddlehops
