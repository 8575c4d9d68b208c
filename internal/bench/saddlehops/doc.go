// Package saddlehops measures chains of stages. It compares direct hops between
// agents with hops through the entry, and one stream for the frames of many
// requests with a connection for each request. It also measures the cost of each
// recovery mode. Links are in-memory connections with a delay, except in the
// measurement of streams, which uses loopback TCP.
package saddlehops
